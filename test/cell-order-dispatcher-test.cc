#include "turmericpier/cell/order-dispatcher.h"

#include "cell-fixtures.h"
#include "turmericpier/cell/order-proxy.h"

#include <catch2/catch.hpp>
#include <list>
#include <set>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using std::chrono::milliseconds;

namespace {

constexpr size_t manyWorkers = 1'100;

/// A dispatcher and its proxies. Messages and orders are kept until the test delivers or answers them.
struct DispatcherFixture {
    struct Sent {
        std::string by; ///< Identity of the process that sent the order to the worker; empty for the leader.
        std::string worker;
        int64_t startedAtMs = 0;
        StartOrder start;
        PollOrder poll;
        std::function<void(OrderAnswer)> answerStart;
        std::function<void(PollAnswer)> answerPoll;
    };

    ManualClock clock;
    ManualClock proxyClock;
    Metrics metrics;
    std::list<Sent> sent;
    std::list<std::pair<std::string, record::CallT>> messages; ///< Addressee and message.
    std::list<std::function<void()>> timers;
    OrderDispatcher dispatcher { { directHooks(""), sender(), timer() }, clock, metrics };
    std::map<std::string, std::unique_ptr<OrderProxy>> proxies;
    std::vector<OrderResult> startResults;
    std::vector<PollAnswer> pollAnswers;

