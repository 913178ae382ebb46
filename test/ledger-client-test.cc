#include "turmericpier/ledger/client.h"

#include "log.pb.h"
#include "peer_generated.h"
#include "turmericpier/base/error.h"
#include "turmericpier/ledger/state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <random>

using namespace turmericpier;
using namespace turmericpier::ledger;
using log::LedgerResult;
using peer::wire::LedgerReplyT;
using peer::wire::LedgerSubmitT;
using peer::wire::RefusalT;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const GroupId east("east");

struct SentMessage {
    InstanceId to;
    uint64_t correlation = 0;
    LedgerSubmitT submit;

    log::LedgerBatch batch() const
    {
        log::LedgerBatch items;
        REQUIRE(items.ParseFromArray(submit.batch.data(), static_cast<int>(submit.batch.size())));
        return items;
    }
};

/// A client of a group of three members, with a fake network that queues all messages, and the state of the group.
struct Fixture {
    explicit Fixture(ClientOptions options = {})
    {
        if (options.groups.empty())
            options.groups = { { east, { InstanceId("l1"), InstanceId("l2"), InstanceId("l3") } } };
        client.emplace(std::move(options),
            ClientHooks { [this](const InstanceId& to, uint64_t correlation, LedgerSubmitT submit) {
                if (isDisconnected)
                    return false;
                sent.push_back({ to, correlation, std::move(submit) });
                return true;
            } },
            metrics);
    }

    TimePoint now() const { return clock.now(); }

    log::LedgerItem itemOf(const std::string& id, uint32_t attempt = 1) const
    {
        log::LedgerItem item;
        item.mutable_claim()->set_key(requestKey("duftwerk", "east", id));
        item.mutable_claim()->set_entry("e1");
        item.mutable_claim()->set_worker("w1");
        item.mutable_claim()->set_attempt(attempt);
        return item;
    }

    void submit(const std::string& id, Duration timeout = seconds(10))
    {
        client->submit(
            east, itemOf(id), now() + timeout, [this, id](auto result) { completed[id].push_back(std::move(result)); },
            now());
    }

    void tickAfter(Duration duration)
    {
        clock.advance(duration);
        client->tick(now());
    }

    SentMessage take()
    {
        REQUIRE_FALSE(sent.empty());
        auto first = std::move(sent.front());
        sent.pop_front();
        return first;
    }

    /// Applies the batch of a message and returns the reply.
    LedgerReplyT commit(const SentMessage& message)
    {
        const auto results = state.apply(Index { ++index }, message.batch());
        LedgerReplyT reply;
        reply.results.resize(results.ByteSizeLong());
        results.SerializeWithCachedSizesToArray(reply.results.data());
        return reply;
    }

    bool commitAndReply(const SentMessage& message)
    {
        return client->handleReply(message.correlation, commit(message), now());
    }

    bool refuse(const SentMessage& message, const std::string& hint, Outcome outcome = Outcome::NotRun)
    {
        RefusalT refusal;
        refusal.outcome = static_cast<int>(outcome);
        refusal.leader_hint = hint;
        return client->handleRefusal(message.correlation, refusal, now());
    }

    LedgerResult::Code codeOf(const std::string& id)
    {
        REQUIRE(completed[id].size() == 1);
        REQUIRE(completed[id][0].ok());
        return completed[id][0]->code();
    }

    Outcome errorOutcomeOf(const std::string& id)
    {
        REQUIRE(completed[id].size() == 1);
        REQUIRE_FALSE(completed[id][0].ok());
        return detailsOf(completed[id][0].status()).outcome;
    }

    ManualClock clock;
    Metrics metrics;
    std::deque<SentMessage> sent;
    bool isDisconnected = false;
    LedgerState state;
    uint64_t index = 0;
    std::map<std::string, std::vector<absl::StatusOr<LedgerResult>>> completed;
    std::optional<Client> client;
};
} // namespace

// Guards against added latency at low load, and against one message per item at high load.
TEST_CASE("a batch is sent immediately below the limit in flight, and items are collected at the limit", "[ledger]")
{
    Fixture f({ .groups = { { east, { InstanceId("l1") }, 2 } }, .maxItems = 3 });
    for (int i = 0; i < 9; ++i) {
        f.submit("r" + std::to_string(i));
        f.client->flush(f.now());
    }
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[0].batch().items_size() == 1);
    const auto first = f.take();
    CHECK(f.commitAndReply(first));
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].batch().items_size() == 3);
    while (!f.sent.empty())
        CHECK(f.commitAndReply(f.take()));
    CHECK(f.client->isIdle());
    for (int i = 0; i < 9; ++i)
        CHECK(f.codeOf("r" + std::to_string(i)) == LedgerResult::ACCEPTED);
    CHECK(f.index == 5); // 1 + 1 + 3 + 3 + 1 items
}

