#include <agatespread/reader_role.h>

namespace agatespread {

bool reader_role::update(const nodes_ahead& ahead, time_point now)
{
    if (ahead.able >= options_.readers || ahead.failing < options_.immediate_replacements) {
        waiting_since_ = time_point();
        return ahead.able < options_.readers;
    }
    if (waiting_since_ == time_point()) {
        waiting_since_ = now;
    }
    return now - waiting_since_ >= options_.replacement_period;
}

} // namespace agatespread
