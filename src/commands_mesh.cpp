#include "commands.h"
#include "watch_progress.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>

namespace agatespread::detail {

namespace {

constexpr std::chrono::milliseconds watch_period{250};

std::string describe_node(const missing_node& node)
{
    return fmt::format("{} in {} is at version {}{}{}", node.node, node.failure_domain,
                       node.version, node.reason.empty() ? "" : ": ", node.reason);
}

command_exit status(const command_context& context)
{
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<operator_answer<mesh_status>> answer = client->status();
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    if (context.options().json) {
        context.print_json(answer->document);
        return command_exit::done;
    }
    context.print_line(fmt::format("version {}", answer->content.version));
    for (const domain_summary& domain : answer->content.domains) {
        context.print_line(fmt::format("{}: {} nodes, {} unreachable, versions {} to {}",
                                       domain.failure_domain, domain.members, domain.unreachable,
                                       domain.lowest, domain.highest));
        for (const lagging_node& node : domain.behind) {
            context.print_line("  " + describe_node({domain.failure_domain, node.node,
                                                     node.in_force, node.reason}));
        }
    }
    return command_exit::done;
}

void print_progress(const command_context& context, const watch_progress& progress,
                    config_version version)
{
    if (!context.options().json) {
        for (const std::string& line : progress.domains) {
            context.print_line(line);
        }
        return;
    }
    nlohmann::json missing = nlohmann::json::array();
    for (const missing_node& node : progress.missing) {
        missing.push_back({{"failure_domain", node.failure_domain},
                           {"node", node.node},
                           {"version", node.version},
                           {"reason", node.reason}});
    }
    context.print_json({{"version", version},
                        {"done", progress.done},
                        {"domains", progress.domains},
                        {"missing", std::move(missing)}});
}

/// Prints the nodes that don't have the version in force; returns the exit code of the watch.
command_exit finish_watch(const command_context& context, const watch_progress& progress,
                          config_version version)
{
    if (!context.options().json) {
        for (const missing_node& node : progress.missing) {
            context.print_line("not in force: " + describe_node(node));
        }
        context.print_line(fmt::format("version {} is in force on all reachable nodes{}", version,
                                       progress.refused ? ", except those that refused it" : ""));
    }
    return progress.refused ? command_exit::refused : command_exit::done;
}

/// Polls the status until the version is in force on all reachable nodes or the timeout expires.
command_exit poll(const command_context& context, operator_client& client, config_version version)
{
    const time_point deadline = context.environment().now() + context.options().timeout;
    std::vector<std::string> printed;
    absl::Status last;
    while (true) {
        const absl::StatusOr<operator_answer<mesh_status>> answer = client.status();
        last = answer.status();
        if (answer.ok()) {
            const watch_progress progress = progress_of(answer->content, version);
            if (progress.domains != printed || progress.done) {
                print_progress(context, progress, version);
                printed = progress.domains;
            }
            if (progress.done) {
                return finish_watch(context, progress, version);
            }
        }
        else if (reason_of(last, "operator") != "unavailable") {
            return context.fail(last);
        }
        if (context.environment().now() >= deadline) {
            break;
        }
        context.environment().wait(watch_period);
    }
    const std::string text = fmt::format(
        "version {} was not in force on all reachable nodes within {} ms{}{}", version,
        context.options().timeout.count(), last.ok() ? "" : ": ", std::string(last.message()));
    return context.fail(
        layer_error(absl::StatusCode::kDeadlineExceeded, "operator", "unavailable", text));
}

command_exit watch(const command_context& context)
{
    const std::string& text = context.operand(0);
    config_version version = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || version == 0) {
        return context.fail(absl::InvalidArgumentError("VERSION must be a positive integer"));
    }
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    return poll(context, *client, version);
}

command_exit drain(const command_context& context)
{
    absl::StatusOr<operator_client> client = context.connect_with_key();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<operator_answer<std::string>> answer = client->drain(context.operand(0));
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    if (context.options().json) {
        context.print_json(answer->document);
    }
    else {
        context.print_line(fmt::format("{} is {}", context.operand(0), answer->content));
    }
    return command_exit::done;
}

command_exit explain(const command_context& context)
{
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<operator_answer<std::vector<std::string>>> answer =
        client->explain(context.operand(0), context.operand(1), context.operand(2));
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    if (context.options().json) {
        context.print_json(answer->document);
        return command_exit::done;
    }
    for (const std::string& line : answer->content) {
        context.print_line(line);
    }
    return command_exit::done;
}

} // namespace

std::vector<command_entry> mesh_commands()
{
    return {
        {{"status", "", 0, 0, "Shows the versions in force in each failure domain.", "nkf"},
         status},
        {{"watch", "VERSION", 1, 1,
          "Shows the rollout of a version. Ends when it is in force on all reachable nodes and "
          "names the nodes where it is not.",
          "nkft"},
         watch},
        {{"drain", "TARGET", 1, 1,
          "Drains a target: it completes its requests and receives no new ones.", "nkf"},
         drain},
        {{"explain", "CALLER SERVICE PATH", 3, 3,
          "Shows how a call to a service by a caller of the fleet CALLER is resolved.", "nkf"},
         explain},
    };
}

} // namespace agatespread::detail
