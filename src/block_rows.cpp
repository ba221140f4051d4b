#include "block_rows.h"

#include <agatespread/crash_guard.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace agatespread::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::system_clock;

struct row_content {
    std::uint64_t fingerprint = 0;
    std::uint32_t blocks = 0;
    system_clock::time_point end;
};

std::string encode_value(std::uint32_t blocks, system_clock::time_point end)
{
    return absl::StrCat(blocks, " ", duration_cast<milliseconds>(end.time_since_epoch()).count());
}

std::optional<row_content> decode_row(std::string_view prefix, const row& stored)
{
    const std::vector<std::string> words = absl::StrSplit(stored.value, ' ');
    row_content content;
    std::int64_t end_ms = 0;
    if (words.size() != 2 ||
        !absl::SimpleHexAtoi(stored.key.substr(prefix.size()), &content.fingerprint) ||
        !absl::SimpleAtoi(words[0], &content.blocks) || !absl::SimpleAtoi(words[1], &end_ms)) {
        return std::nullopt;
    }
    content.end = system_clock::time_point(milliseconds(end_ms));
    return content;
}

} // namespace

block_rows::block_rows(platform& driver, timer_service& timers, wall_clock clock,
                       error_hook on_error, block_rows_options options)
    : driver_(driver), timers_(timers), clock_(std::move(clock)), on_error_(std::move(on_error)),
      options_(std::move(options))
{
}

block_rows::~block_rows()
{
    *alive_ = false;
}

std::string block_rows::key_of(std::uint64_t fingerprint) const
{
    return absl::StrCat(options_.prefix, absl::Hex(fingerprint, absl::kZeroPad16));
}

void block_rows::load(block_hook on_block)
{
    on_block_ = std::move(on_block);
    scan();
}

void block_rows::scan()
{
    driver_.scan(options_.prefix, options_.max_rows,
                 [this, alive = alive_](const absl::StatusOr<std::vector<row>>& result) {
                     if (!*alive) {
                         return;
                     }
                     if (result.ok()) {
                         apply_rows(*result);
                         return;
                     }
                     on_error_("read", result.status());
                     scan_timer_ =
                         timers_.after(options_.retry_delay, [this](time_point) { scan(); });
                 });
}

void block_rows::apply_rows(const std::vector<row>& rows)
{
    std::vector<row> ended;
    for (const row& each : rows) {
        const std::optional<row_content> content = decode_row(options_.prefix, each);
        if (!content) {
            on_error_("decode",
                      absl::InvalidArgumentError(absl::StrCat(
                          "row ", each.key, ": expected the number of blocks and a time")));
            continue;
        }
        const milliseconds remaining = duration_cast<milliseconds>(content->end - clock_());
        if (-remaining <= options_.retention) {
            on_block_(make_block_report(content->fingerprint, content->blocks,
                                        std::max(remaining, milliseconds(1))));
        }
        else if (ended.size() < options_.max_removals) {
            ended.push_back(each);
        }
    }
    remove_rows(ended);
}

void block_rows::remove_rows(const std::vector<row>& ended)
{
    if (ended.empty()) {
        return;
    }
    transaction removal;
    for (const row& each : ended) {
        // Another node may have written a new block since the scan.
        removal.preconditions.push_back({each.key, each.value});
        removal.writes.push_back({each.key, std::nullopt});
    }
    driver_.commit(std::move(removal),
                   [this, alive = alive_](const absl::StatusOr<transaction_result>& result) {
                       if (*alive && !result.ok()) {
                           on_error_("remove", result.status());
                       }
                   });
}

void block_rows::store(const crash_report& block)
{
    pending_[block.fingerprint] = {block.crashes - 1, clock_() + block.blocked_for};
    write_pending();
}

void block_rows::remove(std::uint64_t fingerprint)
{
    pending_[fingerprint] = {0, clock_() + options_.removal_timeout};
    write_pending();
}

void block_rows::repeat_writes()
{
    pending_.insert(written_.begin(), written_.end());
    write_pending();
}

void block_rows::forget(std::uint64_t fingerprint)
{
    written_.erase(fingerprint);
}

void block_rows::write_pending()
{
    const system_clock::time_point now = clock_();
    for (auto each = written_.begin(); each != written_.end();) {
        each = each->second.end <= now ? written_.erase(each) : std::next(each);
    }
    transaction change;
    for (auto each = pending_.begin(); each != pending_.end();) {
        if (each->second.end <= now) {
            each = pending_.erase(each);
            continue;
        }
        const bool removed = each->second.blocks == 0;
        change.writes.push_back(
            {key_of(each->first), removed ? std::optional<std::string>()
                                          : encode_value(each->second.blocks, each->second.end)});
        ++each;
    }
    if (write_in_flight_ || change.writes.empty()) {
        return;
    }
    write_in_flight_ = true;
    const std::map<std::uint64_t, stored_block> written = pending_;
    driver_.commit(std::move(change), [this, written, alive = alive_](
                                          const absl::StatusOr<transaction_result>& result) {
        if (!*alive) {
            return;
        }
        write_in_flight_ = false;
        if (!result.ok()) {
            on_error_("write", result.status());
            write_timer_ =
                timers_.after(options_.retry_delay, [this](time_point) { write_pending(); });
            return;
        }
        for (const std::pair<const std::uint64_t, stored_block>& each : written) {
            written_[each.first] = each.second;
            const auto found = pending_.find(each.first);
            if (found != pending_.end() && found->second.end == each.second.end) {
                pending_.erase(found);
            }
        }
        write_pending();
    });
}

} // namespace agatespread::detail
