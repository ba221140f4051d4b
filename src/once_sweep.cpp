#include "once_row.h"

#include <agatespread/once.h>

#include <utility>

namespace agatespread {

void sweep_once_rows(platform& driver, const std::string& prefix,
                     std::chrono::system_clock::time_point now, const sweep_limits& limits,
                     platform::callback<sweep_result> done)
{
    driver.scan(
        prefix, limits.max_scanned,
        [&driver, now, limits,
         done = std::move(done)](const absl::StatusOr<std::vector<row>>& rows) {
            if (!rows.ok()) {
                done(rows.status());
                return;
            }
            sweep_result end;
            end.is_complete = rows->size() < limits.max_scanned;
            transaction removal;
            for (const row& candidate : *rows) {
                const std::optional<detail::once_row> decoded = detail::decode_row(candidate.value);
                if (!decoded || !detail::is_expired(*decoded, now)) {
                    continue;
                }
                if (removal.writes.size() == limits.max_removed) {
                    end.is_complete = false;
                    break;
                }
                // The scan may be stale; the precondition keeps a row that was replaced since.
                removal.preconditions.push_back({candidate.key, candidate.value});
                removal.writes.push_back({candidate.key, std::nullopt});
            }
            const std::size_t count = removal.writes.size();
            if (count == 0) {
                done(end);
                return;
            }
            driver.commit(std::move(removal),
                          [end, count, done](const absl::StatusOr<transaction_result>& result) {
                              if (!result.ok()) {
                                  done(result.status());
                                  return;
                              }
                              done(sweep_result{result->committed ? count : 0,
                                                end.is_complete && result->committed});
                          });
        });
}

} // namespace agatespread
