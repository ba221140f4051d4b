#include <agatespread/decision_log.h>

#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cerrno>
#include <mutex>

namespace agatespread {

namespace {

/// Writes lines to a file descriptor without blocking.
class non_blocking_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    explicit non_blocking_sink(int descriptor) : descriptor_(descriptor)
    {
        const int flags = ::fcntl(descriptor_, F_GETFL, 0);
        if (flags >= 0) {
            ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
        }
    }

    std::uint64_t dropped_lines() const { return dropped_lines_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        std::string line;
        // The remainder of a partially written line goes first, so that no line is truncated.
        line.reserve(pending_.size() + message.payload.size() + 1);
        line.append(pending_).append(message.payload.data(), message.payload.size()).append("\n");
        const std::size_t pending_bytes = pending_.size();
        pending_.clear();
        const ssize_t result = ::write(descriptor_, line.data(), line.size());
        const std::size_t written_bytes = result < 0 ? 0 : static_cast<std::size_t>(result);
        if (written_bytes == line.size()) {
            return;
        }
        if (written_bytes < pending_bytes) {
            pending_ = line.substr(written_bytes, pending_bytes - written_bytes);
            ++dropped_lines_;
        }
        else if (written_bytes == pending_bytes) {
            ++dropped_lines_;
        }
        else {
            pending_ = line.substr(written_bytes);
        }
    }
    void flush_() override {}

private:
    int descriptor_;
    std::string pending_;
    std::uint64_t dropped_lines_ = 0;
};

bool needs_no_quotes(std::string_view value)
{
    return !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (needs_no_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        }
        else {
            line.push_back(static_cast<unsigned char>(character) < 0x20 ? ' ' : character);
        }
    }
    line.push_back('"');
}

} // namespace

struct decision_log::impl {
    explicit impl(int descriptor)
        : sink(std::make_shared<non_blocking_sink>(descriptor)), logger("decisions", sink)
    {
        logger.set_level(spdlog::level::info);
    }

    std::shared_ptr<non_blocking_sink> sink;
    spdlog::logger logger;
};

decision_log::decision_log(node_id node, const decision_log_options& options, wall_clock clock)
    : node_(std::move(node)), options_(options), clock_(std::move(clock)),
      impl_(std::make_unique<impl>(options.descriptor))
{
}

decision_log::~decision_log() = default;

void decision_log::change(std::string_view event, std::initializer_list<log_field> fields)
{
    write(event, {}, fields);
}

void decision_log::request(std::string_view event, std::string_view id,
                           std::initializer_list<log_field> fields, time_point now)
{
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != current_second_) {
        current_second_ = second;
        lines_in_second_ = 0;
        if (suppressed_lines_ > 0) {
            write("log_left_out", {}, {{"lines", suppressed_lines_}});
            suppressed_lines_ = 0;
        }
    }
    if (lines_in_second_ >= options_.request_lines_per_second) {
        ++suppressed_lines_;
        ++dropped_;
        return;
    }
    ++lines_in_second_;
    write(event, id, fields);
}

bool decision_log::sample_success()
{
    return options_.success_sample_interval > 0 &&
           successes_++ % options_.success_sample_interval == 0;
}

void decision_log::write(std::string_view event, std::string_view id,
                         std::initializer_list<log_field> fields)
{
    const std::chrono::system_clock::time_point now = clock_();
    const std::int64_t ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    std::string line =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} node={}",
                    fmt::gmtime(static_cast<std::time_t>(ms / 1000)), ms % 1000, event, node_);
    if (!id.empty()) {
        line.append(" id=");
        append_value(line, id);
    }
    for (const log_field& field : fields) {
        line.append(" ").append(field.name).append("=");
        append_value(line, field.value);
    }
    const std::uint64_t dropped_before = impl_->sink->dropped_lines();
    impl_->logger.info(line);
    dropped_ += impl_->sink->dropped_lines() - dropped_before;
}

} // namespace agatespread
