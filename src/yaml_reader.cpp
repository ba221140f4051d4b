#include "yaml_reader.h"

#include "field_reader.h"

#include <agatespread/base.h>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <cctype>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <istream>
#include <stdexcept>
#include <streambuf>
#include <string>
#include <utility>
#include <vector>

namespace agatespread::detail {

namespace {

// Valid documents nest no deeper than lists of mappings with lists. The limit bounds the recursion
// of the parser.
constexpr std::size_t max_depth = 16;

/// Aborts parsing with the position and path of the error.
class parse_error : public std::runtime_error {
public:
    parse_error(const YAML::Mark& mark, const std::string& path, const std::string& message)
        : std::runtime_error(fmt::format("line {}, column {}: {}{}", mark.line + 1, mark.column + 1,
                                         path.empty() ? "" : path + ": ", message))
    {
    }
};

nlohmann::json plain_scalar(const std::string& text)
{
    if (text == "true" || text == "false") {
        return text == "true";
    }
    if (text.empty() || text == "null" || text == "~") {
        return nullptr;
    }
    const std::size_t digits = text.front() == '-' ? 1 : 0;
    const bool leading_zero = text.size() > digits + 1 && text[digits] == '0';
    std::int64_t number = 0;
    const std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && !leading_zero) {
        return number;
    }
    return text;
}

/// Builds a JSON value from the parser's events.
class json_builder final : public YAML::EventHandler {
public:
    void OnDocumentStart(const YAML::Mark&) override { started_ = true; }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        check(mark, "?", anchor);
        add(mark, nullptr);
    }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override
    {
        throw parse_error(mark, path(), "an alias is not allowed: write the value out");
    }
    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override
    {
        check(mark, tag, anchor);
        if (!levels_.empty() && levels_.back().mapping && !levels_.back().key_read) {
            begin_key(mark, value);
            return;
        }
        add(mark, tag == "!" ? nlohmann::json(value) : plain_scalar(value));
    }
    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        open_container(mark, tag, anchor, false);
    }
    void OnSequenceEnd() override { levels_.pop_back(); }
    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        open_container(mark, tag, anchor, true);
    }
    void OnMapEnd() override { levels_.pop_back(); }

    bool started() const { return started_; }
    nlohmann::json take() { return std::move(root_); }

private:
    struct level {
        nlohmann::json* value;
        bool mapping;
        bool key_read;
        std::string key;
    };

    /// Returns the path of the value that is being read, such as "routes[0].timeout".
    std::string path() const
    {
        std::string text;
        for (const level& entry : levels_) {
            const bool last = &entry == &levels_.back();
            if (!entry.mapping) {
                // A nested list or mapping that is still open is already counted in its list.
                text += fmt::format("[{}]", entry.value->size() - (last ? 0 : 1));
            }
            else if (!last || entry.key_read) {
                const std::string quoted = quote_text(entry.key);
                text += (text.empty() ? "" : ".") + quoted.substr(1, quoted.size() - 2);
            }
        }
        return text;
    }

    void check(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor) const
    {
        if (anchor != YAML::NullAnchor) {
            throw parse_error(mark, path(), "an anchor is not allowed: write the value out");
        }
        // The parser reports "?" for a plain scalar and "!" for a quoted one.
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw parse_error(mark, path(),
                              fmt::format("the tag {} is not allowed: remove it", quote_text(tag)));
        }
    }

    void begin_key(const YAML::Mark& mark, const std::string& key)
    {
        if (levels_.back().value->contains(key)) {
            throw parse_error(
                mark, path(),
                fmt::format("the key {} is repeated: write each key once", quote_text(key)));
        }
        levels_.back().key = key;
        levels_.back().key_read = true;
    }

    nlohmann::json* add(const YAML::Mark& mark, nlohmann::json value)
    {
        if (levels_.empty()) {
            root_ = std::move(value);
            return &root_;
        }
        level& parent = levels_.back();
        if (!parent.mapping) {
            parent.value->push_back(std::move(value));
            return &parent.value->back();
        }
        if (!parent.key_read) {
            throw parse_error(mark, path(), "a key must be text");
        }
        parent.key_read = false;
        nlohmann::json& field = (*parent.value)[parent.key];
        field = std::move(value);
        return &field;
    }

    void open_container(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                        bool mapping)
    {
        check(mark, tag, anchor);
        if (levels_.size() >= max_depth) {
            throw parse_error(mark, path(),
                              fmt::format("the nesting is too deep: at most {} levels", max_depth));
        }
        nlohmann::json* value =
            add(mark, mapping ? nlohmann::json::object() : nlohmann::json::array());
        levels_.push_back({value, mapping, false, {}});
    }

    nlohmann::json root_;
    std::vector<level> levels_;
    bool started_ = false;
};

/// A read-only stream buffer over bytes, without a copy.
class view_buffer final : public std::streambuf {
public:
    explicit view_buffer(std::string_view bytes)
    {
        char* begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
};

nlohmann::json parse_one_document(std::string_view yaml)
{
    view_buffer buffer(yaml);
    std::istream stream(&buffer);
    YAML::Parser parser(stream);
    json_builder builder;
    if (!parser.HandleNextDocument(builder) || !builder.started()) {
        throw std::runtime_error("the document is empty");
    }
    json_builder second_document;
    if (parser.HandleNextDocument(second_document)) {
        throw std::runtime_error("only one document is allowed in a file");
    }
    return builder.take();
}

} // namespace

absl::StatusOr<nlohmann::json> read_yaml(std::string_view yaml, std::string_view file,
                                         std::string_view layer)
{
    std::string problem;
    try {
        return parse_one_document(yaml);
    }
    catch (const YAML::Exception& error) {
        problem = fmt::format("line {}, column {}: malformed YAML: {}", error.mark.line + 1,
                              error.mark.column + 1, error.msg);
    }
    catch (const std::exception& error) {
        problem = error.what();
    }
    return layer_error(absl::StatusCode::kInvalidArgument, layer, "malformed",
                       fmt::format("{}: {}", file, problem));
}

} // namespace agatespread::detail
