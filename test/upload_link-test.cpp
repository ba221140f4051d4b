#include <agatespread/placement.h>
#include <agatespread/upload_link.h>

#include <gtest/gtest.h>

#include <random>

namespace agatespread {

namespace {

using std::chrono::milliseconds;

constexpr double ten_megabit = 1.25e6; // Bytes per second.

time_point at(int ms)
{
    return time_point(std::chrono::hours(1) + milliseconds(ms));
}

} // namespace

// Replays uploads of 60 kB on a link of 10 Mbit/s. Guards against a time that does not show that
// the link is nearly full.
TEST(upload_link, expected_time_grows_with_the_use_of_the_link)
{
    upload_meter meter(ten_megabit);
    EXPECT_LT(meter.upload_time(at(0)), milliseconds(60));
    for (int upload = 0; upload < 17; ++upload) { // 88 % of the link.
        meter.add(60000, at(upload * 58));
    }
    EXPECT_NEAR(meter.use(at(990)), 0.88, 0.02);
    EXPECT_GT(meter.upload_time(at(990)), milliseconds(400));
    EXPECT_EQ(meter.use(at(5000)), 0);
    EXPECT_LT(meter.upload_time(at(5000)), milliseconds(60));
}

TEST(upload_link, link_without_a_limit_takes_no_time)
{
    upload_meter meter(0);
    meter.add(1 << 20, at(0));
    EXPECT_EQ(meter.upload_time(at(0)).count(), 0);
}

// Replays two hosts with equal slots, one of which has a full link. Guards against an upload that
// waits for a link while another one is free.
TEST(upload_link, upload_goes_to_the_host_with_the_free_link)
{
    std::mt19937_64 engine{3};
    placement_candidate full;
    full.load.slots = 9;
    full.load.service_time = milliseconds(180);
    full.load.upload_time = milliseconds(1800);
    placement_candidate idle = full;
    idle.load.upload_time = milliseconds(60);
    placement_request upload;
    upload.time_to_objective = milliseconds(800);
    upload.upload_bytes = 60000;
    placement_request small = upload;
    small.upload_bytes = 0;
    int small_at_full = 0;
    for (int request = 0; request < 200; ++request) {
        EXPECT_EQ(choose_upstream({full, idle}, upload, {}, [&engine] { return engine(); }), 1U);
        const std::optional<std::size_t> chosen =
            choose_upstream({full, idle}, small, {}, [&engine] { return engine(); });
        small_at_full += chosen == 0U ? 1 : 0;
    }
    EXPECT_GT(small_at_full, 50);
}

// The local host is preferred until its link is clearly slower than one of another domain.
TEST(upload_link, upload_leaves_its_domain_only_for_a_clearly_shorter_time)
{
    std::mt19937_64 engine{3};
    const random_source random = [&engine] { return engine(); };
    placement_candidate local;
    local.load.slots = 9;
    local.load.service_time = milliseconds(180);
    local.load.upload_time = milliseconds(200);
    placement_candidate remote = local;
    remote.local_domain = false;
    remote.load.upload_time = milliseconds(60);
    placement_request upload;
    upload.time_to_objective = milliseconds(800);
    upload.upload_bytes = 60000;
    EXPECT_EQ(choose_upstream({local, remote}, upload, {}, random), 0U);
    local.load.upload_time = milliseconds(1500);
    EXPECT_EQ(choose_upstream({local, remote}, upload, {}, random), 1U);
}

} // namespace agatespread
