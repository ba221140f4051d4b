#include <agatespread/upload_grants.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr double ten_megabit = 1.25e6; // Bytes per second.
constexpr std::size_t body = 60000;    // 52 ms on the link.

time_point at(int ms)
{
    return time_point(std::chrono::hours(1) + milliseconds(ms));
}

} // namespace

// Guards against several bodies on a slow link at a time, behind which calls run out of time.
TEST(upload_grants, few_bodies_are_in_transit)
{
    upload_grants grants(ten_megabit);
    EXPECT_EQ(grants.offer({1, body}, at(0)).granted.size(), 1U);
    for (std::uint64_t id = 2; id <= 5; ++id) {
        EXPECT_TRUE(grants.offer({id, body}, at(1)).granted.empty());
    }
    EXPECT_EQ(grants.queued(), 4U);
    EXPECT_EQ(grants.finish(1, at(52)).granted, std::vector<std::uint64_t>{2});
    EXPECT_EQ(grants.granted(), 1U);
}

// Guards against a link that is idle between small bodies, of which several fit.
TEST(upload_grants, small_bodies_are_granted_together)
{
    upload_grants grants(ten_megabit);
    EXPECT_EQ(grants.offer({1, 20000}, at(0)).granted.size(), 1U);
    EXPECT_EQ(grants.offer({2, 20000}, at(0)).granted.size(), 1U);
    EXPECT_TRUE(grants.offer({3, 20000}, at(0)).granted.empty());
}

// Guards against an upload that waits for a link which cannot receive it in time.
TEST(upload_grants, offer_that_would_arrive_late_is_refused_at_once)
{
    upload_grants grants(ten_megabit);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        EXPECT_TRUE(grants.offer({id, body, at(800)}, at(0)).refused.empty()) << id;
    }
    const upload_decisions late = grants.offer({11, body, at(500)}, at(0));
    ASSERT_EQ(late.refused.size(), 1U);
    EXPECT_EQ(late.refused[0].id, 11U);
    EXPECT_NEAR(static_cast<double>(late.refused[0].retry_after.count()), 518, 3);
    // The objective of a late upload has passed; it takes its turn.
    EXPECT_TRUE(grants.offer({12, body}, at(0)).refused.empty());
}

// Guards against offers that are neither granted nor refused after a slow body before them.
TEST(upload_grants, offer_that_has_become_late_is_refused)
{
    upload_grants grants(ten_megabit);
    grants.offer({1, body}, at(0));
    grants.offer({2, body, at(200)}, at(0));
    EXPECT_TRUE(grants.expire(at(140)).refused.empty());
    EXPECT_EQ(grants.expire(at(160)).refused.size(), 1U);
    EXPECT_EQ(grants.queued(), 0U);
}

// Guards against a link that stays reserved for a sender that was killed or cut off.
TEST(upload_grants, grant_of_a_lost_sender_ends)
{
    upload_grants grants(ten_megabit);
    grants.offer({1, body}, at(0));
    grants.offer({2, body}, at(0));
    EXPECT_TRUE(grants.expire(at(400)).granted.empty());
    EXPECT_EQ(grants.expire(at(600)).granted, std::vector<std::uint64_t>{2});
}

// Guards against a grant for an upload whose client has left, and against an id that was never
// offered.
TEST(upload_grants, withdrawn_offer_is_not_granted)
{
    upload_grants grants(ten_megabit);
    grants.offer({1, body}, at(0));
    grants.offer({2, body}, at(0));
    grants.offer({3, body}, at(0));
    EXPECT_TRUE(grants.finish(2, at(10)).granted.empty());
    EXPECT_TRUE(grants.finish(77, at(10)).granted.empty());
    EXPECT_EQ(grants.finish(1, at(52)).granted, std::vector<std::uint64_t>{3});
}

TEST(upload_grants, link_without_a_limit_receives_everything)
{
    upload_grants grants(0);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        EXPECT_EQ(grants.offer({id, body, at(1)}, at(0)).granted.size(), 1U);
    }
}

// Replays random offers, withdrawals and lost senders. Guards against bytes that stay counted, so
// that the link ends up closed, and against offers without a decision.
TEST(upload_grants, all_offers_are_decided_and_nothing_stays_reserved)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 engine(seed);
        upload_grants grants(ten_megabit);
        std::map<std::uint64_t, bool> open; // By id: whether it is granted.
        const auto apply = [&open](const upload_decisions& decisions) {
            for (const std::uint64_t id : decisions.granted) {
                ASSERT_EQ(open.count(id), 1U);
                open[id] = true;
            }
            for (const upload_refusal& refusal : decisions.refused) {
                ASSERT_EQ(open.erase(refusal.id), 1U);
            }
        };
        int now = 0;
        for (std::uint64_t id = 1; id <= 300; ++id) {
            now += static_cast<int>(engine() % 30);
            open[id] = false;
            const std::size_t bytes = 20000 + engine() % 340000;
            apply(grants.offer({id, bytes, engine() % 5 == 0 ? time_point() : at(now + 800)},
                               at(now)));
            if (engine() % 2 == 0 && !open.empty()) {
                const auto chosen =
                    std::next(open.begin(), static_cast<std::ptrdiff_t>(engine() % open.size()));
                const std::uint64_t ended = chosen->first;
                open.erase(chosen);
                apply(grants.finish(ended, at(now)));
            }
            apply(grants.expire(at(now)));
        }
        for (int round = 0; round < 400; ++round) {
            now += 1000;
            apply(grants.expire(at(now)));
        }
        EXPECT_EQ(grants.queued(), 0U) << "seed " << seed;
        EXPECT_EQ(grants.granted(), 0U) << "seed " << seed;
        EXPECT_EQ(
            std::count_if(open.begin(), open.end(), [](const auto& each) { return !each.second; }),
            0)
            << "seed " << seed;
        EXPECT_EQ(grants.offer({1000, body, at(now + 800)}, at(now)).granted.size(), 1U);
    }
}

} // namespace agatespread
