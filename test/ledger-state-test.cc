#include "turmericpier/ledger/state.h"

#include "ledger-samples.h"
#include "log.pb.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::ledger;
using log::LedgerResult;

namespace {
/// Applies items at successive indexes.
struct Ledger {
    LedgerResult apply(const log::LedgerItem& item)
    {
        log::LedgerBatch batch;
        *batch.add_items() = item;
        return state.apply(Index { ++index }, batch).results(0);
    }

    LedgerState state;
    uint64_t index = 0;
};
} // namespace

// Guards against running a non-repeatable request twice, and against refusing a claim that its holder repeats after a
// lost reply.
TEST_CASE("only one claim is accepted, and its holder may repeat it", "[ledger]")
{
    Ledger ledger;
    CHECK(ledger.apply(claimOf("r1", "e1", 1)).code() == LedgerResult::ACCEPTED);
    CHECK(ledger.apply(claimOf("r1", "e1", 1)).code() == LedgerResult::ACCEPTED);
    for (const auto& other : { claimOf("r1", "e2", 1), claimOf("r1", "e1", 1, "w2"), claimOf("r1", "e2", 0) }) {
        const auto refused = ledger.apply(other);
        CHECK(refused.code() == LedgerResult::CLAIMED_BEFORE);
        CHECK(refused.claim().entry() == "e1");
        CHECK(refused.claim().worker() == "w1");
    }
}

// Guards against two entries that replace the same fenced attempt, and against an entry that replaces an attempt it has
// not seen.
TEST_CASE("a claim is replaced only by the next attempt", "[ledger]")
{
    Ledger ledger;
    ledger.apply(claimOf("r1", "e1", 1));
    CHECK(ledger.apply(claimOf("r1", "e2", 2)).code() == LedgerResult::ACCEPTED);
    const auto second = ledger.apply(claimOf("r1", "e3", 2));
    CHECK(second.code() == LedgerResult::CLAIMED_BEFORE);
    CHECK(second.claim().entry() == "e2");
    CHECK(ledger.apply(claimOf("r1", "e1", 1)).code() == LedgerResult::CLAIMED_BEFORE);
    CHECK(ledger.apply(claimOf("r1", "e3", 4)).code() == LedgerResult::CLAIMED_BEFORE);
    CHECK(ledger.apply(claimOf("r1", "e3", 3)).code() == LedgerResult::ACCEPTED);
    CHECK(ledger.state.openClaims(10).results_size() == 1);
}

// Guards against a request that is recorded twice or whose outcome changes.
TEST_CASE("the first outcome of a request is final", "[ledger]")
{
    Ledger ledger;
    const auto first = ledger.apply(outcomeOf("r1", rpc::RAN, 1));
    CHECK(first.code() == LedgerResult::ACCEPTED);
    CHECK(first.outcome().index() == 1);
    const auto repeated = ledger.apply(outcomeOf("r1", rpc::RAN, 1));
    CHECK(repeated.code() == LedgerResult::ACCEPTED);
    CHECK(repeated.outcome().index() == 1);
    const auto other = ledger.apply(outcomeOf("r1", rpc::NOT_RUN, 2));
    CHECK(other.code() == LedgerResult::ENDED_BEFORE);
    CHECK(other.outcome().outcome() == rpc::RAN);
    CHECK(ledger.apply(claimOf("r1", "e1", 1)).code() == LedgerResult::ENDED_BEFORE);
    CHECK(ledger.state.find("duftwerk/east/r1").outcome().outcome() == rpc::RAN);
    CHECK(ledger.state.outcomesAfter(Index {}, "", 10).results_size() == 1);
}

// Guards against NOT_RUN for a request whose newer attempt may be running, and against a run that is not recorded.
TEST_CASE("an outcome of a replaced attempt is stale unless it is RAN", "[ledger]")
{
    Ledger ledger;
    ledger.apply(claimOf("r1", "e1", 1));
    ledger.apply(claimOf("r1", "e2", 2));
    for (auto outcome : { rpc::NOT_RUN, rpc::UNKNOWN }) {
        const auto stale = ledger.apply(outcomeOf("r1", outcome, 1));
        CHECK(stale.code() == LedgerResult::STALE_ATTEMPT);
        CHECK(stale.claim().entry() == "e2");
    }
    CHECK(ledger.apply(outcomeOf("r1", rpc::RAN, 1)).code() == LedgerResult::ACCEPTED);
    CHECK(ledger.apply(outcomeOf("r1", rpc::NOT_RUN, 2)).code() == LedgerResult::ENDED_BEFORE);
    CHECK(ledger.state.openClaims(10).results_size() == 0);
}

