#include <agatespread/digest.h>
#include <agatespread/memory_platform.h>
#include <agatespread/store.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace agatespread {

namespace {

template <typename Result>
std::function<void(absl::StatusOr<Result>)> capture(std::optional<absl::StatusOr<Result>>& slot)
{
    return [&slot](absl::StatusOr<Result> result) { slot = std::move(result); };
}

// Queues the writes of one operator, so that a test controls how writes of operators interleave.
class stepped_platform final : public platform {
public:
    explicit stepped_platform(platform& shared) : shared_(shared) {}

    void commit(transaction request, callback<transaction_result> done) override
    {
        steps_.emplace_back([this, request = std::move(request), done = std::move(done)] {
            shared_.commit(request, done);
        });
    }
    void put_object(std::string id, std::string bytes, callback<bool> done) override
    {
        steps_.emplace_back([this, id = std::move(id), bytes = std::move(bytes),
                             done = std::move(done)] { shared_.put_object(id, bytes, done); });
    }
    void read(std::string key, callback<std::optional<std::string>> done) override
    {
        shared_.read(std::move(key), std::move(done));
    }
    void scan(std::string prefix, std::size_t limit, callback<std::vector<row>> done) override
    {
        shared_.scan(std::move(prefix), limit, std::move(done));
    }
    void get_object(std::string id, callback<std::string> done) override
    {
        shared_.get_object(std::move(id), std::move(done));
    }

    bool idle() const { return steps_.empty(); }

    void step()
    {
        const std::function<void()> next = std::move(steps_.front());
        steps_.pop_front();
        next();
    }

private:
    platform& shared_;
    std::deque<std::function<void()>> steps_;
};

class store_test : public testing::Test {
protected:
    static change make_change(const std::string& id, const std::string& subtree,
                              const std::string& document, const head& base = {},
                              const manifest& tree = {})
    {
        return {id, subtree, "operator-1", document, base, tree};
    }

    absl::StatusOr<accepted_change> commit(const change& request)
    {
        std::optional<absl::StatusOr<accepted_change>> result;
        store.commit(request, capture(result));
        return result.value();
    }

    absl::StatusOr<accepted_change> find(const std::string& id)
    {
        std::optional<absl::StatusOr<accepted_change>> result;
        store.find_change(id, capture(result));
        return result.value();
    }

    head checked_head()
    {
        std::optional<absl::StatusOr<head>> result;
        store.read_checked_head(capture(result));
        return result.value().value();
    }

    std::vector<version_entry> history()
    {
        std::optional<absl::StatusOr<std::vector<version_entry>>> result;
        store.read_history(100, capture(result));
        return result.value().value();
    }

    // Interleaves the writes of two operators in the given order. At most three responses are
    // lost, so that the four attempts of a commit always determine its outcome.
    static void race(const std::string& order, std::mt19937_64& engine)
    {
        manual_timer_service clock;
        memory_platform shared(clock);
        for (int fault = 0; fault < 3; ++fault) {
            shared.inject_write_outcome(write_outcome::answered, engine() % 4);
            shared.inject_write_outcome(static_cast<write_outcome>(engine() % 4), 1);
        }
        stepped_platform first(shared);
        stepped_platform second(shared);
        config_store first_store(first);
        config_store second_store(second);
        std::optional<absl::StatusOr<accepted_change>> results[2];
        first_store.commit(make_change("a", "nile-soy/rounds", "{}"), capture(results[0]));
        second_store.commit(make_change("b", "nile-soy/orders", "{}"), capture(results[1]));
        for (std::size_t i = 0; !first.idle() || !second.idle(); ++i) {
            const bool prefers_first = i >= order.size() || order[i] == 'a';
            (second.idle() || (prefers_first && !first.idle()) ? first : second).step();
        }
        shared.apply_late_writes();
        ASSERT_TRUE(results[0].has_value() && results[1].has_value());
        ASSERT_NE(results[0]->ok(), results[1]->ok());
        const std::size_t winner = results[0]->ok() ? 0 : 1;
        EXPECT_EQ(reason_of(results[1 - winner]->status(), "store"), "conflict");
        std::optional<absl::StatusOr<head>> current;
        first_store.read_head(capture(current));
        EXPECT_EQ(current->value(), results[winner]->value().accepted);
    }

