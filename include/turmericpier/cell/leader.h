#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/cell/orders.h"
#include "turmericpier/cell/state.h"
#include "turmericpier/cell/tickets.h"

#include <absl/status/statusor.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

/// The leader's part of the cell: answers calls, plans starts, gives orders to workers, and takes in what they report.
/// One thread; no I/O and no clock of its own.
namespace turmericpier::cell {

struct LeaderOptions {
    std::chrono::milliseconds lease { 5'000 }; ///< Given to a worker; at most what workers accept.
    /// Longest lease that workers accept; a former leader may have given it.
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds heartbeatInterval { 1'500 }; ///< Of the heartbeats of workers.
    std::chrono::milliseconds endedJobRetention { 240'000 }; ///< State of ended jobs; twice what callers are promised.
};

/// How the leader reaches the world. All callbacks run on the leader's thread.
struct LeaderHooks {
    using ProposeCallback = std::function<void(absl::Status status)>;
    /// Appends to the log; the callback runs after the command is applied. Its error says NotRun or Unknown.
    std::function<void(const record::CommandT& command, ProposeCallback done)> propose;
    /// True while no other replica can lead.
    std::function<bool()> holdsLease;
    std::function<void(const WorkerAddress&, const StartOrder&, std::function<void(OrderAnswer)>)> start;
    std::function<void(const WorkerAddress&, const StopOrder&, std::function<void(OrderAnswer)>)> stop;
    std::function<void(const WorkerAddress&, const PollOrder&, std::function<void(PollAnswer)>)> poll;
    /// Asks the advisor from the proxy; the answer's tickets are by worker id.
    std::function<void(const std::string& proxy, const StepKey& step, const std::vector<std::string>& workers,
        std::function<void(AdviceAnswer)>)>
        advise;
    std::function<int64_t()> wallMs; ///< Unix time; used for schedules only.
    /// Runs the function later on the leader's thread.
    std::function<void(Duration delay, std::function<void()>)> runAfter;
};

class Leader {
public:
    using Answer = std::function<void(record::ReplyT)>;

    Leader(LeaderOptions options, LeaderHooks hooks, State& state, const Clock& clock, Metrics& metrics);
    ~Leader();

    /// This replica leads in `term` and has applied all that was committed before.
    void activate(uint64_t term);
    void deactivate();
    bool isActive() const { return m_active; }

    /// A command was applied to the state. To be called in the order of the log while this replica leads.
    void applied(const record::CommandT& command);
    /// Answers a call of a client, operator or worker.
    void handle(std::unique_ptr<record::CallT> call, Answer answer);
    /// A process that can ask the advisor is connected.
    void recordAdvisorProxy(const std::string& proxy);
    /// To be called about every 50 ms.
    void tick();

    std::string dump() const; ///< JSON object.

private:
    /// What is known about an order to start a run.
    enum class RunPhase {
        Inherited, ///< Committed by a former leader; the first look tells.
        Ordered, ///< The order is on its way.
        Running, ///< The worker has accepted or listed it.
        InDoubt, ///< The order got no answer.
        Stopping, ///< A stop is on its way, so that the run can not start any more.
        StopAcknowledged, ///< The stop was answered; the next look shows whether the run has ended or never started.
    };
    struct Run {
        uint32_t number = 0;
        RunPhase phase = RunPhase::Inherited;
        TimePoint phaseSince;
        bool stopWanted = false;
        bool stopInFlight = false;
        TimePoint stopSentAt;
        bool endProposed = false;
        uint32_t startAttempts = 0; ///< Copies of the start order; more than one if answers were lost.
        int64_t leaseUntilMs = 0; ///< In the start order, on the worker's clock.
        std::string checkpoint;
        uint32_t progress = 0;
        TimePoint progressSince; ///< When the progress last changed.
    };
    struct ClockReading {
        int64_t clockMs = 0;
        TimePoint sentAt;
        TimePoint receivedAt;
    };
    struct WorkerSession {
        uint32_t serial = 0;
        bool synced = false; ///< A look with this leader's token was answered.
        bool pollInFlight = false;
        TimePoint pollDueAt;
        std::optional<ClockReading> clock;
        TimePoint leaseEnd; ///< By then every lease given to the worker has certainly ended.
        uint64_t lastEndSeen = 0;
        uint64_t lastEndCommitted = 0;
        uint64_t lastEndAcknowledged = 0;
        bool leaving = false;
        bool removalProposed = false;
        uint32_t failedPolls = 0;
        TimePoint lastContactAt;
        TimePoint backoffUntil;
        double failures = 0; ///< Recent failures of runs; decays.
        TimePoint failuresUpdatedAt;
        std::optional<TimePoint> lastSuccessAt; ///< Last successful end of a run.
        std::map<TaskKey, Run> runs;
    };
    struct AdvisorProxy {
        bool busy = false;
        TimePoint lastSeenAt;
        uint64_t call = 0;
    };

    // Calls (leader-calls.cc).
    void submit(std::unique_ptr<record::CallT> call, Answer answer);
    const record::QueueT* matchQueueOrAnswer(const record::CallT& call, const Answer& answer) const;
    void status(const record::CallT& call, const Answer& answer) const;
    void cancel(const record::CallT& call, Answer answer);
    void waiting(const record::CallT& call, const Answer& answer) const;
    void putConfig(std::unique_ptr<record::CallT> call, Answer answer);
    void heartbeat(std::unique_ptr<record::CallT> call, Answer answer);
    void leave(const record::CallT& call, const Answer& answer);
    void proposeFor(const record::CommandT& command, Answer answer, std::string what, std::string id);

    // Workers (leader-workers.cc).
    void refreshSessions();
    void adoptRuns(WorkerSession& session, const WorkerRecord& worker);
    void poll(WorkerSession& session);
    void onPollAnswer(uint32_t serial, uint64_t generation, TimePoint sentAt, PollAnswer answer);
    void onPollFailed(WorkerSession& session, const PollAnswer& answer);
    void processEndedRuns(WorkerSession& session, const std::vector<EndedRun>& rows);
    void processActiveRuns(WorkerSession& session, const PollAnswer& answer, TimePoint sentAt);
    void resolveUnlistedRuns(WorkerSession& session, const std::set<TaskKey>& listed, TimePoint sentAt);
    void sendStart(WorkerSession& session, const TaskKey& task, Run& run);
    bool trySendStart(WorkerSession& session, const TaskKey& task, Run& run);
    void markStartInDoubt(WorkerSession& session, Run& run);
    void onStart(uint32_t serial, const TaskKey& task, uint32_t number, TimePoint sentAt, const OrderAnswer& answer);
    void proposeNeverStarted(WorkerSession& session, const TaskKey& task, Run& run);
    void stopRun(WorkerSession& session, const TaskKey& task, Run& run);
    void sendStop(WorkerSession& session, const TaskKey& task, uint32_t number);
    void proposeEnds(uint32_t serial, const record::CommandT& command, uint64_t lastEndCommitted);
    void proposeRemoval(WorkerSession& session);
    void onFenced(const WorkerSession& session);
    void recordClock(WorkerSession& session, int64_t clockMs, TimePoint sentAt);
    std::optional<int64_t> leaseUntil(WorkerSession& session);
    double decayedFailures(const WorkerSession& session) const;
    void recordFailure(WorkerSession& session, double weight);
    void recordSuccess(WorkerSession& session);
    bool hasRecentSuccess(const WorkerSession& session) const;
    void checkRuns(WorkerSession& session);
    bool isUsable(const WorkerSession& session) const;
    WorkerAddress addressOf(const WorkerSession& session) const;
    record::EndT makeEnd(
        const TaskKey& task, uint32_t run, uint32_t serial, record::EndKind how, const std::string& checkpoint) const;

    // Planning (leader.cc).
    void requestPlan();
    void runPlan();
    void askAdvisor(const std::vector<struct AdviceRequest>& requests);
    void logStarts(const std::vector<record::StartT>& starts) const;
    void logEnd(const record::EndT& end) const;
    void stopClosedJobs(const record::CommandT& command);
    void stopJob(const record::JobT& job);
    void stopGangMembers(const record::EndT& end);
    void forgetOldJobs();
    void recordDecision(
        std::string_view what, std::string_view id, std::string_view outcome, std::string detail = "") const;

    const LeaderOptions m_options;
    const LeaderHooks m_hooks;
    State& m_state;
    const Clock& m_clock;
    Counter& m_starts;
    Counter& m_startsRefused;
    Counter& m_polls;
    Counter& m_adviceCalls;
    Counter& m_plans;
    Counter& m_callsHandled;
    Latency& m_planLatency;

    bool m_active = false;
    uint64_t m_term = 0;
    uint64_t m_generation = 0; ///< Changes with each leadership; answers to earlier orders are ignored.
    bool m_fenced = false; ///< A worker has seen a higher token: no orders any more.
    bool m_planRequested = false;
    bool m_planScheduled = false;
    bool m_startsProposed = false;
    TicketCache m_tickets;
    std::set<StepKey> m_adviceInFlight;
    std::map<StepKey, TimePoint> m_adviceRetryAt;
    std::map<std::string, AdvisorProxy> m_advisorProxies;
    uint64_t m_nextAdvice = 1;
    std::map<uint32_t, WorkerSession> m_sessions;
    std::map<std::string, std::vector<Answer>>
        m_pendingSubmits; ///< Answers waiting for the commit of a job, by its id.
    std::map<std::string, TimePoint> m_endedSince; ///< Ended jobs, since when this leader knows it.
    int64_t m_nextDueMs = 0;
};

} // namespace turmericpier::cell
