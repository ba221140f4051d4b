#include "http_message.h"

#include <agatespread/http.h>

#include <algorithm>

namespace agatespread {

using detail::equal_ignoring_case;

std::string_view http_headers::get(std::string_view name) const
{
    for (const field& entry : fields_) {
        if (equal_ignoring_case(entry.first, name)) {
            return entry.second;
        }
    }
    return {};
}

bool http_headers::contains(std::string_view name) const
{
    return std::any_of(fields_.begin(), fields_.end(), [name](const field& entry) {
        return equal_ignoring_case(entry.first, name);
    });
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    add(name, std::move(value));
}

void http_headers::add(std::string_view name, std::string value)
{
    fields_.emplace_back(std::string(name), std::move(value));
}

void http_headers::remove(std::string_view name)
{
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                                 [name](const field& entry) {
                                     return equal_ignoring_case(entry.first, name);
                                 }),
                  fields_.end());
}

void http_headers::remove_prefix(std::string_view prefix)
{
    const std::size_t length = prefix.size();
    fields_.erase(std::remove_if(fields_.begin(), fields_.end(),
                                 [prefix, length](const field& entry) {
                                     const std::string_view name(entry.first);
                                     return equal_ignoring_case(name.substr(0, length), prefix);
                                 }),
                  fields_.end());
}

} // namespace agatespread
