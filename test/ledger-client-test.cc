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

struct Sent {
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

/// A client of a group of three with a fake network that holds all messages, and the group's state.
struct Fixture {
    explicit Fixture(ClientOptions options = {})
    {
        if (options.groups.empty())
            options.groups = { { east, { InstanceId("l1"), InstanceId("l2"), InstanceId("l3") } } };
        client.emplace(std::move(options),
            ClientHooks { [this](const InstanceId& to, uint64_t correlation, LedgerSubmitT submit) {
                if (isCutOff)
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

    void submit(const std::string& id, Duration patience = seconds(10))
    {
        client->submit(
            east, itemOf(id), now() + patience, [this, id](auto result) { ended[id].push_back(std::move(result)); },
            now());
    }

    void tickAfter(Duration duration)
    {
        clock.advance(duration);
        client->tick(now());
    }

    Sent take()
    {
        REQUIRE_FALSE(sent.empty());
        auto first = std::move(sent.front());
        sent.pop_front();
        return first;
    }

    LedgerReplyT commit(const Sent& message)
    {
        const auto results = state.apply(Index { ++index }, message.batch());
        LedgerReplyT reply;
        reply.results.resize(results.ByteSizeLong());
        results.SerializeWithCachedSizesToArray(reply.results.data());
        return reply;
    }

    bool answer(const Sent& message) { return client->handleReply(message.correlation, commit(message), now()); }

    bool refuse(const Sent& message, const std::string& hint, Outcome outcome = Outcome::NotRun)
    {
        RefusalT refusal;
        refusal.outcome = static_cast<int>(outcome);
        refusal.leader_hint = hint;
        return client->handleRefusal(message.correlation, refusal, now());
    }

    LedgerResult::Code codeOf(const std::string& id)
    {
        REQUIRE(ended[id].size() == 1);
        REQUIRE(ended[id][0].ok());
        return ended[id][0]->code();
    }

    Outcome errorOf(const std::string& id)
    {
        REQUIRE(ended[id].size() == 1);
        REQUIRE_FALSE(ended[id][0].ok());
        return detailsOf(ended[id][0].status()).outcome;
    }

    ManualClock clock;
    Metrics metrics;
    std::deque<Sent> sent;
    bool isCutOff = false;
    LedgerState state;
    uint64_t index = 0;
    std::map<std::string, std::vector<absl::StatusOr<LedgerResult>>> ended;
    std::optional<Client> client;
};
} // namespace

// Guards against added waiting at low load, and against one message per item at high load.
TEST_CASE("a batch leaves at once below the limit in flight, then items are collected", "[ledger]")
{
    Fixture f({ .groups = { { east, { InstanceId("l1") }, 2 } }, .maxItems = 3 });
    for (int i = 0; i < 9; ++i) {
        f.submit("r" + std::to_string(i));
        f.client->flush(f.now());
    }
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[0].batch().items_size() == 1);
    const auto first = f.take();
    CHECK(f.answer(first));
    REQUIRE(f.sent.size() == 2);
    CHECK(f.sent[1].batch().items_size() == 3);
    while (!f.sent.empty())
        CHECK(f.answer(f.take()));
    CHECK(f.client->isIdle());
    for (int i = 0; i < 9; ++i)
        CHECK(f.codeOf("r" + std::to_string(i)) == LedgerResult::ACCEPTED);
    CHECK(f.index == 5); // 1 + 1 + 3 + 3 + 1 items
}

// Guards against a batch that outgrows its byte limit, and against a large item that is never sent.
TEST_CASE("batches keep to the byte limit and a larger item travels alone", "[ledger]")
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
    CHECK(f.errorOf(std::string(2'000, 'd')) == Outcome::NotRun);
}

// Guards against an item that is lost with a reply, or counted twice by the resend.
TEST_CASE("a lost reply is followed by the same items and the standing result", "[ledger]")
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
    CHECK(f.answer(second));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
    CHECK(f.state.openClaims(10).results_size() == 2);
    // The reply to the first attempt arrives after that of the second.
    CHECK_FALSE(f.client->handleReply(first.correlation, lateReply, f.now()));
}

// Guards against a client that goes on asking the old leader, or that two members send back and forth without a pause.
TEST_CASE("a refusal moves the client to the leader it names", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.client->flush(f.now());
    CHECK(f.refuse(f.take(), "l3"));
    const auto second = f.take();
    CHECK(second.to == InstanceId("l3"));
    CHECK(f.answer(second));
    f.submit("r2");
    f.client->flush(f.now());
    CHECK(f.sent.front().to == InstanceId("l3"));
    for (int i = 0; i < 3; ++i)
        f.refuse(f.take(), i % 2 == 0 ? "l1" : "l3");
    f.refuse(f.take(), "l3");
    CHECK(f.sent.empty());
    f.tickAfter(seconds(1));
    CHECK(f.answer(f.take()));
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
}

// Guards against a refusal without a hint, or that names its sender, that ends the item or loops at once.
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

// Guards against NOT_RUN for an item that may be in the log.
TEST_CASE("an item that ran out of time is NotRun only if it was never sent or always refused", "[ledger]")
{
    Fixture f;
    SECTION("sent without an answer")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(seconds(2));
        CHECK(f.errorOf("r1") == Outcome::Unknown);
    }
    SECTION("never sent")
    {
        f.isCutOff = true;
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(seconds(2));
        CHECK(f.errorOf("r1") == Outcome::NotRun);
    }
    SECTION("refused as not run")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.refuse(f.take(), "");
        f.clock.advance(seconds(2));
        f.client->tick(f.now());
        CHECK(f.errorOf("r1") == Outcome::NotRun);
    }
    SECTION("refused as unknown")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.refuse(f.take(), "", Outcome::Unknown);
        f.isCutOff = true;
        f.tickAfter(seconds(2));
        CHECK(f.errorOf("r1") == Outcome::Unknown);
    }
    SECTION("one attempt unanswered, a later one refused")
    {
        f.submit("r1", seconds(1));
        f.client->flush(f.now());
        f.tickAfter(milliseconds(500));
        f.take();
        f.refuse(f.take(), "");
        f.isCutOff = true;
        f.tickAfter(seconds(2));
        CHECK(f.errorOf("r1") == Outcome::Unknown);
    }
    CHECK(f.client->isIdle());
}

// Guards against an item that is committed by a later attempt of its batch after it was reported as NotRun.
TEST_CASE("an item reported as NotRun leaves its batch", "[ledger]")
{
    Fixture f;
    f.isCutOff = true;
    f.submit("r1", seconds(1));
    f.submit("r2");
    f.submit("r3", seconds(1));
    f.client->flush(f.now());
    f.tickAfter(seconds(1));
    CHECK(f.errorOf("r1") == Outcome::NotRun);
    CHECK(f.errorOf("r3") == Outcome::NotRun);
    f.isCutOff = false;
    f.tickAfter(seconds(1));
    CHECK(f.answer(f.take()));
    CHECK(f.codeOf("r2") == LedgerResult::ACCEPTED);
    CHECK(f.state.openClaims(10).results_size() == 1);
}

// Guards against a reply that is matched to the wrong items when batches are answered out of order.
TEST_CASE("replies may arrive in any order", "[ledger]")
{
    Fixture f({ .maxItems = 1 });
    log::LedgerBatch standing;
    *standing.add_items() = f.itemOf("r2");
    standing.mutable_items(0)->mutable_claim()->set_entry("e2");
    f.state.apply(Index { ++f.index }, standing);
    for (const char* id : { "r1", "r2", "r3" })
        f.submit(id);
    f.client->flush(f.now());
    const auto first = f.take();
    const auto second = f.take();
    const auto third = f.take();
    CHECK(f.answer(third));
    CHECK(f.answer(second));
    CHECK(f.answer(first));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.codeOf("r2") == LedgerResult::CLAIMED_BEFORE);
    CHECK(f.ended["r2"][0]->claim().entry() == "e2");
    CHECK(f.codeOf("r3") == LedgerResult::ACCEPTED);
}

