#pragma once

#include "cell-fake-world.h"
#include "turmericpier/base/error.h"

#include <algorithm>

/// Workers and an advisor that answer the leader by themselves, so that a test can send one event and then let only the
/// time pass.
namespace turmericpier::cell::test {

using std::chrono::milliseconds;

struct LiveCell : LeaderFixture {
    struct LiveWorker {
        bool isCutOff = false; ///< Sends and answers nothing.
        bool beats = true;
        std::map<TaskKey, uint32_t> running;
        std::vector<EndedRun> ended;
        uint64_t lastEnd = 0;
        int64_t leaseUntilMs = 0;
        TimePoint nextBeatAt;
    };
    /// Returns true for a run that fails after `failAfter`; others last.
    std::function<bool(const std::string& worker, const StartOrder&)> fails;
    /// Returns the result of a start at a worker that can be reached; all are accepted if it is null.
    std::function<OrderResult()> startResult;
    std::map<std::string, LiveWorker> workers;
    std::map<std::string, std::unique_ptr<record::WorkerT>> records;
    milliseconds orderTime { 0 }; ///< Time from a start order to its answer.
    milliseconds failAfter { 50 };
    bool advisorAnswers = true;
    std::vector<std::string> proxies; ///< Processes that offer to call the advisor at each tick.
    size_t begun = 0; ///< Runs that workers have begun.
    std::map<TaskKey, std::vector<TimePoint>> begins;

    using LeaderFixture::LeaderFixture;

    void addLiveWorker(std::unique_ptr<record::WorkerT> record)
    {
        const auto id = record->id;
        workers[id].nextBeatAt = clock.now();
        records[id] = std::move(record);
    }
    void addLiveWorkers(int count, int64_t cpu)
    {
        for (int i = 0; i < count; ++i)
            addLiveWorker(test::worker("w" + std::to_string(i + 1), 1, cpu));
    }

    size_t running() const
    {
        size_t sum = 0;
        for (const auto& [id, live] : workers)
            sum += live.running.size();
        return sum;
    }
    size_t runningOf(const std::string& job) const
    {
        size_t sum = 0;
        for (const auto& [id, live] : workers)
            sum += static_cast<size_t>(
                std::ranges::count_if(live.running, [&](const auto& run) { return run.first.job == job; }));
        return sum;
    }

    /// Lets time pass: ticks, heartbeats, polls and answers to orders, and nothing else.
    void live(milliseconds time)
    {
        constexpr milliseconds step { 10 };
        constexpr int stepsPerTick = 5;
        for (auto left = time; left.count() > 0; left -= step) {
            clock.advance(step);
            if (++m_steps % stepsPerTick == 0) {
                leader->tick();
                for (const auto& proxy : proxies)
                    leader->recordAdvisorProxy(proxy);
            }
            runPending();
            for (auto& [id, worker] : workers)
                liveWorker(id, worker);
            answerOrders();
            answerAdvice();
        }
    }
    /// Lets time pass until the condition holds. Returns false if it does not hold after `longest`.
    bool liveUntil(milliseconds longest, const std::function<bool()>& condition)
    {
        constexpr milliseconds step { 50 };
        for (auto left = longest; left.count() > 0 && !condition(); left -= step)
            live(step);
        return condition();
    }
    void endRun(const std::string& id, const TaskKey& task, record::EndKind how)
    {
        auto& live = workers.at(id);
        const auto found = live.running.find(task);
        if (found == live.running.end())
            return;
        live.ended.push_back({ ++live.lastEnd, task, found->second, how, {} });
        live.running.erase(found);
    }
    static absl::Status refusal()
    {
        return makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "QUEUE_FULL", "propose", "" }, "refused");
    }
    /// Refuses all proposals that wait for their commit.
    void refuseProposals()
    {
        for (const auto& [command, done] : std::exchange(log, {}))
            done(refusal());
    }
    /// Starts that only the time since the last plan has brought; each one is an event that the leader has missed.
    uint64_t fallbackStarts() { return metrics.counter("cell_fallback_starts_total").value(); }
    void cutOff(const std::string& id, bool isCutOff) { workers.at(id).isCutOff = isCutOff; }

