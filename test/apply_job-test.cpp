#include "apply_job.h"

#include <agatespread/memory_platform.h>
#include <agatespread/store.h>
#include <agatespread/timer.h>
#include <agatespread/tree.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace agatespread {

namespace {

using testing::HasSubstr;

std::string document(const std::string& service)
{
    const std::string yaml = "services: [{name: " + service +
                             ", tenant: t}]\n"
                             "clusters: [{name: all, service: " +
                             service +
                             "}]\n"
                             "routes: [{service: " +
                             service + ", prefix: /, cluster: all, timeout: 1s}]\n";
    return canonical_subtree(yaml, "test.yaml").value();
}

class apply_job : public testing::Test {
protected:
    using result = absl::StatusOr<apply_result>;

    /// Starts to apply a change; `outcome` receives the result.
    void start(apply_request request, std::optional<result>& outcome)
    {
        apply_change(
            store, std::move(request), [this] { return in_force; },
            [&outcome](result finished) { outcome = std::move(finished); });
    }

    std::optional<result> apply(const std::string& subtree, const std::string& text,
                                const std::string& change_id)
    {
        std::optional<result> outcome;
        start({subtree, text, change_id, "operator-1", false}, outcome);
        return outcome;
    }

    /// Delays the platform's responses, so that changes that start now run concurrently.
    void delay_platform()
    {
        platform_faults faults;
        faults.delay = std::chrono::milliseconds(10);
        driver.set_faults(faults);
    }

    manual_timer_service timers;
    memory_platform driver{timers};
    config_store store{driver};
    local_configuration in_force; ///< On the node of the operator's request.
};

} // namespace

TEST_F(apply_job, sequential_changes_of_different_subtrees_are_accepted)
{
    EXPECT_EQ(apply("a/x", document("s1"), "c1")->value().accepted.accepted.version, 1U);
    EXPECT_EQ(apply("a/y", document("s2"), "c2")->value().accepted.accepted.version, 2U);
}

// Guards against a change that is never in force, since nodes that hold a version do not take
// another one with the same number, and against the silent loss of the change that was in force
// before.
TEST_F(apply_job, version_is_not_given_out_again_after_a_return_from_a_copy)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    driver.save_copy();
    const config_version lost =
        apply("a/x", document("s2"), "c2")->value().accepted.accepted.version;
    in_force = {lost, {{"a/x", document("s2")}}};
    driver.restore_copy();
    const std::optional<result> next = apply("a/y", document("s3"), "c3");
    ASSERT_TRUE(next && next->ok());
    EXPECT_GT((*next)->accepted.accepted.version, lost);
    const head accepted = (*next)->accepted.accepted;
    absl::StatusOr<manifest> tree;
    store.read_manifest(accepted.manifest_id,
                        [&tree](absl::StatusOr<manifest> read) { tree = std::move(read); });
    ASSERT_TRUE(tree.ok());
    absl::StatusOr<std::string> kept;
    store.read_object((*tree)["a/x"],
                      [&kept](absl::StatusOr<std::string> read) { kept = std::move(read); });
    ASSERT_TRUE(kept.ok());
    EXPECT_EQ(*kept, document("s2"));
    EXPECT_EQ(tree->count("a/y"), 1U);
}

// Guards against a change on a stale head that replaces newer ones, as if the platform had lost
// them.
TEST_F(apply_job, stale_head_does_not_replace_newer_versions)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    platform_faults stale;
    stale.stale_reads = true;
    driver.set_faults(stale);
    ASSERT_TRUE(apply("a/y", document("s2"), "c2")->ok());
    in_force = {2, {{"a/x", document("s1")}, {"a/y", document("s2")}}};
    std::optional<result> third;
    start({"a/z", document("s3"), "c3", "operator-1", false}, third);
    ASSERT_TRUE(third);
    EXPECT_FALSE(third->ok());
    driver.set_faults({});
    EXPECT_EQ(apply("a/z", document("s3"), "c4")->value().accepted.accepted.version, 3U);
}