    explicit DispatcherFixture(size_t workers = manyWorkers)
    {
        clock.advance(std::chrono::seconds(1'000));
        proxyClock.advance(std::chrono::seconds(5));
        dispatcher.activate(7);
        dispatcher.tick(workers);
    }

    OrderHooks directHooks(const std::string& by)
    {
        OrderHooks hooks;
        hooks.start = [this, by](const WorkerAddress& to, const StartOrder& order, auto done) {
            sent.push_back({ by, to.id, to.startedAtMs, order, {}, std::move(done), {} });
        };
        hooks.stop = [](const WorkerAddress&, const StopOrder&, const std::function<void(OrderAnswer)>&) {};
        hooks.poll = [this, by](const WorkerAddress& to, const PollOrder& order, auto done) {
            sent.push_back({ by, to.id, to.startedAtMs, {}, order, {}, std::move(done) });
        };
        return hooks;
    }
    std::function<void(const std::string&, const record::CallT&)> sender()
    {
        return [this](const std::string& to, const record::CallT& call) { messages.emplace_back(to, call); };
    }
    std::function<void(Duration, std::function<void()>)> timer()
    {
        return [this](Duration, std::function<void()> function) { timers.push_back(std::move(function)); };
    }

    void addProxy(const std::string& name, const std::string& zone)
    {
        proxies[name] = std::make_unique<OrderProxy>(
            ForwardingHooks { directHooks(name), sender(), timer() }, proxyClock, metrics);
        dispatcher.recordProxy(name, zone, proxies[name]->clockMs());
    }
    void runTimers()
    {
        while (!timers.empty()) {
            const auto function = std::move(timers.front());
            timers.pop_front();
            function();
        }
    }
    /// Delivers all messages, those of a proxy as if they came from `answerer` unless it is empty.
    void deliver(uint64_t currentTerm = 7, const std::string& answerer = {})
    {
        runTimers();
        while (!messages.empty()) {
            const auto [to, call] = std::move(messages.front());
            messages.pop_front();
            if (call.kind == record::CallKind::Orders)
                proxies.at(to)->handle("leader", call, currentTerm);
            else
                dispatcher.onAnswers(answerer.empty() ? proxies.begin()->first : answerer, call);
            runTimers();
        }
    }
    void start(const std::string& worker, const std::string& zone = "z1")
    {
        StartOrder order { .task = { jobId(1), 0, 1, 4 }, .run = 3, .spec = "spec", .leaseUntilMs = 9'000 };
        order.fencingToken = 7;
        order.checkpoint = "saved";
        order.ticket = "ticket";
        dispatcher.orderHooks().start({ worker, worker + ":80", zone, 77 }, order,
            [this](const OrderAnswer& answer) { startResults.push_back(answer.result); });
    }
    void poll(const std::string& worker, uint32_t waitMs)
    {
        dispatcher.orderHooks().poll({ worker, worker + ":80", "z1", 77 }, { 7, 5, 8'000, waitMs },
            [this](const PollAnswer& answer) { pollAnswers.push_back(answer); });
    }
    void advance(milliseconds time)
    {
        clock.advance(time);
        proxyClock.advance(time);
        dispatcher.tick(manyWorkers);
    }
};

} // namespace

// Guards against a leader of a large fleet whose processor is spent on calls to workers, so that short jobs are late.
TEST_CASE("orders of a large cell go through proxies, and their answers come back complete", "[cell]")
{
    DispatcherFixture fixture;
    fixture.addProxy("p1", "z1");
    fixture.start("w1");
    fixture.poll("w1", 500);
    CHECK(fixture.sent.empty());
    fixture.deliver();
    REQUIRE(fixture.sent.size() == 2);
    const auto& start = fixture.sent.front();
    CHECK(start.by == "p1");
    CHECK(start.worker == "w1");
    CHECK(start.startedAtMs == 77);
    CHECK(start.start.task == TaskKey { jobId(1), 0, 1, 4 });
    CHECK(start.start.run == 3);
    CHECK(start.start.spec == "spec");
    CHECK(start.start.leaseUntilMs == 9'000);
    CHECK(start.start.fencingToken == 7);
    CHECK(start.start.checkpoint == "saved");
    CHECK(start.start.ticket == "ticket");
    const auto& poll = fixture.sent.back();
    CHECK(poll.startedAtMs == 77);
    CHECK(poll.poll.fencingToken == 7);
    CHECK(poll.poll.ackCursor == 5);
    CHECK(poll.poll.leaseUntilMs == 8'000);
    CHECK(poll.poll.waitMs == 500);
    start.answerStart({ OrderResult::NoRoom, 4'711 });
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.clockMs = 4'712;
    answer.startedAtMs = 99;
    answer.running.push_back({ { jobId(1), 0, 1, 4 }, 3, "later", 55, 12 });
    answer.ended.push_back({ 6, { jobId(2), 1, 0, 2 }, 1, record::EndKind::Done, "last" });
    answer.mayHaveMoreEnds = true;
    poll.answerPoll(answer);
    fixture.deliver();
    CHECK(fixture.startResults == std::vector { OrderResult::NoRoom });
    REQUIRE(fixture.pollAnswers.size() == 1);
    const auto& got = fixture.pollAnswers.front();
    CHECK(got.result == OrderResult::Accepted);
    CHECK(got.clockMs == 4'712);
    CHECK(got.startedAtMs == 99);
    REQUIRE(got.running.size() == 1);
    CHECK(got.running[0].checkpoint == "later");
    CHECK(got.running[0].progress == 55);
    REQUIRE(got.ended.size() == 1);
    CHECK(got.ended[0].number == 6);
    CHECK(got.ended[0].task == TaskKey { jobId(2), 1, 0, 2 });
    CHECK(got.ended[0].how == record::EndKind::Done);
    CHECK(got.mayHaveMoreEnds);
}

// Guards against a longer way to the workers of a small cell, and against orders that nobody sends.
TEST_CASE("without a proxy or with few workers the leader sends its orders itself", "[cell]")
{
    DispatcherFixture alone;
    alone.start("w1");
    CHECK(alone.sent.size() == 1);
    DispatcherFixture few(48);
    few.addProxy("p1", "z1");
    few.start("w1");
    REQUIRE(few.sent.size() == 1);
    CHECK(few.sent.front().by.empty());
}

// Guards against traffic between regions for workers that have a proxy nearby, and against one proxy for all of them.
TEST_CASE("a worker is called by a proxy in its zone, and the workers are spread", "[cell]")
{
    DispatcherFixture fixture;
    fixture.addProxy("p1", "z1");
    fixture.addProxy("p2", "z1");
    fixture.addProxy("p3", "z2");
    for (int i = 0; i < 40; ++i)
        fixture.start("w" + std::to_string(i), "z1");
    fixture.start("far", "z2");
    fixture.deliver();
    std::map<std::string, size_t> orders;
    for (const auto& sent : fixture.sent)
        ++orders[sent.by];
    CHECK(orders["p1"] > 5);
    CHECK(orders["p2"] > 5);
    CHECK(orders["p3"] == 1);
}

// Guards against runs that stay in flight for good after the loss of a proxy, and against an answer that comes twice.
TEST_CASE("orders of a lost or silent proxy count as unanswered", "[cell]")
{
    DispatcherFixture fixture;
    fixture.addProxy("p1", "z1");
    fixture.start("w1");
    fixture.deliver();
    fixture.dispatcher.removeProxy("p1");
    CHECK(fixture.startResults == std::vector { OrderResult::NoAnswer });
    fixture.sent.front().answerStart({ OrderResult::Accepted, 1 });
    fixture.deliver();
    CHECK(fixture.startResults.size() == 1);
    fixture.addProxy("p1", "z1");
    fixture.poll("w1", 500);
    fixture.advance(milliseconds(1'900));
    CHECK(fixture.pollAnswers.empty());
    fixture.advance(milliseconds(200));
    REQUIRE(fixture.pollAnswers.size() == 1);
    CHECK(fixture.pollAnswers[0].result == OrderResult::NoAnswer);
}

// Guards against a process that was suspended and then sends orders of a time when it was not.
TEST_CASE("a proxy drops orders that are late or of an earlier term", "[cell]")
{
    DispatcherFixture fixture;
    fixture.addProxy("p1", "z1");
    fixture.start("w1");
    fixture.runTimers();
    fixture.proxyClock.advance(milliseconds(1'100));
    fixture.deliver();
    CHECK(fixture.sent.empty());
    DispatcherFixture fenced;
    fenced.addProxy("p1", "z1");
    fenced.start("w1");
    fenced.deliver(8);
    CHECK(fenced.sent.empty());
}

// Guards against answers of another term or proxy that are taken for those of an order with the same number.
TEST_CASE("answers count only for the proxy and the term of their order", "[cell]")
{
    DispatcherFixture fixture;
    fixture.addProxy("p1", "z1");
    fixture.start("w1");
    fixture.deliver();
    fixture.sent.front().answerStart({ OrderResult::Accepted, 1 });
    fixture.deliver(7, "another process");
    CHECK(fixture.startResults.empty());
    fixture.dispatcher.activate(8);
    fixture.dispatcher.tick(manyWorkers);
    fixture.dispatcher.recordProxy("p1", "z1", fixture.proxies["p1"]->clockMs());
    fixture.start("w2");
    record::CallT old;
    old.kind = record::CallKind::OrderAnswers;
    old.term = 7;
    for (uint64_t number = 1; number < 5; ++number)
        old.answers.emplace_back(std::make_unique<record::OrderAnswerT>())->number = number;
    fixture.dispatcher.onAnswers("p1", old);
    CHECK(fixture.startResults.empty());
}