    manual_timer_service timers;
    memory_platform driver{timers};
    config_store store{driver};
};

const manifest first_tree = {{"nile-soy/rounds", sha256_hex("{}")}};

} // namespace

// Guards against an accepted change whose head, manifest or document cannot be read.
TEST_F(store_test, accepted_change_is_readable)
{
    const absl::StatusOr<accepted_change> first =
        commit(make_change("c1", "nile-soy/rounds", "{}"));
    ASSERT_TRUE(first.ok()) << first.status();
    EXPECT_EQ(first->accepted.version, 1U);
    EXPECT_FALSE(first->repeated);
    EXPECT_EQ(checked_head(), first->accepted);
    std::optional<absl::StatusOr<manifest>> tree;
    store.read_manifest(first->accepted.manifest_id, capture(tree));
    EXPECT_EQ(tree->value(), first_tree);
    std::optional<absl::StatusOr<std::string>> document;
    store.read_object(sha256_hex("{}"), capture(document));
    EXPECT_EQ(document->value(), "{}");
}

// Guards against a history in the order of text, in which version 10 precedes version 9.
TEST_F(store_test, history_is_ordered_by_number)
{
    head base;
    for (int i = 1; i <= 11; ++i) {
        base = commit(make_change("c" + std::to_string(i), "nile-soy/rounds", "{}", base, {}))
                   ->accepted;
    }
    const std::vector<version_entry> entries = history();
    ASSERT_EQ(entries.size(), 11U);
    EXPECT_EQ(entries[0].version, 11U);
    EXPECT_EQ(entries[1].version, 10U);
    EXPECT_EQ(entries[2].version, 9U);
    EXPECT_EQ(entries[0].change_id, "c11");
    EXPECT_EQ(entries[0].operator_id, "operator-1");
}

// Guards against a removed subtree that remains in the manifest.
TEST_F(store_test, empty_document_removes_the_subtree)
{
    const head base = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    const head removed =
        commit(make_change("c2", "nile-soy/rounds", "", base, first_tree))->accepted;
    std::optional<absl::StatusOr<manifest>> tree;
    store.read_manifest(removed.manifest_id, capture(tree));
    EXPECT_EQ(tree->value(), manifest());
}

// Guards against an accepted change that is reported as rejected, or the reverse, after the
// response to the transaction was lost.
TEST_F(store_test, lost_response_to_the_commit_is_resolved)
{
    driver.inject_write_outcome(write_outcome::answered, 2); // The objects.
    driver.inject_write_outcome(write_outcome::response_lost, 1);
    const absl::StatusOr<accepted_change> result =
        commit(make_change("c1", "nile-soy/rounds", "{}"));
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_EQ(result->accepted, checked_head());
    EXPECT_FALSE(result->repeated);
    EXPECT_EQ(history().size(), 1U);
}

// Guards against a delayed transaction that takes effect after its outcome was reported: the retry
// is committed in its place, and the delayed transaction has no effect.
TEST_F(store_test, late_transaction_has_no_effect_after_it_was_resolved)
{
    driver.inject_write_outcome(write_outcome::answered, 2);
    driver.inject_write_outcome(write_outcome::applied_late, 1);
    const head accepted = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    const head newer = commit(make_change("c2", "nile-soy/orders", "{}", accepted))->accepted;
    driver.apply_late_writes();
    EXPECT_EQ(checked_head(), newer);
    EXPECT_EQ(find("c1")->accepted, accepted);
}

