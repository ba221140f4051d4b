#include "commands.h"
#include "subtree_diff.h"

#include <fmt/format.h>

#include <utility>

namespace agatespread::detail {

namespace {

/// Reads a subtree document from a file, validates it and returns it in canonical form.
absl::StatusOr<std::string> read_document(const std::string& file)
{
    const absl::StatusOr<std::string> yaml = read_file(file, max_subtree_bytes);
    if (!yaml.ok()) {
        return yaml.status();
    }
    return canonical_subtree(*yaml, file);
}

command_exit validate(const command_context& context)
{
    command_exit exit_code = command_exit::done;
    nlohmann::json files = nlohmann::json::array();
    for (const std::string& file : context.options().operands) {
        const absl::StatusOr<std::string> document = read_document(file);
        if (!document.ok() && reason_of(document.status(), "tree").empty()) {
            return context.fail(document.status());
        }
        exit_code = document.ok() ? exit_code : command_exit::refused;
        const std::string problem(document.status().message());
        files.push_back({{"file", file}, {"valid", document.ok()}, {"error", problem}});
        if (!context.options().json) {
            context.print_line(document.ok() ? file + ": valid" : problem);
        }
    }
    if (context.options().json) {
        context.print_json({{"files", std::move(files)}});
    }
    return exit_code;
}

std::string make_change_id(const random_source& random)
{
    std::string id = fmt::format("{:016x}", random());
    id += fmt::format("{:016x}", random());
    return id;
}

/// Prints the id before the request is sent, so that the operator can repeat the apply with the
/// same id when the response is lost.
void print_change_id(const command_context& context, const std::string& change)
{
    if (context.options().json) {
        context.print_json(nlohmann::json{{"change", change}});
    }
    else {
        context.print_line("change " + change);
    }
}

command_exit print_applied_version(const command_context& context,
                                   const operator_answer<applied_version>& answer)
{
    if (context.options().json) {
        context.print_json(answer.document);
    }
    else if (answer.content.dry_run) {
        context.print_line(
            fmt::format("valid against version {}, nothing changed", answer.content.version));
    }
    else {
        context.print_line(fmt::format("version {} accepted{}", answer.content.version,
                                       answer.content.repeated ? " by an earlier apply" : ""));
    }
    return command_exit::done;
}

command_exit apply(const command_context& context)
{
    const std::string& subtree = context.operand(0);
    const absl::Status path = check_subtree_path(subtree);
    if (!path.ok()) {
        return context.fail(path);
    }
    absl::StatusOr<std::string> document = read_document(context.operand(1));
    if (!document.ok()) {
        return context.fail(document.status());
    }
    absl::StatusOr<operator_client> client = context.connect_with_key();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const std::string change = context.options().change.empty()
                                   ? make_change_id(context.environment().random)
                                   : context.options().change;
    const bool dry_run = context.options().dry_run;
    if (!dry_run) {
        print_change_id(context, change);
    }
    const absl::StatusOr<operator_answer<applied_version>> answer =
        client->apply(subtree, change, *std::move(document), dry_run);
    if (answer.ok()) {
        return print_applied_version(context, *answer);
    }
    const command_exit exit_code = context.fail(answer.status());
    if (exit_code == command_exit::unreachable && !dry_run && !context.options().json) {
        context.print_line(
            fmt::format("repeat with the same id: agatespread apply {} {} --change {}", subtree,
                        context.operand(1), change));
    }
    return exit_code;
}

/// Returns the subtree in force, or an empty document when there is none.
absl::StatusOr<shown_tree> current_subtree(operator_client& client, const std::string& subtree)
{
    absl::StatusOr<operator_answer<shown_tree>> answer = client.show(subtree);
    if (answer.ok()) {
        return std::move(answer->content);
    }
    if (reason_of(answer.status(), "operator") == "not_found") {
        return shown_tree();
    }
    return answer.status();
}

void print_diff(const command_context& context, const shown_tree& current,
                const std::vector<entry_change>& changes)
{
    if (context.options().json) {
        nlohmann::json list = nlohmann::json::array();
        for (const entry_change& change : changes) {
            list.push_back({{"section", change.section},
                            {"name", change.name},
                            {"before", change.before},
                            {"after", change.after}});
        }
        context.print_json({{"version", current.version}, {"changes", std::move(list)}});
        return;
    }
    for (const entry_change& change : changes) {
        context.print_line(describe_change(change));
    }
    if (changes.empty()) {
        context.print_line("no difference");
    }
}

command_exit diff(const command_context& context)
{
    const std::string& subtree = context.operand(0);
    const absl::Status path = check_subtree_path(subtree);
    if (!path.ok()) {
        return context.fail(path);
    }
    const absl::StatusOr<std::string> document = read_document(context.operand(1));
    if (!document.ok()) {
        return context.fail(document.status());
    }
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<shown_tree> current = current_subtree(*client, subtree);
    if (!current.ok()) {
        return context.fail(current.status());
    }
    const auto found = current->subtrees.find(subtree);
    const std::string before = found == current->subtrees.end() ? "{}" : found->second;
    print_diff(context, *current,
               diff_subtrees(nlohmann::json::parse(before, nullptr, false),
                             nlohmann::json::parse(*document, nullptr, false)));
    return command_exit::done;
}

command_exit show(const command_context& context)
{
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<operator_answer<shown_tree>> answer =
        client->show(context.options().operands.empty() ? "" : context.operand(0));
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    if (context.options().json) {
        context.print_json(answer->document);
        return command_exit::done;
    }
    context.print_line(fmt::format("# version {}", answer->content.version));
    for (const std::pair<const std::string, std::string>& entry : answer->content.subtrees) {
        // JSON is valid YAML, so the output can be edited and applied again.
        context.print_line(fmt::format(
            "# {}\n{}", entry.first, nlohmann::json::parse(entry.second, nullptr, false).dump(2)));
    }
    return command_exit::done;
}

command_exit history(const command_context& context)
{
    absl::StatusOr<operator_client> client = context.connect();
    if (!client.ok()) {
        return context.fail(client.status());
    }
    const absl::StatusOr<operator_answer<std::vector<version_entry>>> answer =
        client->history(context.options().limit);
    if (!answer.ok()) {
        return context.fail(answer.status());
    }
    if (context.options().json) {
        context.print_json(answer->document);
        return command_exit::done;
    }
    for (const version_entry& entry : answer->content) {
        context.print_line(fmt::format("{:>8}  {}  by {}  change {}  manifest {}", entry.version,
                                       entry.subtree, entry.operator_id, entry.change_id,
                                       entry.manifest_id.substr(0, 12)));
    }
    return command_exit::done;
}

} // namespace

std::vector<command_entry> config_commands()
{
    constexpr std::size_t max_files = 10000;
    return {
        {{"validate", "FILE...", 1, max_files,
          "Checks subtree documents without a node. References to other subtrees are checked by "
          "apply, also with --dry-run.",
          ""},
         validate},
        {{"apply", "SUBTREE FILE", 2, 2,
          "Replaces the subtree FLEET/TEAM with the document of a YAML file.", "nkfcd"},
         apply},
        {{"diff", "SUBTREE FILE", 2, 2,
          "Shows the entries in which a file differs from the subtree in force.", "nkf"},
         diff},
        {{"show", "[SUBTREE]", 0, 1, "Shows the subtrees in force at a node.", "nkf"}, show},
        {{"history", "", 0, 0, "Lists the newest accepted versions.", "nkfl"}, history},
    };
}

} // namespace agatespread::detail
