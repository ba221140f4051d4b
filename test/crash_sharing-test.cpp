#include "crash_sharing.h"

#include <agatespread/peers.h>

#include <gtest/gtest.h>

#include <set>

namespace agatespread {

namespace {

using detail::crash_sharing;
using detail::crash_sharing_options;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr time_point start = time_point(std::chrono::hours(1));

void apply(crash_guard& guard, const std::vector<crash_report>& reports, time_point now)
{
    for (const crash_report& report : reports) {
        guard.receive(report, now);
    }
}

} // namespace

// Guards against a node that starts after the reports of a crash were sent.
TEST(crash_sharing, page_passes_on_blocks_and_suspects)
{
    crash_guard guard({});
    guard.confirm(7, start);
    guard.suspect(8, start);
    crash_sharing sharing(guard, {});
    crash_guard restarted({});
    const time_point later = start + seconds(10);
    apply(restarted, sharing.next_page(later), later);
    EXPECT_EQ(restarted.check(7, later).state, suspicion::blocked);
    EXPECT_EQ(restarted.check(7, later).retry_after, guard.check(7, later).retry_after);
    EXPECT_EQ(restarted.check(8, later).state, suspicion::suspect);
}

// Guards against a block that nodes extend for each other beyond its end.
TEST(crash_sharing, repeated_pages_do_not_extend_a_block)
{
    crash_guard first({});
    crash_guard second({});
    crash_sharing from_first(first, {});
    crash_sharing from_second(second, {});
    first.confirm(7, start);
    const time_point end = start + first.check(7, start).retry_after;
    constexpr milliseconds network_delay{20};
    time_point now = start;
    for (; now < end + seconds(5); now += milliseconds(250)) {
        apply(second, from_first.next_page(now), now + network_delay);
        apply(first, from_second.next_page(now), now + network_delay);
    }
    EXPECT_NE(first.check(7, end + seconds(1)).state, suspicion::blocked);
    EXPECT_NE(second.check(7, end + seconds(1)).state, suspicion::blocked);
}

// Guards against nodes that return a suspect to each other after it was cleared, or for ever.
TEST(crash_sharing, suspects_end)
{
    crash_guard first({});
    crash_guard second({});
    crash_sharing from_first(first, {});
    crash_sharing from_second(second, {});
    first.suspect(7, start);
    first.suspect(8, start);
    apply(second, from_first.next_page(start), start);
    crash_report success;
    success.fingerprint = 7;
    success.cleared = true;
    const std::vector<crash_report> sent_before = from_second.next_page(start);
    first.receive(success, start + milliseconds(1));
    apply(first, sent_before, start + milliseconds(5));
    EXPECT_EQ(first.check(7, start + milliseconds(5)).state, suspicion::none);
    second.receive(success, start + milliseconds(10));
    time_point now = start + milliseconds(20);
    for (; now < start + minutes(30); now += seconds(1)) {
        apply(second, from_first.next_page(now), now);
        apply(first, from_second.next_page(now), now);
    }
    EXPECT_EQ(first.check(7, now).state, suspicion::none);
    EXPECT_EQ(first.check(8, now).state, suspicion::none);
    EXPECT_EQ(second.check(8, now).state, suspicion::none);
}

// Guards against a datagram that grows with the number of fingerprints, and against fingerprints
// that are never part of a page.
TEST(crash_sharing, pages_are_bounded_and_cover_all)
{
    crash_guard guard({});
    for (std::uint64_t fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        guard.suspect(fingerprint, start);
    }
    const crash_sharing_options options;
    crash_sharing sharing(guard, options);
    std::set<std::uint64_t> seen;
    for (int page = 0; page < 4; ++page) {
        for (const crash_report& report : sharing.next_page(start)) {
            EXPECT_LE(report.suspects.size(), options.suspects_per_page);
            seen.insert(report.suspects.begin(), report.suspects.end());
        }
    }
    EXPECT_EQ(seen.size(), 100U);
}

// Guards against a page that is split into fragments, of which the loss of any one loses all.
TEST(crash_sharing, report_with_a_full_page_fits_into_one_packet)
{
    constexpr std::size_t max_datagram_bytes = 1400;
    constexpr std::uint64_t first_fingerprint = 1ULL << 62U; // The longest encoding.
    crash_guard guard({});
    for (std::uint64_t offset = 0; offset < 100; ++offset) {
        guard.confirm(first_fingerprint + offset, start);
        guard.suspect(first_fingerprint + 1000 + offset, start);
    }
    crash_sharing sharing(guard, {});
    peer_report report;
    report.entry = {"sidecar-cairo-east-100", "cairo-east", "rounds-west", "10.128.200.100:65000",
                    "10.128.200.100:65001"};
    report.incarnation = first_fingerprint;
    report.crashes = sharing.next_page(start);
    EXPECT_EQ(report.crashes.size(), 17U); // 16 blocks and one list of suspects.
    EXPECT_LE(encode_report(report).size(), max_datagram_bytes);
}

TEST(crash_sharing, decisions_are_repeated_for_three_seconds)
{
    crash_guard guard({});
    crash_sharing sharing(guard, {});
    sharing.add({}, start);
    EXPECT_EQ(sharing.recent_decisions(start + seconds(3)).size(), 1U);
    EXPECT_EQ(sharing.recent_decisions(start + seconds(4)).size(), 0U);
}

} // namespace agatespread
