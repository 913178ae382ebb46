#include "cell-live-workers.h"

#include <catch2/catch.hpp>

/// Tests of the class "a task waits, its cause goes away, and nobody plans again". Each sends one event; afterwards
/// there are only ticks, heartbeats and answers.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;

namespace {

constexpr milliseconds longestWait { 9'000 }; // 6 s after the last run of a task that lasts, and 3 s more.

/// Makes the worker unusable by failures of its own.
void refuseStarts(LiveCell& cell, const std::string& id, unsigned firstJob)
{
    for (unsigned i = 0; i < 3; ++i) {
        cell.submitJob(job(jobId(firstJob + i), step(1, 100)));
        REQUIRE_FALSE(cell.starts.empty());
        REQUIRE(cell.starts.front().to.id == id);
        cell.answerStart(OrderResult::NoRoom);
        cell.call(LeaderFixture::callFor(record::CallKind::Cancel, prefix + jobId(firstJob + i)));
    }
}

struct OneWorkerCell : LiveCell {
    explicit OneWorkerCell(std::unique_ptr<record::ConfigT> config = test::config())
        : LiveCell(std::move(config))
    {
        activate();
        addLiveWorkers(1, 16'000);
        live(milliseconds(500));
    }
    bool startsBySilence()
    {
        return liveUntil(longestWait, [this] { return runningOf(jobId(1)) == 1; }) && fallbackStarts() == 0;
    }
};

} // namespace

// Guards against review/12: a task waits for good for a worker that was silent when it came, and is heard of again.
TEST_CASE("a task starts on a worker that is heard of again", "[cell]")
{
    OneWorkerCell cell;
    cell.cutOff("w1", true);
    cell.live(milliseconds(5'500));
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(300));
    REQUIRE(cell.running() == 0);
    cell.cutOff("w1", false);
    CHECK(cell.startsBySilence());
}

// Guards against the same wait for a worker whose heartbeats another replica answers and reports.
TEST_CASE("a task starts on a worker of which another replica reports heartbeats", "[cell]")
{
    OneWorkerCell cell;
    cell.workers.at("w1").beats = false;
    cell.live(milliseconds(6'500));
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(300));
    REQUIRE(cell.running() == 0);
    auto report = LeaderFixture::callFor(record::CallKind::Seen, "");
    report->seen = { cell.state.findWorkerById("w1")->worker.serial };
    cell.call(std::move(report));
    CHECK(cell.liveUntil(milliseconds(1'000), [&] { return cell.running() == 1; }));
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against a task that waits for good for a worker whose polls have failed and are answered again.
TEST_CASE("a task starts on a worker that answers polls again", "[cell]")
{
    OneWorkerCell cell;
    cell.submitJob(job(jobId(2), lasting(1)));
    cell.live(milliseconds(1'000));
    REQUIRE(cell.running() == 1);
    cell.cutOff("w1", true);
    cell.live(milliseconds(2'000));
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(300));
    REQUIRE(cell.running() == 1);
    cell.cutOff("w1", false);
    CHECK(cell.startsBySilence());
}

// Guards against a task that waits for good for a worker whose failures have passed.
TEST_CASE("a task starts on a worker whose failure count has decayed", "[cell]")
{
    OneWorkerCell cell;
    refuseStarts(cell, "w1", 10);
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(300));
    REQUIRE(cell.running() == 0);
    CHECK(cell.startsBySilence());
}

// Guards against a task that waits for good for a worker that has taken back its leave by a heartbeat.
TEST_CASE("a task starts on a worker that sends heartbeats after its leave", "[cell]")
{
    OneWorkerCell cell;
    auto leave = LeaderFixture::callFor(record::CallKind::Leave, "");
    leave->worker = worker("w1", 1, 16'000);
    cell.call(std::move(leave));
    cell.submitJob(job(jobId(1), lasting(1)));
    REQUIRE(cell.running() == 0);
    CHECK(cell.startsBySilence());
}

// Guards against a task that waits for good after a short pause for a worker that has left an order unanswered.
TEST_CASE("a task starts on a worker whose pause has ended", "[cell]")
{
    OneWorkerCell cell;
    cell.submitJob(job(jobId(1), lasting(1)));
    REQUIRE(cell.starts.size() == 1);
    cell.answerStart(OrderResult::NotSent);
    CHECK(cell.startsBySilence());
}

// Guards against a task that waits for good for a worker whose removal was proposed, and refused or committed late.
TEST_CASE("a task starts on a worker that is back after its removal was proposed", "[cell]")
{
    const bool isCommitted = GENERATE(false, true);
    OneWorkerCell cell;
    cell.submitJob(job(jobId(2), lasting(1)));
    cell.live(milliseconds(1'000));
    cell.cutOff("w1", true);
    cell.commits = false;
    REQUIRE(cell.liveUntil(milliseconds(20'000), [&] { return !cell.log.empty(); }));
    REQUIRE(cell.log.front().first->gone.size() == 1);
    cell.cutOff("w1", false);
    if (!isCommitted)
        cell.refuseProposals();
    cell.commits = true;
    cell.runPending();
    REQUIRE((cell.state.findWorkerById("w1") == nullptr) == isCommitted);
    cell.submitJob(job(jobId(1), lasting(1)));
    CHECK(cell.startsBySilence());
}

// Guards against tasks that wait for good because the queues of orders were full when the last plan was made.
TEST_CASE("tasks start when the orders before them were sent", "[cell]")
{
    const auto orderTime = GENERATE(milliseconds(0), milliseconds(100), milliseconds(300));
    LiveCell cell;
    cell.orderTime = orderTime;
    cell.activate();
    cell.addLiveWorkers(2, 16'000);
    cell.live(milliseconds(500));
    cell.submitJob(job(jobId(1), lasting(600, 10)));
    CHECK(cell.liveUntil(longestWait, [&] { return cell.running() == 600; }));
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against a second large gang that waits for good behind the orders of the first one.
TEST_CASE("a large gang starts when the orders of the one before were sent", "[cell]")
{
    LiveCell cell;
    cell.orderTime = milliseconds(20);
    cell.activate();
    cell.addLiveWorkers(4, 16'000);
    cell.live(milliseconds(500));
    for (unsigned i = 1; i <= 2; ++i) {
        auto gang = lasting(700, 10);
        gang->gang = true;
        cell.submitJob(job(jobId(i), std::move(gang)));
    }
    CHECK(cell.liveUntil(longestWait, [&] { return cell.running() == 1'400; }));
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against review/11: a new leader asks the advisor nothing, because it knew no proxy when it made its plan.
TEST_CASE("the advisor is asked when a proxy becomes known", "[cell]")
{
    OneWorkerCell cell(config(1, 2, true));
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(1'000));
    REQUIRE(cell.running() == 0);
    cell.proxies = { "h1" };
    CHECK(cell.startsBySilence());
}

// Guards against a step that is never asked about again, because its proxy was forgotten while a call was in flight: a
// process that was suspended finds the proxy silent before it finds that the call has taken too long.
TEST_CASE("the advisor is asked again when the proxy of a call was forgotten", "[cell]")
{
    OneWorkerCell cell(config(1, 2, true));
    cell.advisorAnswers = false;
    cell.leader->recordAdvisorProxy("h1");
    cell.submitJob(job(jobId(1), lasting(1)));
    REQUIRE(cell.advice.size() == 1);
    cell.clock.advance(std::chrono::seconds(40));
    cell.leader->tick();
    cell.advisorAnswers = true;
    cell.proxies = { "h1" };
    CHECK(cell.liveUntil(longestWait, [&] { return cell.running() == 1; }));
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against a step that is never asked about again after a call without an answer.
TEST_CASE("the advisor is asked again after a call without an answer", "[cell]")
{
    OneWorkerCell cell(config(1, 2, true));
    cell.advisorAnswers = false;
    cell.proxies = { "h1" };
    cell.live(milliseconds(100));
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.live(milliseconds(5'000));
    REQUIRE(cell.running() == 0);
    cell.advisorAnswers = true;
    CHECK(cell.startsBySilence());
}

// Guards against a task that waits for good because the leader had no lease when it would have planned.
TEST_CASE("a task starts when the leader holds its lease again", "[cell]")
{
    OneWorkerCell cell;
    cell.commits = false;
    cell.submitJob(job(jobId(1), lasting(1)));
    cell.holdsLease = false;
    cell.commits = true;
    cell.live(milliseconds(1'000));
    REQUIRE(cell.running() == 0);
    cell.holdsLease = true;
    CHECK(cell.startsBySilence());
}

// Guards against an occurrence that is due and waits for another event.
TEST_CASE("an occurrence starts without another event when it is due", "[cell]")
{
    OneWorkerCell cell;
    auto scheduled = job(jobId(1), step(1));
    scheduled->times = 1;
    scheduled->first_due_ms = cell.wallMs + 2'000;
    cell.submitJob(std::move(scheduled));
    cell.live(milliseconds(500));
    REQUIRE(cell.running() == 0);
    cell.wallMs += 2'000;
    CHECK(cell.startsBySilence());
}

// Guards against a task that counts as placed for good, because the end of a run that was refused was not committed.
TEST_CASE("a refused start whose end was not committed is followed by another one", "[cell]")
{
    OneWorkerCell cell;
    cell.submitJob(job(jobId(1), lasting(1)));
    REQUIRE(cell.starts.size() == 1);
    cell.commits = false;
    cell.answerStart(OrderResult::Superseded);
    cell.runPending();
    REQUIRE(cell.log.size() == 1);
    cell.refuseProposals();
    cell.commits = true;
    CHECK(cell.startsBySilence());
}

// Guards against starts that were not committed and are not planned again.
TEST_CASE("starts that were not committed are planned again", "[cell]")
{
    OneWorkerCell cell;
    cell.commits = false;
    cell.submitJob(job(jobId(1), lasting(1)));
    REQUIRE(cell.log.size() == 1);
    cell.state.apply(*cell.log.front().first);
    cell.leader->applied(*cell.log.front().first);
    cell.log.clear();
    cell.runPending();
    REQUIRE(cell.log.size() == 1);
    REQUIRE(cell.log.front().first->starts.size() == 1);
    cell.commits = true;
    cell.refuseProposals();
    CHECK(cell.startsBySilence());
}

// Guards against a step that never starts, because earlier wide steps that no worker can run use up the starts of each
// plan.
TEST_CASE("wide steps that cannot be placed take no starts from others", "[cell]")
{
    const bool advice = GENERATE(false, true);
    LiveCell cell(config(1, 2, advice));
    cell.activate();
    cell.addLiveWorkers(2, 16'000);
    if (advice)
        cell.proxies = { "h1" };
    cell.live(milliseconds(500));
    for (unsigned i = 0; i < 150; ++i) {
        auto wide = lasting(100, 10);
        wide->needs = "a label that no worker has";
        cell.submitJob(job(jobId(100 + i), std::move(wide)));
    }
    cell.submitJob(job(jobId(1), lasting(100, 10)));
    CHECK(cell.liveUntil(longestWait, [&] { return cell.runningOf(jobId(1)) == 100; }));
    CHECK(cell.fallbackStarts() == 0);
}

// Guards against a wait without end for an event that the leader does not notice, and against plans at each tick while
// tasks wait.
TEST_CASE("a plan is made every few seconds while tasks wait", "[cell]")
{
    OneWorkerCell cell;
    auto impossible = lasting(1);
    impossible->needs = "a label that no worker has";
    cell.submitJob(job(jobId(1), std::move(impossible)));
    auto& plans = cell.metrics.counter("cell_plans_total");
    const auto before = plans.value();
    cell.live(milliseconds(9'000));
    CHECK(plans.value() - before >= 2);
    CHECK(plans.value() - before <= 4);
    CHECK(cell.fallbackStarts() == 0);
}