// Guards against an export that skips records at the end of a page.
TEST_CASE("pages of an export do not split the outcomes of one index", "[ledger]")
{
    LedgerState state;
    for (uint64_t index = 1; index <= 4; ++index) {
        log::LedgerBatch batch;
        for (int i = 0; i < 3; ++i)
            *batch.add_items() = outcomeOf(
                std::to_string(index) + "-" + std::to_string(i), rpc::RAN, 1, i == 0 ? "duftwerk" : "restoration");
        state.apply(Index { index }, batch);
    }
    for (const auto& [partner, expected] : { std::pair { "", 12 }, std::pair { "duftwerk", 4 } }) {
        for (size_t limit : { 1, 2, 4, 5, 7, 100 }) {
            int seen = 0;
            Index after;
            while (true) {
                const auto page = state.outcomesAfter(after, partner, limit);
                if (page.results_size() == 0)
                    break;
                seen += page.results_size();
                after = Index { page.results(page.results_size() - 1).outcome().index() };
            }
            CHECK(seen == expected);
        }
    }
}

// Guards against replicas that diverge after one of them installed a snapshot.
TEST_CASE("a restored ledger equals the original one", "[ledger]")
{
    Ledger ledger;
    for (int i = 0; i < 50; ++i) {
        ledger.apply(claimOf("c" + std::to_string(i), "e1", 1));
        ledger.apply(outcomeOf("r" + std::to_string(i), i % 2 == 0 ? rpc::RAN : rpc::UNKNOWN, 1));
    }
    Ledger other;
    REQUIRE(other.state.restore(ledger.state.snapshot()).ok());
    other.index = ledger.index;
    CHECK(other.state.snapshot() == ledger.state.snapshot());
    CHECK(other.state.dump() == ledger.state.dump());
    for (auto* one : { &ledger, &other }) {
        CHECK(one->apply(claimOf("c7", "e2", 1)).code() == LedgerResult::CLAIMED_BEFORE);
        CHECK(one->apply(outcomeOf("r7", rpc::RAN, 1)).code() == LedgerResult::ENDED_BEFORE);
        CHECK(one->apply(outcomeOf("c7", rpc::RAN, 1)).code() == LedgerResult::ACCEPTED);
    }
    CHECK(other.state.snapshot() == ledger.state.snapshot());
    CHECK_FALSE(other.state.restore("\xff\xff").ok());
    CHECK(other.state.snapshot() == ledger.state.snapshot());
}

// Guards against records that change or cannot be found once the store has several segments.
TEST_CASE("ten thousand records keep every field", "[ledger]")
{
    constexpr int count = 10'000;
    LedgerState state;
    const auto recordOf = [](int i) {
        auto item = outcomeOf("r" + std::to_string(i), static_cast<rpc::Outcome>(i % 3), i % 5);
        auto& record = *item.mutable_outcome();
        record.set_partner(i % 2 == 0 ? "duftwerk" : "restoration");
        record.set_reason(i % 7 == 0 ? "QUEUE_FULL" : "");
        record.set_worker("w" + std::to_string(i % 100));
        record.set_job(i % 11 == 0);
        return item;
    };
    for (int i = 0; i < count; ++i) {
        log::LedgerBatch batch;
        *batch.add_items() = recordOf(i);
        state.apply(Index { static_cast<uint64_t>(i + 1) * 1'000 }, batch);
    }
    const auto all = state.outcomesAfter(Index {}, "", count + 1);
    REQUIRE(all.results_size() == count);
    for (int i = 0; i < count; ++i) {
        auto expected = recordOf(i).outcome();
        expected.set_index(static_cast<uint64_t>(i + 1) * 1'000);
        const auto key = requestKey(expected.partner(), expected.home_region(), expected.request_id());
        REQUIRE(all.results(i).outcome().SerializeAsString() == expected.SerializeAsString());
        REQUIRE(state.find(key).outcome().SerializeAsString() == expected.SerializeAsString());
    }
    CHECK(state.outcomesAfter(Index { 5'000'000 }, "", 1).results(0).outcome().index() == 5'001'000);
}
