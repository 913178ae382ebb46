#include "incarnation-fixture.h"

/// Tests of the leases of a worker that starts again under its id, and of the leader that cannot reach it for a while.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::TaskState;
using std::chrono::milliseconds;

namespace {

const std::string stopTarget = "/turmericpier/run-stop";

/// The worker keeps runs and leases as the platform's workers do, on a clock that starts with each incarnation. It can
/// be cut off; it runs on meanwhile.
struct LeaseFixture : IncarnationFixture {
    struct Incarnation {
        TimePoint startedAt;
        int64_t clockAtStart = 0;
        int64_t leaseUntilMs = 0;
        std::map<std::string, int64_t> running; ///< Number of the active run by task.
        json::array ended;
    };

    std::map<int64_t, Incarnation> incarnations; ///< By their start.
    int64_t current = 1;
    bool isCutOff = false;

    LeaseFixture()
        : IncarnationFixture(nullptr)
    {
        constexpr int64_t uptimeMs = 100'000; // Of the first incarnation; a later one counts from its start.
        incarnations[1] = { clock.now(), uptimeMs, 0, {}, {} };
        worker.onOrder = [this](const auto& order, json::object& answer) { carryOut(order, answer); };
        begin();
    }

    void restartIdle()
    {
        REQUIRE(incarnations[current].running.empty());
        ++current;
        incarnations[current] = { clock.now(), 0, 0, {}, {} };
        restart(current);
    }

    int64_t clockOf(const Incarnation& life) const
    {
        return life.clockAtStart + std::chrono::duration_cast<milliseconds>(clock.now() - life.startedAt).count();
    }

    bool isRunning(const std::string& task)
    {
        auto& life = incarnations[current];
        if (clockOf(life) >= life.leaseUntilMs)
            life.running.clear();
        return life.running.contains(task);
    }

    /// Lets time pass and delivers what the leader sends. While the worker is cut off, its orders get no answer, and
    /// w2, which takes every order, sends heartbeats.
    void run(milliseconds time)
    {
        constexpr milliseconds step { 50 };
        for (auto left = time; left.count() > 0; left -= step) {
            advanceTime(step);
            if (isCutOff)
                failOrders();
            else
                deliver(true);
        }
    }

    void failOrders()
    {
        const auto resultFor
            = [](const WorkerAddress& to) { return to.id == "w2" ? OrderResult::Accepted : OrderResult::NoAnswer; };
        for (auto& sent : std::exchange(starts, {}))
            sent.answer({ resultFor(sent.to), workerClock() });
        for (auto& sent : std::exchange(stops, {}))
            sent.answer({ resultFor(sent.to), workerClock() });
        for (auto& sent : std::exchange(polls, {})) {
            PollAnswer answer;
            answer.result = resultFor(sent.to);
            answer.clockMs = workerClock();
            sent.answer(std::move(answer));
        }
        heartbeat(cell::test::worker("w2"));
        runPending();
    }

    void carryOut(const StandInWorker::Received& order, json::object& answer)
    {
        auto& life = incarnations[order.born];
        const auto now = clockOf(life);
        answer["clock-ms"] = now;
        const auto* until = order.body.if_contains("until-ms");
        const auto maxLease = LeaderOptions {}.maxLease.count();
        if (until)
            life.leaseUntilMs = std::max(life.leaseUntilMs, std::min(until->to_number<int64_t>(), now + maxLease));
        const auto* task = order.body.if_contains("task");
        const auto name = task ? std::string(task->get_string()) : std::string();
        if (order.target == startTarget) {
            life.running[name] = order.body.at("run").to_number<int64_t>();
        } else if (order.target == stopTarget && life.running.erase(name) > 0) {
            life.ended.push_back(
                json::array { life.ended.size() + 1, name, order.body.at("run").to_number<int64_t>(), "stopped", "" });
        }
        if (!answer.contains("running"))
            return;
        for (const auto& [running, number] : life.running)
            answer["running"].get_array().push_back(json::array { running, number, "", 10, 0 });
        answer["ended"] = life.ended;
    }

    void finish(const std::string& task)
    {
        auto& life = incarnations[current];
        life.ended.push_back(json::array { life.ended.size() + 1, task, life.running.at(task), "done", "" });
        life.running.erase(task);
    }
};

} // namespace

// Guards against a task that starts elsewhere while it runs on: its worker had restarted while idle, held a longer
// lease than the leader assumed, and was cut off (review/7).
TEST_CASE(
    "a task of a restarted worker that is cut off does not start elsewhere before its lease ends", "[incarnation]")
{
    LeaseFixture fixture;
    const TaskKey task { jobId(1), 0, 0, 0 };
    fixture.restartIdle();
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.deliver();
    fixture.run(milliseconds(250));
    fixture.heartbeatOf(2);
    fixture.run(milliseconds(500));
    REQUIRE(fixture.isRunning(taskName(task)));
    const auto first = fixture.state.findWorkerById("w1")->worker.serial;
    fixture.isCutOff = true;
    for (int i = 0; i < 110; ++i) { // 5.5 s, as in the case of the review.
        fixture.run(milliseconds(50));
        const auto* placed = fixture.state.findTask(task);
        if (placed->state == TaskState::Placed && placed->worker != first)
            CHECK_FALSE(fixture.isRunning(taskName(task)));
    }
    fixture.isCutOff = false;
    fixture.run(milliseconds(500));
    // The job goes on where the log has it; nothing is left of it at the worker if that is elsewhere.
    const auto* placed = fixture.state.findTask(task);
    REQUIRE(placed->state == TaskState::Placed);
    CHECK(fixture.isRunning(taskName(task)) == (placed->worker == first));
}

// Guards against a run that is lost although its worker comes back before its lease ends.
TEST_CASE("a run on a restarted worker that is cut off for less than its lease ends once", "[incarnation]")
{
    LeaseFixture fixture;
    const TaskKey task { jobId(1), 0, 0, 0 };
    fixture.restartIdle();
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.deliver();
    fixture.heartbeatOf(2);
    fixture.run(milliseconds(500));
    REQUIRE(fixture.isRunning(taskName(task)));
    fixture.isCutOff = true;
    fixture.run(milliseconds(3'000));
    fixture.isCutOff = false;
    REQUIRE(fixture.isRunning(taskName(task)));
    fixture.finish(taskName(task));
    fixture.run(milliseconds(500));
    CHECK(fixture.state.findJob(jobId(1))->state == record::JobState::Done);
    CHECK(fixture.worker.count(2, startTarget) == 1);
}