TEST_F(apply_job, change_that_makes_the_tree_invalid_is_refused)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    const std::optional<result> refused = apply("a/y", document("s1"), "c2");
    ASSERT_TRUE(refused);
    EXPECT_EQ(reason_of(refused->status(), "tree"), "refused");
    EXPECT_EQ(apply("a/y", document("s2"), "c3")->value().accepted.accepted.version, 2U);
}

TEST_F(apply_job, dry_run_changes_nothing)
{
    std::optional<result> outcome;
    start({"a/x", document("s1"), "c1", "operator-1", true}, outcome);
    ASSERT_TRUE(outcome && outcome->ok());
    EXPECT_TRUE((*outcome)->dry_run);
    EXPECT_EQ(apply("a/x", document("s1"), "c2")->value().accepted.accepted.version, 1U);
}

TEST_F(apply_job, empty_document_removes_the_subtree)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    ASSERT_TRUE(apply("a/x", "", "c2")->ok());
    // Another subtree may define service s1 now.
    EXPECT_TRUE(apply("a/y", document("s1"), "c3")->ok());
}

// Guards against a lost update: two operators read the same version and both commit, and without
// the check of the subtree the second commit would silently overwrite the first.
TEST_F(apply_job, concurrent_changes_of_the_same_subtree_conflict_and_report_both_versions)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    delay_platform();
    std::optional<result> first;
    std::optional<result> second;
    start({"a/x", document("s2"), "c2", "operator-1", false}, first);
    start({"a/x", document("s3"), "c3", "operator-1", false}, second);
    timers.advance(std::chrono::seconds(1));
    ASSERT_TRUE(first && second);
    EXPECT_TRUE(first->ok());
    ASSERT_FALSE(second->ok());
    EXPECT_EQ(reason_of(second->status(), "store"), "conflict");
    EXPECT_THAT(std::string(second->status().message()), HasSubstr("a/x"));
    EXPECT_THAT(std::string(second->status().message()), HasSubstr("version 1"));
    EXPECT_THAT(std::string(second->status().message()), HasSubstr("version 2"));
}

// Guards against refusing a change only because another subtree changed concurrently.
TEST_F(apply_job, concurrent_changes_of_different_subtrees_are_both_accepted)
{
    delay_platform();
    std::optional<result> first;
    std::optional<result> second;
    start({"a/x", document("s1"), "c1", "operator-1", false}, first);
    start({"a/y", document("s2"), "c2", "operator-2", false}, second);
    timers.advance(std::chrono::seconds(2));
    ASSERT_TRUE(first && second);
    ASSERT_TRUE(first->ok());
    ASSERT_TRUE(second->ok()) << second->status();
    EXPECT_EQ((*first)->accepted.accepted.version + (*second)->accepted.accepted.version, 3U);
}

// Guards against two concurrent changes that are each valid but not together: the second one must
// be validated against the tree of the first before it is committed.
TEST_F(apply_job, concurrent_change_that_makes_the_tree_invalid_is_refused)
{
    delay_platform();
    std::optional<result> first;
    std::optional<result> second;
    start({"a/x", document("s1"), "c1", "operator-1", false}, first);
    start({"a/y", document("s1"), "c2", "operator-2", false}, second);
    timers.advance(std::chrono::seconds(2));
    ASSERT_TRUE(first && second);
    EXPECT_TRUE(first->ok());
    ASSERT_FALSE(second->ok());
    EXPECT_EQ(reason_of(second->status(), "tree"), "refused");
}

// Guards against applying a change twice when it is retried after its response was lost.
TEST_F(apply_job, retry_with_the_same_change_id_returns_the_accepted_version)
{
    ASSERT_TRUE(apply("a/x", document("s1"), "c1")->ok());
    const std::optional<result> repeated = apply("a/x", document("s1"), "c1");
    ASSERT_TRUE(repeated && repeated->ok()) << repeated->status();
    EXPECT_TRUE((*repeated)->accepted.repeated);
    EXPECT_EQ((*repeated)->accepted.accepted.version, 1U);
}

} // namespace agatespread