// Guards against a lost response that is reported as "unavailable", which means that the change was
// not accepted.
TEST_F(store_test, unresolved_outcome_is_reported_as_unknown)
{
    driver.inject_write_outcome(write_outcome::answered, 2);
    driver.inject_write_outcome(write_outcome::response_lost, 100);
    const absl::StatusOr<accepted_change> result =
        commit(make_change("c1", "nile-soy/rounds", "{}"));
    EXPECT_EQ(reason_of(result.status(), "store"), "outcome_unknown") << result.status();
    EXPECT_LE(driver.counts().writes, 10U);
}

// Guards against "unavailable" for a change that may have been accepted, when the platform goes
// down after a lost response, and against retries that are exhausted before the platform recovers.
TEST_F(store_test, commit_is_retried_through_an_outage_after_a_lost_response)
{
    config_store retrying_store(driver, &timers);
    platform_faults outage;
    outage.down = true;
    driver.inject_write_outcome(write_outcome::answered, 2);
    driver.inject_write_outcome(write_outcome::response_lost, 1);
    std::optional<absl::StatusOr<accepted_change>> result;
    retrying_store.commit(make_change("c1", "nile-soy/rounds", "{}"), capture(result));
    driver.set_faults(outage);
    timers.advance(std::chrono::milliseconds(400));
    EXPECT_FALSE(result.has_value());
    driver.set_faults({});
    timers.advance(std::chrono::seconds(2));
    ASSERT_TRUE(result.has_value());
    EXPECT_TRUE(result->ok()) << result->status();
}

// Guards against a pending retry that calls back into a destroyed caller.
TEST_F(store_test, destroyed_store_makes_no_further_attempt)
{
    std::optional<absl::StatusOr<accepted_change>> result;
    {
        config_store scoped_store(driver, &timers);
        driver.inject_write_outcome(write_outcome::answered, 2);
        driver.inject_write_outcome(write_outcome::request_lost, 1);
        scoped_store.commit(make_change("c1", "nile-soy/rounds", "{}"), capture(result));
    }
    timers.advance(std::chrono::seconds(10));
    EXPECT_FALSE(result.has_value());
    EXPECT_EQ(driver.counts().writes, 3U);

    platform_faults slow;
    slow.delay = std::chrono::milliseconds(10);
    driver.set_faults(slow);
    driver.inject_write_outcome(write_outcome::request_lost, 1);
    {
        config_store scoped_store(driver, &timers);
        scoped_store.commit(make_change("c2", "nile-soy/rounds", "{}"), capture(result));
    }
    timers.advance(std::chrono::seconds(10));
    EXPECT_FALSE(result.has_value());
    EXPECT_EQ(driver.counts().writes, 4U);
}

// Guards against a second version for a change that an operator retries with the same id.
TEST_F(store_test, repeated_change_id_returns_the_earlier_result)
{
    const head first = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    const head second =
        commit(make_change("c2", "nile-soy/orders", "{}", first, first_tree))->accepted;
    const change again = make_change("c1", "nile-soy/rounds", "{}", second, first_tree);
    const absl::StatusOr<accepted_change> result = commit(again);
    ASSERT_TRUE(result.ok()) << result.status();
    EXPECT_TRUE(result->repeated);
    EXPECT_EQ(result->accepted, first);
    EXPECT_EQ(checked_head(), second);
}

// Guards against a new change that gets the result of an earlier one with the same id.
TEST_F(store_test, change_id_with_other_content_is_a_conflict)
{
    const head first = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    const absl::StatusOr<accepted_change> result =
        commit(make_change("c1", "nile-soy/orders", "{}", first, first_tree));
    EXPECT_EQ(reason_of(result.status(), "store"), "conflict") << result.status();
}