// Guards against a batch that exceeds the byte limit, and against a large item that is never sent.
TEST_CASE("batches respect the byte limit, and a larger item is sent alone", "[ledger]")
{
    Fixture f({ .maxBytes = 200, .maxItemBytes = 1'000 });
    f.submit("a");
    f.submit(std::string(500, 'b'));
    f.submit("c");
    f.submit(std::string(2'000, 'd'));
    f.client->flush(f.now());
    REQUIRE(f.sent.size() == 3);
    for (const auto& message : f.sent)
        CHECK(message.batch().items_size() == 1);
    CHECK(f.errorOutcomeOf(std::string(2'000, 'd')) == Outcome::NotRun);
}

// Guards against an item that is lost with its reply, or recorded twice by the resend.
TEST_CASE("after a lost reply, the same batch is resent and gets the recorded results", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.submit("r2");
    f.client->flush(f.now());
    const auto first = f.take();
    const auto lateReply = f.commit(first);
    f.tickAfter(milliseconds(499));
    CHECK(f.sent.empty());
    f.tickAfter(milliseconds(1));
    const auto second = f.take();
    CHECK(second.submit.batch == first.submit.batch);
    CHECK(second.to != first.to);
    CHECK(f.commitAndReply(second));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
    CHECK(f.state.openClaims(10).results_size() == 2);
    // The reply to the first attempt arrives after the reply to the second.
    CHECK_FALSE(f.client->handleReply(first.correlation, lateReply, f.now()));
}

// Guards against a client that keeps sending to the old leader, or that follows leader hints in a cycle without a
// backoff.
TEST_CASE("the client follows the leader hint of a refusal", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.client->flush(f.now());
    CHECK(f.refuse(f.take(), "l3"));
    const auto second = f.take();
    CHECK(second.to == InstanceId("l3"));
    CHECK(f.commitAndReply(second));
    f.submit("r2");
    f.client->flush(f.now());
    CHECK(f.sent.front().to == InstanceId("l3"));
    for (int i = 0; i < 3; ++i)
        f.refuse(f.take(), i % 2 == 0 ? "l1" : "l3");
    f.refuse(f.take(), "l3");
    CHECK(f.sent.empty());
    f.tickAfter(seconds(1));
    CHECK(f.commitAndReply(f.take()));
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
}

// Guards against a refusal that has no leader hint, or names its sender, and fails the item or causes a resend without
// a backoff.
TEST_CASE("without a known leader the members are tried in turn", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.client->flush(f.now());
    std::vector<std::string> tried;
    for (int i = 0; i < 4; ++i) {
        const auto message = f.take();
        tried.push_back(message.to.str());
        f.refuse(message, i % 2 == 0 ? "" : message.to.str());
        CHECK(f.sent.empty());
        f.tickAfter(milliseconds(500));
    }
    CHECK(tried == std::vector<std::string> { "l1", "l2", "l3", "l1" });
}

// Guards against NotRun for an item that may be in the log.
TEST_CASE("an expired item is NotRun only if it was never sent or always refused", "[ledger]")
{
    Fixture f;
    SECTION("sent without an answer")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(seconds(2));
        CHECK(f.errorOutcomeOf("r1") == Outcome::Unknown);
    }
    SECTION("never sent")
    {
        f.isDisconnected = true;
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(seconds(2));
        CHECK(f.errorOutcomeOf("r1") == Outcome::NotRun);
    }
    SECTION("refused as not run")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.refuse(f.take(), "");
        f.clock.advance(seconds(2));
        f.client->tick(f.now());
        CHECK(f.errorOutcomeOf("r1") == Outcome::NotRun);
    }
    SECTION("refused as unknown")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.refuse(f.take(), "", Outcome::Unknown);
        f.isDisconnected = true;
        f.tickAfter(seconds(2));
        CHECK(f.errorOutcomeOf("r1") == Outcome::Unknown);
    }
    SECTION("one attempt unanswered, a later one refused")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(milliseconds(500));
        f.take();
        f.refuse(f.take(), "");
        f.isDisconnected = true;
        f.tickAfter(seconds(2));
        CHECK(f.errorOutcomeOf("r1") == Outcome::Unknown);
    }
    CHECK(f.client->isIdle());
}

// Guards against an item that was reported as NotRun and is committed by a later attempt of its batch.
TEST_CASE("an item reported as NotRun is removed from its batch", "[ledger]")
{
    Fixture f;
    f.isDisconnected = true;
    f.submit("r1", seconds(1));
    f.submit("r2");
    f.submit("r3", seconds(1));
    f.client->flush(f.now());
    f.tickAfter(seconds(1));
    CHECK(f.errorOutcomeOf("r1") == Outcome::NotRun);
    CHECK(f.errorOutcomeOf("r3") == Outcome::NotRun);
    f.isDisconnected = false;
    f.tickAfter(seconds(1));
    CHECK(f.commitAndReply(f.take()));
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
    CHECK(f.state.openClaims(10).results_size() == 1);
}

// Guards against a reply that is matched to the wrong items when batches are answered out of order.
TEST_CASE("replies may arrive in any order", "[ledger]")
{
    Fixture f({ .maxItems = 1 });
    log::LedgerBatch recorded;
    *recorded.add_items() = f.itemOf("r2");
    recorded.mutable_items(0)->mutable_claim()->set_entry("e2");
    f.state.apply(Index { ++f.index }, recorded);
    for (const char* id : { "r1", "r2", "r3" })
        f.submit(id);
    f.client->flush(f.now());
    const auto first = f.take();
    const auto second = f.take();
    const auto third = f.take();
    CHECK(f.commitAndReply(third));
    CHECK(f.commitAndReply(second));
    CHECK(f.commitAndReply(first));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.codeOf("r2") == LedgerResult::CLAIMED_BEFORE);
    CHECK(f.completed["r2"][0]->claim().entry() == "e2");
    CHECK(f.codeOf("r3") == LedgerResult::ACCEPTED);
}

// Guards against a damaged reply that completes a batch.
TEST_CASE("a reply that does not match its batch is ignored and the batch is resent", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.client->flush(f.now());
    LedgerReplyT empty;
    CHECK(f.client->handleReply(f.take().correlation, empty, f.now()));
    CHECK(f.completed.empty());
    f.tickAfter(milliseconds(500));
    CHECK(f.commitAndReply(f.take()));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.metrics.counter("ledger_client_bad_replies_total").value() == 1);
}

// Guards against an unbounded queue while the group is unreachable, and against items that never complete on shutdown.
TEST_CASE("a full queue refuses items, and failAll completes every item", "[ledger]")
{
    Fixture f({ .groups = { { east, { InstanceId("l1") }, 1 } }, .maxItems = 1, .maxQueued = 2 });
    f.submit("r1");
    f.client->flush(f.now());
    for (const char* id : { "r2", "r3", "r4" })
        f.submit(id);
    CHECK(f.errorOutcomeOf("r4") == Outcome::NotRun);
    f.client->failAll();
    CHECK(f.errorOutcomeOf("r1") == Outcome::Unknown);
    CHECK(f.errorOutcomeOf("r2") == Outcome::NotRun);
    CHECK(f.errorOutcomeOf("r3") == Outcome::NotRun);
    CHECK(f.client->isIdle());
}

// Guards against combinations of losses, delays, duplicates and leader changes that complete an item twice, never, with
// the result of another item or with an outcome that contradicts the log.
TEST_CASE("every item completes once with a correct result under random faults", "[ledger]")
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
        Fixture f({ .maxItems = 5, .seed = seed });
        std::vector<std::pair<uint64_t, LedgerReplyT>> replies;
        std::string leader = "l1";
        for (int step = 0; step < 3'000 && (step < 1'000 || !f.client->isIdle()); ++step) {
            const bool injectsFaults = step < 1'000;
            if (injectsFaults && chance(30))
                f.submit("r" + std::to_string(step), milliseconds(500 + random() % 3'000));
            if (injectsFaults && chance(1))
                leader = "l" + std::to_string(1 + random() % 3);
            f.isDisconnected = injectsFaults && chance(3);
            f.client->flush(f.now());
            for (size_t n = f.sent.size(); n > 0; --n) {
                const auto message = f.take();
                if (injectsFaults && chance(10))
                    continue; // Lost.
                if (injectsFaults && chance(20))
                    f.sent.push_back(message); // Delayed.
                else if (message.to.str() != leader)
                    f.refuse(message, chance(50) ? leader : "");
                else if (auto reply = f.commit(message); !injectsFaults || !chance(15))
                    replies.emplace_back(message.correlation, std::move(reply));
            }
            std::ranges::shuffle(replies, random);
            while (!replies.empty() && (!injectsFaults || chance(70))) {
                f.client->handleReply(replies.back().first, replies.back().second, f.now());
                replies.pop_back();
            }
            f.tickAfter(milliseconds(10));
        }
        INFO("seed " << seed);
        REQUIRE(f.client->isIdle());
        for (auto& [id, results] : f.completed) {
            REQUIRE(results.size() == 1);
            const auto recorded = f.state.find(requestKey("duftwerk", "east", id));
            if (results[0].ok()) {
                CHECK(results[0]->code() == LedgerResult::ACCEPTED);
                CHECK(results[0]->claim().key() == requestKey("duftwerk", "east", id));
                CHECK(recorded.code() == LedgerResult::CLAIMED_BEFORE);
            } else if (detailsOf(results[0].status()).outcome == Outcome::NotRun) {
                CHECK(recorded.code() == LedgerResult::UNSPECIFIED);
            }
        }
    }
}