private:
    using EndKind = record::EndKind;
    static constexpr milliseconds heartbeatInterval { 1'500 };
    static constexpr milliseconds orderTimeout { 1'000 };

    void liveWorker(const std::string& id, LiveWorker& worker)
    {
        if (workerClock() > worker.leaseUntilMs) {
            while (!worker.running.empty())
                endRun(id, worker.running.begin()->first, EndKind::Lapsed);
        }
        if (worker.isCutOff || !worker.beats || clock.now() < worker.nextBeatAt)
            return;
        worker.nextBeatAt = clock.now() + heartbeatInterval;
        heartbeat(std::make_unique<record::WorkerT>(*records.at(id)));
    }

    void answerOrders()
    {
        const auto now = clock.now();
        const auto isCutOff = [this](const auto& sent) {
            const auto found = workers.find(sent.to.id);
            return found == workers.end() || found->second.isCutOff;
        };
        for (auto& sent : std::exchange(starts, {}))
            m_starts.emplace_back(now + (isCutOff(sent) ? orderTimeout : orderTime), std::move(sent));
        for (auto& sent : std::exchange(polls, {})) {
            const auto wait = isCutOff(sent) ? orderTimeout : milliseconds(sent.order.waitMs);
            m_polls.emplace_back(now + wait, std::move(sent));
        }
        for (auto& sent : std::exchange(stops, {}))
            m_stops.emplace_back(now + (isCutOff(sent) ? orderTimeout : milliseconds(0)), std::move(sent));
        answerDue(m_starts, [&](const auto& sent) { sent.answer({ start(sent), workerClock() }); });
        answerDue(m_stops, [&](const auto& sent) { sent.answer({ stop(sent), workerClock() }); });
        // A poll is answered early if there are ends to list.
        for (auto& [due, sent] : m_polls) {
            if (!isCutOff(sent) && !workers.at(sent.to.id).ended.empty())
                due = std::min(due, now);
        }
        answerDue(m_polls, [&](const auto& sent) { sent.answer(poll(sent)); });
        for (const auto& [at, id, task] : std::exchange(m_failures, {})) {
            if (at <= now)
                endRun(id, task, EndKind::Failed);
            else
                m_failures.emplace_back(at, id, task);
        }
    }

    template <typename Orders, typename Function> void answerDue(Orders& orders, const Function& answer)
    {
        for (auto& [due, sent] : std::exchange(orders, {})) {
            if (due > clock.now()) {
                orders.emplace_back(due, std::move(sent));
                continue;
            }
            answer(sent);
            runPending();
        }
    }

    OrderResult start(const Sent<StartOrder, OrderAnswer>& sent)
    {
        auto& worker = workers.at(sent.to.id);
        if (worker.isCutOff)
            return OrderResult::NotSent;
        if (const auto result = startResult ? startResult() : OrderResult::Accepted; result != OrderResult::Accepted)
            return result;
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, sent.order.leaseUntilMs);
        if (worker.running.emplace(sent.order.task, sent.order.run).second) {
            ++begun;
            begins[sent.order.task].push_back(clock.now());
            if (fails && fails(sent.to.id, sent.order))
                m_failures.emplace_back(clock.now() + failAfter, sent.to.id, sent.order.task);
        }
        return OrderResult::Accepted;
    }
    OrderResult stop(const Sent<StopOrder, OrderAnswer>& sent)
    {
        if (workers.at(sent.to.id).isCutOff)
            return OrderResult::NoAnswer;
        endRun(sent.to.id, sent.order.task, EndKind::Stopped);
        return OrderResult::Accepted;
    }
    PollAnswer poll(const Sent<PollOrder, PollAnswer>& sent)
    {
        auto& worker = workers.at(sent.to.id);
        PollAnswer answer;
        if (worker.isCutOff)
            return answer;
        std::erase_if(worker.ended, [&](const auto& end) { return end.number <= sent.order.ackCursor; });
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, sent.order.leaseUntilMs.value_or(0));
        answer.result = OrderResult::Accepted;
        answer.clockMs = workerClock();
        for (const auto& [task, run] : worker.running)
            answer.running.push_back(activeRun(task, run));
        answer.ended = worker.ended;
        return answer;
    }

    void answerAdvice()
    {
        if (!advisorAnswers)
            return;
        for (auto& call : std::exchange(advice, {})) {
            AdviceAnswer answer { .ok = true };
            for (const auto& id : call.workers)
                answer.tickets[id] = "ticket";
            call.answer(answer);
            runPending();
        }
    }

    uint64_t m_steps = 0;
    std::list<std::pair<TimePoint, Sent<StartOrder, OrderAnswer>>> m_starts;
    std::list<std::pair<TimePoint, Sent<StopOrder, OrderAnswer>>> m_stops;
    std::list<std::pair<TimePoint, Sent<PollOrder, PollAnswer>>> m_polls;
    std::list<std::tuple<TimePoint, std::string, TaskKey>> m_failures;
};

/// Returns a step of tasks that last.
inline std::unique_ptr<record::StepT> lasting(uint32_t count, int64_t cpu = 1'000)
{
    auto made = step(count, cpu);
    made->memory = 1;
    made->long_running = true;
    return made;
}

} // namespace turmericpier::cell::test
