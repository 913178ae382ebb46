#pragma once

#include "cell-fixtures.h"
#include "turmericpier/base/error.h"
#include "turmericpier/cell/leader.h"

#include <deque>
#include <list>
#include <optional>

/// A leader with fakes of its surroundings: a log that commits at once or on request, and workers whose answers the
/// test provides.
namespace turmericpier::cell::test {

struct LeaderFixture {
    template <typename Order, typename Answer> struct Sent {
        WorkerAddress to;
        Order order;
        std::function<void(Answer)> answer;
    };

    ManualClock clock;
    Metrics metrics;
    State state;
    bool holdsLease = true;
    bool commits = true;
    int64_t wallMs = 1'000'000;
    Duration planTime { 0 }; ///< Time that each plan takes.
    std::list<Sent<StartOrder, OrderAnswer>> starts;
    std::list<Sent<StopOrder, OrderAnswer>> stops;
    std::list<Sent<PollOrder, PollAnswer>> polls;
    struct Advice {
        std::string proxy;
        StepKey step;
        std::vector<std::string> workers;
        std::function<void(AdviceAnswer)> answer;
    };
    std::list<Advice> advice;
    std::deque<std::pair<std::shared_ptr<record::CommandT>, LeaderHooks::ProposeCallback>> log;
    std::list<std::pair<TimePoint, std::function<void()>>> timers;
    std::unique_ptr<Leader> leader;

    explicit LeaderFixture(std::unique_ptr<record::ConfigT> config = test::config())
    {
        clock.advance(std::chrono::seconds(1'000));
        configure(state, std::move(config));
        createLeader();
    }

    void createLeader(const LeaderOptions& options = {})
    {
        LeaderHooks hooks;
        hooks.propose = [this](const record::CommandT& command, LeaderHooks::ProposeCallback done) {
            log.emplace_back(std::make_shared<record::CommandT>(command), std::move(done));
        };
        hooks.holdsLease = [this] { return holdsLease; };
        hooks.start = [this](const WorkerAddress& to, const StartOrder& order, std::function<void(OrderAnswer)> done) {
            starts.push_back({ to, order, std::move(done) });
        };
        hooks.stop = [this](const WorkerAddress& to, const StopOrder& order, std::function<void(OrderAnswer)> done) {
            stops.push_back({ to, order, std::move(done) });
        };
        hooks.poll = [this](const WorkerAddress& to, const PollOrder& order, std::function<void(PollAnswer)> done) {
            polls.push_back({ to, order, std::move(done) });
        };
        hooks.advise = [this](const std::string& proxy, const StepKey& step, const std::vector<std::string>& workers,
                           std::function<void(AdviceAnswer)> done) {
            advice.push_back({ proxy, step, workers, std::move(done) });
        };
        hooks.wallMs = [this] { // The leader reads this clock once in each plan.
            clock.advance(planTime);
            return wallMs;
        };
        hooks.runAfter = [this](Duration delay, std::function<void()> function) {
            timers.emplace_back(clock.now() + delay, std::move(function));
        };
        leader = std::make_unique<Leader>(options, std::move(hooks), state, clock, metrics);
    }

    /// Commits proposals and runs due timers until there are none left.
    void runPending()
    {
        bool busy = true;
        while (busy) {
            busy = false;
            while (commits && !log.empty()) {
                auto [command, done] = std::move(log.front());
                log.pop_front();
                state.apply(*command);
                leader->applied(*command);
                done(absl::OkStatus());
                busy = true;
            }
            for (auto it = timers.begin(); it != timers.end(); ++it) {
                if (it->first > clock.now())
                    continue;
                const auto function = std::move(it->second);
                timers.erase(it);
                function();
                busy = true;
                break;
            }
        }
    }

    void advanceTime(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds step { 50 };
        for (auto left = time; left.count() > 0; left -= step) {
            clock.advance(std::min(step, left));
            leader->tick();
            runPending();
        }
    }

    void activate(uint64_t term = 1)
    {
        leader->activate(term);
        runPending();
    }

    int64_t workerClock() const { return clock.now().sinceStart.count() / 1'000'000; }

    /// Answers the oldest poll of the worker. Returns the order, or nothing if there is none.
    std::optional<PollOrder> answerPoll(
        const std::string& id, std::vector<ActiveRun> running = {}, std::vector<EndedRun> ended = {})
    {
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.clockMs = workerClock();
        answer.running = std::move(running);
        answer.ended = std::move(ended);
        return answerPollWith(id, answer);
    }
    std::optional<PollOrder> answerPollWith(const std::string& id, const PollAnswer& answer)
    {
        for (auto it = polls.begin(); it != polls.end(); ++it) {
            if (it->to.id != id)
                continue;
            auto sent = std::move(*it);
            polls.erase(it);
            sent.answer(answer);
            runPending();
            return sent.order;
        }
        return std::nullopt;
    }
    /// Answers the oldest start order.
    StartOrder answerStart(OrderResult result)
    {
        auto sent = std::move(starts.front());
        starts.pop_front();
        sent.answer({ result, workerClock() });
        runPending();
        return sent.order;
    }
    StopOrder answerStop(OrderResult result)
    {
        auto sent = std::move(stops.front());
        stops.pop_front();
        sent.answer({ result, workerClock() });
        runPending();
        return sent.order;
    }

    std::optional<record::ReplyT> call(std::unique_ptr<record::CallT> made)
    {
        auto reply = std::make_shared<std::optional<record::ReplyT>>();
        leader->handle(std::move(made), [reply](record::ReplyT answer) { *reply = std::move(answer); });
        runPending();
        return *reply;
    }
    static std::unique_ptr<record::CallT> callFor(record::CallKind kind, const std::string& path)
    {
        auto made = std::make_unique<record::CallT>();
        made->kind = kind;
        made->host = host;
        made->path = path;
        return made;
    }
    std::optional<record::ReplyT> submitJob(std::unique_ptr<record::JobT> job)
    {
        auto made = callFor(record::CallKind::Submit, prefix + job->id);
        made->job = std::move(job);
        return call(std::move(made));
    }
    std::optional<record::ReplyT> heartbeat(std::unique_ptr<record::WorkerT> worker)
    {
        auto made = callFor(record::CallKind::Beat, "");
        made->worker = std::move(worker);
        return call(std::move(made));
    }
    /// Adds a worker that has sent its first heartbeat and has answered its first poll.
    void addReadyWorker(const std::string& id)
    {
        heartbeat(test::worker(id));
        answerPoll(id);
    }
    uint32_t runOf(const TaskKey& task) const { return state.findTask(task)->run; }
    record::TaskState stateOf(const TaskKey& task) const { return state.findTask(task)->state; }
};

inline ActiveRun activeRun(const TaskKey& task, uint32_t run, uint32_t progress = 0, const std::string& saved = {})
{
    return { task, run, saved, progress, 0 };
}

} // namespace turmericpier::cell::test