// Guards against a damaged reply that is taken for an answer.
TEST_CASE("a reply that does not fit its batch is not an answer", "[ledger]")
{
    Fixture f;
    f.submit("r1");
    f.client->flush(f.now());
    LedgerReplyT empty;
    CHECK(f.client->handleReply(f.take().correlation, empty, f.now()));
    CHECK(f.ended.empty());
    f.tickAfter(milliseconds(500));
    CHECK(f.answer(f.take()));
    CHECK(f.codeOf("r1") == LedgerResult::ACCEPTED);
    CHECK(f.metrics.counter("ledger_client_bad_replies_total").value() == 1);
}

// Guards against an unbounded queue while the group can not be reached, and against items that a stop forgets.
TEST_CASE("a full queue refuses and a stop ends every item", "[ledger]")
{
    Fixture f({ .groups = { { east, { InstanceId("l1") }, 1 } }, .maxItems = 1, .maxQueued = 2 });
    f.submit("r1");
    f.client->flush(f.now());
    for (const char* id : { "r2", "r3", "r4" })
        f.submit(id);
    CHECK(f.errorOf("r4") == Outcome::NotRun);
    f.client->abandon();
    CHECK(f.errorOf("r1") == Outcome::Unknown);
    CHECK(f.errorOf("r2") == Outcome::NotRun);
    CHECK(f.errorOf("r3") == Outcome::NotRun);
    CHECK(f.client->isIdle());
}