// Guards against a conflict whose message omits what the operator has to validate again.
TEST_F(store_test, conflict_names_subtree_and_both_versions)
{
    commit(make_change("c1", "nile-soy/rounds", "{}")).value();
    const absl::StatusOr<accepted_change> result =
        commit(make_change("c2", "nile-soy/orders", "{}"));
    EXPECT_EQ(reason_of(result.status(), "store"), "conflict");
    EXPECT_EQ(result.status().message(), "subtree nile-soy/orders: validated against version 0, "
                                         "but the head is version 1");
}

// Guards against a fence that is set from a stale head, which would lower a node's version.
TEST_F(store_test, checked_head_is_not_stale)
{
    const head first = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    platform_faults stale;
    stale.stale_reads = true;
    driver.set_faults(stale);
    const head second = commit(make_change("c2", "nile-soy/orders", "{}", first))->accepted;
    std::optional<absl::StatusOr<head>> plain;
    store.read_head(capture(plain));
    EXPECT_EQ(plain->value(), first);
    EXPECT_EQ(checked_head(), second);
    EXPECT_EQ(find("c2")->accepted, second);
}

// Guards against a configuration that is applied from corrupt or missing objects.
TEST_F(store_test, corrupt_and_missing_objects_are_rejected)
{
    const head first = commit(make_change("c1", "nile-soy/rounds", "{}"))->accepted;
    platform_faults damage;
    damage.corrupt_objects = {sha256_hex("{}")};
    damage.missing_objects = {first.manifest_id};
    driver.set_faults(damage);
    std::optional<absl::StatusOr<manifest>> tree;
    store.read_manifest(first.manifest_id, capture(tree));
    EXPECT_EQ(reason_of(tree->status(), "store"), "not_found");
    std::optional<absl::StatusOr<std::string>> document;
    store.read_object(sha256_hex("{}"), capture(document));
    EXPECT_EQ(reason_of(document->status(), "store"), "corrupt");
}

// Guards against calls that never complete, or that succeed, while the platform is down.
TEST_F(store_test, everything_is_unavailable_while_the_platform_is_down)
{
    platform_faults outage;
    outage.down = true;
    driver.set_faults(outage);
    EXPECT_EQ(reason_of(commit(make_change("c1", "nile-soy/rounds", "{}")).status(), "store"),
              "unavailable");
    EXPECT_EQ(reason_of(find("c1").status(), "store"), "unavailable");
    std::optional<absl::StatusOr<head>> checked;
    store.read_checked_head(capture(checked));
    EXPECT_EQ(reason_of(checked->status(), "store"), "unavailable");
    std::optional<absl::StatusOr<std::vector<version_entry>>> entries;
    store.read_history(5, capture(entries));
    EXPECT_EQ(reason_of(entries->status(), "store"), "unavailable");
    EXPECT_TRUE(driver.rows().empty());
}

// Guards against a rate-limited transaction that is reported as accepted or as unknown.
TEST_F(store_test, rate_limit_is_reported_as_unavailable)
{
    platform_faults limited;
    limited.writes_per_second = 2; // Sufficient for the objects only.
    driver.set_faults(limited);
    const absl::StatusOr<accepted_change> result =
        commit(make_change("c1", "nile-soy/rounds", "{}"));
    EXPECT_EQ(reason_of(result.status(), "store"), "unavailable") << result.status();
    timers.advance(std::chrono::seconds(1));
    EXPECT_EQ(checked_head().version, 0U);
}

// Guards against the same version for two concurrent changes, and against an accepted version that
// is lost, in all interleavings of two commits and with lost requests and responses.
TEST_F(store_test, exactly_one_of_two_concurrent_commits_is_accepted)
{
    constexpr std::size_t steps = 8; // Each operator: two objects, a transaction and retries.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 engine(seed);
        std::string order = std::string(steps / 2, 'a') + std::string(steps / 2, 'b');
        do {
            race(order, engine);
            ASSERT_FALSE(HasFailure()) << "order " << order << " seed " << seed;
        } while (std::next_permutation(order.begin(), order.end()));
    }
}

} // namespace agatespread
