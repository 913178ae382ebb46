#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/cell/arrival-limiter.h"
#include "turmericpier/cell/failure-count.h"
#include "turmericpier/cell/gang-offers.h"
#include "turmericpier/cell/orders.h"
#include "turmericpier/cell/planner.h"
#include "turmericpier/cell/restart-delays.h"
#include "turmericpier/cell/state.h"
#include "turmericpier/cell/tickets.h"
#include "turmericpier/decision/worker-health.h"

#include <absl/status/statusor.h>
#include <boost/json/fwd.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

/// The part of the cell that runs only on the leading replica: it answers calls, plans starts, sends orders to workers
/// and processes their reports. It is single-threaded, does no I/O and reads no clock of its own.
namespace turmericpier::cell {

struct LeaderOptions {
    /// Lease given to a worker; at most the longest lease that workers accept.
    std::chrono::milliseconds lease { 5'000 };
    /// Longest lease that workers accept. A former leader may have given one of this length.
    std::chrono::milliseconds maxLease { 10'000 };
    std::chrono::milliseconds heartbeatInterval { 1'500 }; ///< Interval at which workers send heartbeats.
    /// Time for which the members of a gang wait for each other at the workers.
    std::chrono::milliseconds gangWait { 3'000 };
    /// How long ended jobs are kept; twice what callers are promised.
    std::chrono::milliseconds endedJobRetention { 240'000 };
    /// Time whose jobs a tenant may send at once, at the rate of its weight.
    std::chrono::milliseconds arrivalWindow { 5'000 };
    /// Memory of the state beyond which jobs and workers are refused; 0 for no limit. Only the leader checks it, so
    /// that replicas with other limits apply the same commands.
    size_t maxStateBytes = 0;
};

/// Callbacks through which the leader reaches the log, the workers and the advisor. All run on the leader's thread.
struct LeaderHooks : OrderHooks {
    using ProposeCallback = std::function<void(absl::Status status)>;
    /// Appends a command to the log and calls `done` after the command is applied. The outcome in an error's details is
    /// NotRun or Unknown.
    std::function<void(const record::CommandT& command, ProposeCallback done)> propose;
    /// Returns true while no other replica can lead.
    std::function<bool()> holdsLease;
    /// Asks the advisor through `proxy` which workers may run the step. The answer maps worker ids to tickets.
    std::function<void(const std::string& proxy, const StepKey& step, const std::vector<std::string>& workers,
        std::function<void(AdviceAnswer)>)>
        advise;
    std::function<int64_t()> wallMs; ///< Returns Unix time in milliseconds; used for schedules only.
    /// Runs the function on the leader's thread after `delay`.
    std::function<void(Duration delay, std::function<void()>)> runAfter;
};

class Leader {
public:
    using Answer = std::function<void(record::ReplyT)>;

    Leader(LeaderOptions options, LeaderHooks hooks, State& state, const Clock& clock, Metrics& metrics);
    ~Leader();

    /// Starts leading in `term`. All entries committed in earlier terms must have been applied.
    /// Stops leading: drops all sessions, tickets and pending answers.
    void activate(uint64_t term);
    void deactivate();
    bool isActive() const { return m_active; }

    /// Must be called, in log order, for each command that was applied to the state while this replica leads.
    void applied(const record::CommandT& command);
    /// Answers a call of a client, operator or worker.
    void handle(std::unique_ptr<record::CallT> call, Answer answer);
    /// Records that `proxy`, a process that can call the advisor, is connected.
    void recordAdvisorProxy(const std::string& proxy);
    /// Sends due polls, retries and plans. Must be called about every 50 ms.
    void tick();

    std::string dump() const; ///< Returns the leader's status as a JSON object.

private:
    /// What the leader knows about a run that it has ordered.
    enum class RunPhase {
        Queued, ///< The start order waits for its turn; nothing was sent.
        Inherited, ///< Committed by a former leader; the first poll shows whether the run exists.
        Ordered, ///< The start order is in flight.
        Running, ///< The worker has accepted the order or listed the run.
        InDoubt, ///< The start order got no answer.
        Stopping, ///< A stop order is in flight, after which the run can no longer start.
        StopAcknowledged, ///< The stop was answered; the next poll shows whether the run has ended or never started.
    };
    /// A run on a worker, as identified by its task and number.
    struct Run {
        uint32_t number = 0;
        RunPhase phase = RunPhase::Inherited;
        TimePoint phaseSince;
        TimePoint startedAt; ///< Time of the start order, or at which this leader has inherited the run.
        bool hasBegun = false; ///< The worker has accepted the order or listed the run.
        bool hasLasted = false; ///< A run of a task that lasts has been at work for some time.
        bool isListed = false; ///< A poll of this incarnation has listed the run, which it alone can hold.
        bool stopWanted = false;
        bool stopInFlight = false;
        TimePoint stopSentAt;
        bool endProposed = false;
        uint32_t startAttempts = 0; ///< Number of times the start order was made; more than one if answers were lost.
        int64_t leaseUntilMs = 0; ///< Lease in the start order, on the worker's clock.
        std::string checkpoint;
        uint32_t progress = 0;
        TimePoint progressSince; ///< Time of the last change of the progress.
    };
    /// Why a run may have crashed its worker.
    enum class Suspicion {
        None,
        Old, ///< The run had begun long before. Suspected only if no run is suspected for another reason.
        Young, ///< The run had begun a short time before.
        Unanswered, ///< It is not known whether the run had begun.
    };
    /// A reading of a worker's clock, with the local times between which it was taken.
    struct ClockReading {
        int64_t clockMs = 0;
        TimePoint sentAt;
        TimePoint receivedAt;
    };
    struct RunKey {
        TaskKey task;
        uint32_t number = 0;
        friend auto operator<=>(const RunKey&, const RunKey&) = default;
    };
    /// What the leader knows about one incarnation of a worker.
    struct WorkerSession {
        uint32_t serial = 0;
        bool synced = false; ///< A poll with this leader's fencing token was answered.
        bool pollInFlight = false;
        TimePoint pollDueAt;
        std::optional<ClockReading> clock;
        TimePoint leaseEnd; ///< Time by which every lease given to the worker has certainly ended.
        uint64_t lastEndSeen = 0; ///< Number of the last end that the worker has listed.
        uint64_t lastEndCommitted = 0; ///< Number of the last end that is committed or concerns no run of the log.
        uint64_t lastEndAcknowledged = 0; ///< Value of `lastEndCommitted` in the last poll that was sent.
        bool leaving = false; ///< The worker has announced that it leaves.
        TimePoint leavingSince;
        bool removalProposed = false; ///< The removal of the worker from the state was proposed.
        /// A later incarnation under the same id is known. It may hold runs of this session, because orders name only
        /// the id; the session is kept until these are settled.
        bool replaced = false;
        uint32_t failedPolls = 0; ///< Number of polls that failed since the last answer.
        TimePoint unreachableSince; ///< Time of the first of these failed polls.
        bool refusesConnections = false; ///< The last of these polls failed because no process listens.
        TimePoint lastContactAt; ///< Time of the last answer or heartbeat.
        TimePoint backoffUntil; ///< No tasks are placed on the worker before this time.
        FailureCount failures;
        WorkerId healthId; ///< Name of this incarnation in the judgement of jobs.
        std::optional<TimePoint> lastSuccessAt; ///< Time of the last successful end of a run.
        std::map<TaskKey, Run> runs;
        uint32_t ordersInFlight = 0; ///< Start and stop orders that were sent and not answered.
        std::deque<RunKey> queuedStops;
        std::deque<RunKey> queuedStarts; ///< Those without a run in the phase Queued are skipped.
        std::deque<RunKey> queuedGangStarts; ///< Of large gangs; sent after the others.
        std::set<RunKey> unansweredStops; ///< Queued or sent.
        bool isSendingOrders = false; ///< sendQueuedOrders() runs.
        bool couldTakeStarts = false; ///< The last plan could start tasks on the worker.
    };
    /// Why no tasks are placed on a worker. docs/design/waiting-tasks.md has the event or the time that ends each.
    enum class Exclusion {
        None,
        NotSynced, ///< No poll with this leader's fencing token was answered yet.
        PollsFailed, ///< The last poll got no answer.
        Leaving, ///< The worker has announced that it leaves.
        Replaced, ///< A later incarnation is known.
        Removal, ///< The removal of the worker was proposed.
        Pause, ///< An order got no answer, or the worker was not healthy, a short time ago.
        Failures, ///< Too many recent failures.
        Silent, ///< Not heard of for several heartbeat intervals.
    };
    /// What the last plan has left out, and what it has read beside the state and the sessions.
    struct Waiting {
        struct Step {
            WaitReason reason = WaitReason::NoRoom;
            uint32_t tasks = 0;
            TimePoint since;
        };
        UnplacedTasks unplaced;
        TimePoint plannedAt;
        std::optional<TimePoint> retryAt;
        bool mayStartLargeGang = true;
        bool needsProxy = false; ///< A question to the advisor was not sent, because no proxy was idle.
        std::map<StepKey, Step> steps; ///< The first ones, for operators.
    };
    /// Figures since the last line of the log about the load, which tell a busy leader from slow workers and advisors.
    struct LoadFigures {
        Duration maxTickGap { 0 }; ///< Longest time between two ticks; far above their interval on a busy thread.
        Duration planTime { 0 };
        uint32_t plans = 0;
        UnplacedTasks unplaced; ///< Totals over all plans.
        uint32_t starts = 0;
        uint32_t polls = 0;
        uint32_t adviceCalls = 0;
        uint32_t startAnswers = 0;
        Duration startTime { 0 }; ///< Total time from sending start orders to their answers.
        uint32_t adviceAnswers = 0;
        Duration adviceTime { 0 };
    };
    /// Ends of runs on one worker that are proposed together with those of other workers.
    struct PendingEnds {
        uint32_t serial = 0;
        uint64_t lastEndCommitted = 0; ///< Value for the session once the ends are committed.
        std::vector<TaskKey> tasks;
    };
    /// A worker that was given up because its leases had ended while its address refused connections. A later
    /// incarnation at the address shows that it has crashed.
    struct LostWorker {
        int64_t bornMs = 0;
        TimePoint lostAt;
        record::CommandT suspects; ///< Ends that are proposed once the crash is known.
    };
    /// The first heartbeat of an incarnation, which is processed once the one before it is removed.
    struct HeldHeartbeat {
        std::unique_ptr<record::CallT> call;
        Answer answer;
    };
    /// A process that calls the advisor on behalf of the leader, one call at a time.
    struct AdvisorProxy {
        bool busy = false;
        TimePoint lastSeenAt;
        uint64_t call = 0;
    };

    /// The queue that a call names and the tenant to which its key belongs.
    struct Caller {
        const record::QueueT* queue = nullptr;
        std::string tenant; ///< Empty if no tenants are configured, or for a public queue without a known key.
    };
    /// A job that waits for its commit.
    struct PendingSubmit {
        std::string queue; ///< Key of the queue.
        std::string tenant;
        std::vector<Answer> answers;
    };
    /// Jobs of one tenant that this leader has accepted or refused.
    struct TenantFigures {
        uint64_t accepted = 0;
        uint64_t limited = 0; ///< Refused because the tenant sent more than its weight allows.
    };

    // Handling of calls (leader-calls.cc).
    void submit(std::unique_ptr<record::CallT> call, Answer answer);
    bool fitsState(size_t bytes, std::string_view id);
    Answer holdStateMemory(size_t bytes, Answer answer);
    std::optional<Caller> identifyOrAnswer(const record::CallT& call, const Answer& answer) const;
    bool mayAccess(const Caller& caller, const std::string& queue, const std::string& tenant) const;
    bool isWithinRate(const std::string& tenant, const std::string& job, const Answer& answer);
    bool isWithinCap(const record::JobT& job, const Answer& answer) const;
    void forgetOmittedTenants();
    void status(const record::CallT& call, const Answer& answer) const;
    void cancel(const record::CallT& call, Answer answer);
    void waiting(const record::CallT& call, const Answer& answer) const;
    void putConfig(std::unique_ptr<record::CallT> call, Answer answer);
    void heartbeat(std::unique_ptr<record::CallT> call, Answer answer);
    void seen(const record::CallT& call, const Answer& answer);
    void leave(const record::CallT& call, const Answer& answer);
    void propose(record::CommandT& command, LeaderHooks::ProposeCallback done);
    void proposeFor(
        record::CommandT& command, Answer answer, std::string what, std::string id, std::string inputs = {});

    // Sessions with workers and polls (leader-workers.cc, leader-lost-workers.cc).
    void refreshSessions();
    void adoptRuns(WorkerSession& session, const WorkerRecord& worker);
    void poll(WorkerSession& session);
    void onPollAnswer(uint32_t serial, uint64_t generation, TimePoint sentAt, PollAnswer answer);
    void onPollFailed(WorkerSession& session, const PollAnswer& answer);
    void processActiveRuns(WorkerSession& session, const PollAnswer& answer, TimePoint sentAt);
    void recordLasting(const WorkerSession& session, const TaskKey& task, Run& run);
    void recordUnknownRun(const WorkerSession& session, const ActiveRun& reported);
    void resolveUnlistedRuns(WorkerSession& session, const std::set<TaskKey>& listed, TimePoint sentAt);
    void proposeRemoval(WorkerSession& session, bool hasCrashed);
    void markReplaced(WorkerSession& session);
    bool mayHoldRunsOf(const WorkerRecord& earlier, const record::WorkerT& later) const;
    void holdHeartbeat(WorkerSession& session, std::unique_ptr<record::CallT> call, Answer answer);
    void releaseHeldHeartbeat(uint32_t serial);
    void onSuccessorAnswer(WorkerSession& session, const PollAnswer& answer, TimePoint sentAt);
    bool settleRun(WorkerSession& session, const TaskKey& task, Run& run, const PollAnswer& answer, TimePoint sentAt);
    Suspicion suspicionOf(const WorkerSession& session, const TaskKey& task, const Run& run) const;
    bool hasAnnouncedEnd(const WorkerSession& session) const;
    void appendEndsOfReplaced(record::CommandT& command, const WorkerRecord& earlier) const;
    void logCrash(const std::string& worker, const record::CommandT& command) const;
    void rememberSuspects(const WorkerSession& session);
    void appendLateCrashes(record::CommandT& command, const record::WorkerT& worker);
    void appendEndsOfLostRuns(record::CommandT& command, const WorkerSession& session, bool hasCrashed) const;
    void onFenced(const WorkerSession& session);
    void recordOwnFailure(WorkerSession& session, double weight);
    void recordTaskFailure(WorkerSession& session, const std::string& job, double weight);
    void recordSuccess(WorkerSession& session, const std::string& job);
    bool hasRecentSuccess(const WorkerSession& session) const;
    void checkRuns(WorkerSession& session);
    Exclusion exclusionOf(const WorkerSession& session, double failures, TimePoint now) const;
    static std::string_view nameOf(Exclusion exclusion);
    double failureLimitOf(const WorkerSession& session) const;
    void updateFailureLimits();
    WorkerAddress addressOf(const WorkerSession& session) const;
    record::EndT makeEnd(
        const TaskKey& task, uint32_t run, uint32_t serial, record::EndKind how, const std::string& checkpoint) const;

    // Start and stop orders (leader-orders.cc).
    bool isInLargeGang(const TaskKey& task) const;
    void queueStart(WorkerSession& session, const TaskKey& task, Run& run);
    void queueStop(WorkerSession& session, const TaskKey& task, uint32_t number);
    void sendQueuedOrders(WorkerSession& session);
    static uint32_t startRoomOf(const WorkerSession& session);
    void sendStart(WorkerSession& session, const TaskKey& task, Run& run);
    bool trySendStart(WorkerSession& session, const TaskKey& task, Run& run);
    void markStartInDoubt(WorkerSession& session, Run& run);
    void onStart(
        WorkerSession& session, const TaskKey& task, uint32_t number, TimePoint sentAt, const OrderAnswer& answer);
    void stopRun(WorkerSession& session, const TaskKey& task, Run& run);
    void sendStop(WorkerSession& session, const TaskKey& task, uint32_t number);
    void onStop(WorkerSession& session, const TaskKey& task, uint32_t number, const OrderAnswer& answer);

    // Ends of runs (leader-ends.cc).
    void proposeNeverStarted(WorkerSession& session, const TaskKey& task, Run& run);
    void processEndedRuns(WorkerSession& session, const std::vector<EndedRun>& rows);
    void proposeEnds(uint32_t serial, record::CommandT command, uint64_t lastEndCommitted);
    void flushEnds();
    void onEndsCommitted(const PendingEnds& ends, const absl::Status& status);
    void proposeExcessEnds(record::CommandT& command);

    // Gangs (leader-gangs.cc).
    void stopGangs(const record::CommandT& command);
    void stopGang(const StepKey& step, uint32_t run);
    void stopLateGangs();
    void logDelayedGang(const StepKey& step, Duration delay, std::string_view reason, const std::string& detail) const;
    bool maySendLargeGang() const;

    // Clocks and leases of workers (leader-leases.cc).
    void assumeLongestLease(WorkerSession& session, Duration grantedUntil);
    void recordClock(WorkerSession& session, int64_t clockMs, TimePoint sentAt);
    std::optional<int64_t> leaseUntil(WorkerSession& session);

    // Planning (leader-plans.cc).
    void requestPlan();
    void runPlan();
    WorkerHealthView viewOf(const WorkerSession& session, TimePoint now) const;
    void rememberWaiting(const Plan& plan, const PlannerInput& input);
    void replanIfChanged();
    void recordFallback(const std::string& step, uint64_t tasks);
    bool hasChangedForWaiting(TimePoint now) const;
    bool hasWorkerForWaiting(TimePoint now) const;
    size_t askAdvisor(const std::vector<AdviceRequest>& requests);
    bool isIdle(const AdvisorProxy& proxy) const;
    bool hasIdleProxy() const;
    void logStarts(const std::vector<record::StartT>& starts) const;

    // The rest (leader.cc).
    void orderStarts(const record::StartT& start);
    void logEnd(const record::EndT& end) const;
    void recordRestart(const record::EndT& end, const Run& run);
    void stopClosedJobs(const record::CommandT& command);
    void stopJob(const record::JobT& job);
    uint64_t cellTimeMs() const;
    void rememberEndedJobs();
    void forgetOldJobs();
    void recordTick();
    void reportLoad();
    boost::json::array describeTenants() const;
    boost::json::array describeWaiting() const;
    void recordDecision(
        std::string_view what, std::string_view id, std::string_view outcome, std::string detail = "") const;

    const LeaderOptions m_options;
    const LeaderHooks m_hooks;
    State& m_state;
    const Clock& m_clock;
    Counter& m_starts;
    Counter& m_startsRefused;
    Counter& m_unknownRuns;
    Counter& m_polls;
    Counter& m_adviceCalls;
    Counter& m_plans;
    Counter& m_fallbackStarts;
    Counter& m_callsHandled;
    Counter& m_stateRefusals;
    Counter& m_keyRefusals;
    Counter& m_rateRefusals;
    Gauge& m_stateBytes;
    Latency& m_planLatency;
    Latency& m_tickGap;
    Latency& m_startLatency;
    Latency& m_adviceLatency;

    bool m_active = false;
    uint64_t m_term = 0;
    /// Changes when leadership is gained or lost; answers to orders of earlier generations are ignored.
    uint64_t m_generation = 0;
    /// A worker has refused this leader's fencing token as too low; no orders are sent until the next term.
    bool m_fenced = false;
    bool m_planRequested = false;
    bool m_planScheduled = false;
    bool m_isFallbackPlan = false; ///< The plan is requested only because tasks have waited for some time.
    Waiting m_waiting;
    TimePoint m_nextPlanAt; ///< No plan is made before this time.
    bool m_startsProposed = false;
    record::CommandT m_endsCommand; ///< Ends that were not proposed yet.
    size_t m_endsBytes = 0; ///< Estimated size of `m_endsCommand`.
    std::vector<PendingEnds> m_pendingEnds; ///< The sources of the ends in `m_endsCommand`.
    TicketCache m_tickets;
    std::map<StepKey, uint64_t> m_adviceInFlight; ///< Numbers of the calls to the advisor, by step.
    std::map<StepKey, TimePoint> m_adviceRetryAt;
    std::map<std::string, AdvisorProxy> m_advisorProxies;
    uint64_t m_nextAdvice = 1;
    std::map<uint32_t, WorkerSession> m_sessions;
    std::map<std::string, LostWorker> m_lostWorkers; ///< By address.
    std::map<uint32_t, HeldHeartbeat> m_heldHeartbeats; ///< By the serial of the incarnation that was replaced.
    std::map<std::string, PendingSubmit> m_pendingSubmits; ///< By job id.
    ArrivalLimiter m_arrivals;
    std::set<std::string> m_waitingTenants; ///< Tenants with tasks that the last plan left waiting.
    std::map<std::string, TenantFigures> m_tenantFigures;
    /// Failures above which a worker gets no tasks, by service. Only services are listed of which too many workers have
    /// reached the usual limit.
    std::map<std::string, double> m_failureLimits;
    TimePoint m_lastFailureAt; ///< Of any worker.
    decision::WorkerHealth m_taskHealth; ///< Tells jobs that fail everywhere from workers that fail everything.
    GangOffers m_largeGangs;
    RestartDelays m_restartDelays;
    TimePoint m_activatedAt;
    uint64_t m_timeAtActivation = 0; ///< Time of the cell, in milliseconds.
    /// Ended jobs, with the time of their end on the clock of this leader.
    std::map<std::string, TimePoint> m_endedSince;
    int64_t m_nextDueMs = 0;
    size_t m_pendingStateBytes = 0; ///< Estimated memory of jobs and workers that wait for their commit.
    LoadFigures m_load;
    TimePoint m_loadReportedAt;
    std::optional<TimePoint> m_lastTickAt;
};

} // namespace turmericpier::cell