// Guards against combinations of losses, delays, duplicates and leader changes that end an item twice, never, with
// another item's result or with an outcome that the log contradicts.
TEST_CASE("every item ends once and truly under random faults", "[ledger]")
{
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        const auto chance = [&](int percent) { return static_cast<int>(random() % 100) < percent; };
        Fixture f({ .maxItems = 5, .seed = seed });
        std::vector<std::pair<uint64_t, LedgerReplyT>> replies;
        std::string leader = "l1";
        for (int step = 0; step < 3'000 && (step < 1'000 || !f.client->isIdle()); ++step) {
            const bool faulty = step < 1'000;
            if (faulty && chance(30))
                f.submit("r" + std::to_string(step), milliseconds(500 + random() % 3'000));
            if (faulty && chance(1))
                leader = "l" + std::to_string(1 + random() % 3);
            f.isCutOff = faulty && chance(3);
            f.client->flush(f.now());
            for (size_t n = f.sent.size(); n > 0; --n) {
                const auto message = f.take();
                if (faulty && chance(10))
                    continue; // lost
                if (faulty && chance(20))
                    f.sent.push_back(message); // late
                else if (message.to.str() != leader)
                    f.refuse(message, chance(50) ? leader : "");
                else if (auto reply = f.commit(message); !faulty || !chance(15))
                    replies.emplace_back(message.correlation, std::move(reply));
            }
            std::ranges::shuffle(replies, random);
            while (!replies.empty() && (!faulty || chance(70))) {
                f.client->handleReply(replies.back().first, replies.back().second, f.now());
                replies.pop_back();
            }
            f.tickAfter(milliseconds(10));
        }
        INFO("seed " << seed);
        REQUIRE(f.client->isIdle());
        for (auto& [id, results] : f.ended) {
            REQUIRE(results.size() == 1);
            const auto standing = f.state.find(requestKey("duftwerk", "east", id));
            if (results[0].ok()) {
                CHECK(results[0]->code() == LedgerResult::ACCEPTED);
                CHECK(results[0]->claim().key() == requestKey("duftwerk", "east", id));
                CHECK(standing.code() == LedgerResult::CLAIMED_BEFORE);
            } else if (detailsOf(results[0].status()).outcome == Outcome::NotRun) {
                CHECK(standing.code() == LedgerResult::UNSPECIFIED);
            }
        }
    }
}
