#include "turmericpier/cell/leader.h"

#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

/// Sessions with workers, polls and the runs that they show.
namespace turmericpier::cell {

using record::EndKind;
using std::chrono::milliseconds;

namespace {
    // Longest wait of a poll; workers accept up to 2,000 ms. An unanswered poll hides the ends on the worker for this
    // long plus a timeout, while the shortest jobs have about two seconds.
    constexpr uint32_t maxPollWaitMs = 500;
    // Delay between polls, so that one poll collects ends that occur close together.
    constexpr milliseconds pollDelay { 30 };
    // Additional delay for each run that the last answer lists, several times the processor time that it takes. Workers
    // with thousands of runs would otherwise take the whole processor.
    constexpr std::chrono::microseconds delayPerRow { 25 };
    constexpr milliseconds maxRowsDelay { 500 };
    constexpr milliseconds pollRetryDelay { 150 };
    constexpr milliseconds stopRetryDelay { 100 }; // Delay after an attempt without an answer.
    // A newly elected leader may overlap with the orders of the previous one for as long as that one's lease.
    constexpr milliseconds leadershipOverlap { 1'000 };
    // A worker counts as healthy for this long after a successful run, unless a later run has failed.
    constexpr milliseconds recentSuccessWindow { 6'000 };
    // Largest part of the workers of a service that are out of use because of failures, as in decision::WorkerHealth.
    constexpr double maxFailingShare = 0.4;
    // A worker gets no tasks after this many heartbeat intervals of silence.
    constexpr int silentIntervals = 3;
    // A task is moved if its progress does not change for this long, or for the given multiple of the expected time per
    // percent if that is longer.
    constexpr milliseconds minStallTimeout { 3'000 };
    constexpr int stallTimeoutFactor = 10;
} // namespace

WorkerAddress Leader::addressOf(const WorkerSession& session) const
{
    const auto& worker = m_state.findWorker(session.serial)->worker;
    return { worker.id, worker.address, worker.zone, worker.born_ms };
}

record::EndT Leader::makeEnd(
    const TaskKey& task, uint32_t run, uint32_t serial, EndKind how, const std::string& checkpoint) const
{
    auto end = recordOf<record::EndT>(task, run, serial);
    end.how = how;
    end.saved = checkpoint;
    return end;
}

void Leader::refreshSessions()
{
    for (auto it = m_sessions.begin(); it != m_sessions.end();) {
        if (m_state.findWorker(it->first)) {
            ++it;
            continue;
        }
        m_tickets.forgetWorker(it->first);
        m_taskHealth.removeWorker(it->second.healthId);
        releaseHeldHeartbeat(it->first);
        it = m_sessions.erase(it);
    }
    for (const auto& [serial, worker] : m_state.workers()) {
        const auto [it, isNew] = m_sessions.try_emplace(serial);
        auto& session = it->second;
        if (!isNew) {
            if (worker.worker.draining)
                checkRuns(session);
            continue;
        }
        session.serial = serial;
        session.healthId = WorkerId(absl::StrCat(serial));
        m_taskHealth.addWorker(session.healthId);
        session.lastContactAt = m_clock.now();
        session.pollDueAt = m_clock.now();
        recordDecision("worker", worker.worker.id, "session",
            absl::StrCat("serial=", serial, " born=", worker.worker.born_ms, " runs=", worker.placed.size()));
        // A former leader may have given the longest lease at the last moment of its leadership.
        if (!worker.placed.empty())
            assumeLongestLease(session, leadershipOverlap);
        adoptRuns(session, worker);
        poll(session);
    }
}

void Leader::adoptRuns(WorkerSession& session, const WorkerRecord& worker)
{
    for (const auto& key : worker.placed) {
        const auto* task = m_state.findTask(key);
        Run run { .number = task->run, .phase = RunPhase::Inherited, .phaseSince = m_clock.now() };
        run.checkpoint = m_state.checkpointOf(key);
        run.startedAt = run.progressSince = m_clock.now();
        run.stopWanted = m_state.findJob(key.job)->state != record::JobState::Open;
        session.runs.emplace(key, std::move(run));
    }
}

void Leader::poll(WorkerSession& session)
{
    if (session.pollInFlight || m_fenced || !m_hooks.holdsLease()) {
        session.pollDueAt = m_clock.now() + pollRetryDelay;
        return;
    }
    const auto now = m_clock.now();
    PollOrder order { .fencingToken = m_term, .ackCursor = session.lastEndCommitted };
    if (session.replaced)
        order.ackCursor = 0; // A later incarnation numbers its ends anew.
    // The lease is not renewed after a failed poll, because an unanswered renewal postpones the moment at which the
    // worker's tasks may be placed again.
    const bool reachable = session.synced && session.failedPolls == 0 && !session.replaced;
    if (reachable && !session.runs.empty())
        order.leaseUntilMs = leaseUntil(session);
    const bool endsPending = session.lastEndSeen > session.lastEndCommitted;
    if (reachable && !endsPending && !session.leaving && !session.runs.empty())
        order.waitMs = maxPollWaitMs;
    session.pollInFlight = true;
    session.lastEndAcknowledged = session.lastEndCommitted;
    m_polls.increment();
    ++m_load.polls;
    m_hooks.poll(
        addressOf(session), order, [this, serial = session.serial, generation = m_generation, now](PollAnswer answer) {
            onPollAnswer(serial, generation, now, std::move(answer));
        });
}

void Leader::onPollAnswer(uint32_t serial, uint64_t generation, TimePoint sentAt, PollAnswer answer)
{
    const auto found = m_sessions.find(serial);
    if (generation != m_generation || found == m_sessions.end())
        return;
    auto& session = found->second;
    session.pollInFlight = false;
    const auto& worker = m_state.findWorker(serial)->worker;
    if (answer.result == OrderResult::Accepted && answer.startedAtMs && *answer.startedAtMs != worker.born_ms)
        return onSuccessorAnswer(session, answer, sentAt);
    if (answer.result == OrderResult::Fenced)
        return onFenced(session);
    if (answer.result != OrderResult::Accepted)
        return onPollFailed(session, answer);
    const auto now = m_clock.now();
    session.lastContactAt = now;
    if (session.failedPolls > 0)
        recordDecision("worker", worker.id, "answers again", absl::StrCat("silent_looks=", session.failedPolls));
    session.failedPolls = 0;
    if (answer.clockMs)
        recordClock(session, *answer.clockMs, sentAt);
    processActiveRuns(session, answer, sentAt);
    processEndedRuns(session, answer.ended);
    if (!session.synced) {
        session.synced = true;
        requestPlan();
    }
    const auto delay
        = pollDelay + std::min<Duration>(delayPerRow * (answer.running.size() + answer.ended.size()), maxRowsDelay);
    session.pollDueAt = now + delay;
    if (!session.pollInFlight && !session.runs.empty() && session.lastEndSeen == session.lastEndCommitted) {
        m_hooks.runAfter(delay, [this, serial, generation] {
            const auto again = m_sessions.find(serial);
            if (generation == m_generation && again != m_sessions.end() && !again->second.pollInFlight
                && again->second.synced && !again->second.runs.empty()
                && again->second.lastEndSeen == again->second.lastEndCommitted)
                poll(again->second);
        });
    }
}

void Leader::onPollFailed(WorkerSession& session, const PollAnswer& answer)
{
    const auto& worker = m_state.findWorker(session.serial)->worker;
    ++session.failedPolls;
    session.pollDueAt = m_clock.now() + pollRetryDelay;
    session.refusesConnections = answer.result == OrderResult::ConnectionRefused;
    if (session.failedPolls == 1) {
        session.unreachableSince = m_clock.now();
        recordDecision("worker", worker.id, "look failed", std::string(toString(answer.result)));
        requestPlan();
    }
    // The incarnation has certainly ended if another one answers at its address, or if the port is closed after the
    // worker has announced that it leaves.
    if (answer.result == OrderResult::OtherIncarnation
        || (answer.result == OrderResult::ConnectionRefused && session.leaving))
        proposeRemoval(session, answer.result == OrderResult::OtherIncarnation);
}

void Leader::onFenced(const WorkerSession& session)
{
    if (m_fenced)
        return;
    m_fenced = true;
    logError("cell", "a worker has seen a higher fencing token; no orders until the next term",
        { { "worker", addressOf(session).id }, { "term", absl::StrCat(m_term) } });
}

void Leader::processActiveRuns(WorkerSession& session, const PollAnswer& answer, TimePoint sentAt)
{
    const auto now = m_clock.now();
    std::set<TaskKey> listed;
    for (const auto& reported : answer.running) {
        const auto found = session.runs.find(reported.task);
        if (found == session.runs.end() || found->second.number != reported.run) {
            // According to the log this incarnation does not hold the run, for example because its end was committed or
            // its job was already removed.
            recordUnknownRun(session, reported);
            queueStop(session, reported.task, reported.run);
            continue;
        }
        listed.insert(reported.task);
        auto& run = found->second;
        run.hasBegun = true;
        run.isListed = true;
        recordLasting(session, reported.task, run);
        if (run.phase != RunPhase::Stopping && run.phase != RunPhase::StopAcknowledged)
            run.phase = RunPhase::Running;
        if (!reported.checkpoint.empty())
            run.checkpoint = reported.checkpoint;
        if (reported.progress != run.progress)
            run.progressSince = now;
        run.progress = reported.progress;
    }
    sendQueuedOrders(session);
    for (const auto& reported : answer.ended) {
        const auto found = session.runs.find(reported.task);
        if (found != session.runs.end() && found->second.number == reported.run)
            listed.insert(reported.task);
    }
    // A run that is not listed may have ended. The next list begins after the ends that are acknowledged by then.
    if (!answer.mayHaveMoreEnds)
        resolveUnlistedRuns(session, listed, sentAt);
}

/// Counts a run of a task that lasts as a success of its job and its worker once it has been at work for some time.
void Leader::recordLasting(const WorkerSession& session, const TaskKey& task, Run& run)
{
    constexpr milliseconds provenAge { 2'000 };
    if (run.hasLasted || m_clock.now() - run.startedAt < provenAge)
        return;
    run.hasLasted = true;
    const auto* job = m_state.findJob(task.job);
    if (job && job->steps[task.step]->long_running)
        m_taskHealth.taskSucceeded(session.healthId, JobId(task.job), m_clock.now());
}

/// Handles runs that a poll listed neither as active nor as ended.
void Leader::resolveUnlistedRuns(WorkerSession& session, const std::set<TaskKey>& listed, TimePoint sentAt)
{
    for (auto& [key, run] : session.runs) {
        if (listed.contains(key) || run.endProposed || sentAt < run.phaseSince)
            continue;
        switch (run.phase) {
        case RunPhase::Queued:
        case RunPhase::Ordered:
        case RunPhase::Stopping:
            break; // The answer to the order decides.
        // This leader's fencing token prevents the former leader's order from being carried out.
        case RunPhase::Inherited:
        case RunPhase::StopAcknowledged:
            proposeNeverStarted(session, key, run);
            break;
        case RunPhase::Running:
        case RunPhase::InDoubt:
            stopRun(session, key, run);
            break;
        }
    }
}

/// Records a run that the log does not place on this worker. If the log places the task elsewhere, it runs twice.
void Leader::recordUnknownRun(const WorkerSession& session, const ActiveRun& reported)
{
    m_unknownRuns.increment();
    const auto& worker = m_state.findWorker(session.serial)->worker;
    const auto* task = m_state.findTask(reported.task);
    const auto* placed = task ? m_state.findWorker(task->worker) : nullptr;
    recordDecision("unknown run", taskName(reported.task), "stop",
        absl::StrCat("run=", reported.run, " worker=", worker.id, " serial=", session.serial, " born=", worker.born_ms,
            " placed_run=", task ? task->run : 0, " placed_on=", placed ? placed->worker.id : "none"));
}

/// Repeats failed stops, stops runs that must not continue, and moves tasks whose progress has stalled.
void Leader::checkRuns(WorkerSession& session)
{
    const auto now = m_clock.now();
    const auto* record = m_state.findWorker(session.serial);
    for (auto& [key, run] : session.runs) {
        if (run.stopWanted) {
            if (!run.stopInFlight && now - run.stopSentAt >= stopRetryDelay && run.phase != RunPhase::StopAcknowledged)
                stopRun(session, key, run);
            continue;
        }
        // Most runs need no more than this check, which is made often for each of them.
        if (!record->worker.draining && now - run.progressSince <= minStallTimeout)
            continue;
        const auto& step = *m_state.findJob(key.job)->steps[key.step];
        const bool mustMove = record->worker.draining && (step.checkpoints || step.long_running) && !step.gang;
        const auto stallTimeout
            = std::max<Duration>(minStallTimeout, stallTimeoutFactor * milliseconds(step.estimate_ms) / 100);
        const bool isStalled = session.synced && session.failedPolls == 0 && !step.long_running && !step.gang
            && run.phase == RunPhase::Running && run.progress < 100 && now - run.progressSince > stallTimeout;
        if (isStalled) {
            recordTaskFailure(session, key.job, 2);
            recordDecision(
                "stop", taskName(key), "stalled", absl::StrCat("progress=", run.progress, " run=", run.number));
        }
        if (mustMove || isStalled)
            stopRun(session, key, run);
    }
}

void Leader::recordOwnFailure(WorkerSession& session, double weight)
{
    m_lastFailureAt = m_clock.now();
    session.failures.record(weight, m_lastFailureAt);
}

/// Counts the failure of a task against its worker, unless the job fails on workers that are sound for other jobs.
void Leader::recordTaskFailure(WorkerSession& session, const std::string& job, double weight)
{
    const auto now = m_clock.now();
    const JobId id(job);
    const bool wasSuspect = m_taskHealth.isSuspect(id);
    m_taskHealth.taskFailed(session.healthId, id, now);
    if (!m_taskHealth.isSuspect(id)) {
        m_lastFailureAt = now;
        return session.failures.recordTask(job, weight, now);
    }
    if (wasSuspect)
        return;
    recordDecision("job", job, "fails everywhere");
    for (auto& [serial, other] : m_sessions)
        other.failures.forgetJob(job);
}

/// Halves the failure count, because tasks that fail on healthy workers must not exclude all workers.
void Leader::recordSuccess(WorkerSession& session, const std::string& job)
{
    m_taskHealth.taskSucceeded(session.healthId, JobId(job), m_clock.now());
    session.failures.recordSuccess(m_clock.now());
    session.lastSuccessAt = m_clock.now();
}

bool Leader::hasRecentSuccess(const WorkerSession& session) const
{
    return session.lastSuccessAt && m_clock.now() - *session.lastSuccessAt < recentSuccessWindow
        && *session.lastSuccessAt >= session.failures.lastAt();
}

/// `failures` is the current failure count of the worker.
Leader::Exclusion Leader::exclusionOf(const WorkerSession& session, double failures, TimePoint now) const
{
    if (!session.synced)
        return Exclusion::NotSynced;
    if (session.failedPolls > 0)
        return Exclusion::PollsFailed;
    if (session.leaving)
        return Exclusion::Leaving;
    if (session.replaced)
        return Exclusion::Replaced;
    if (session.removalProposed)
        return Exclusion::Removal;
    if (now < session.backoffUntil)
        return Exclusion::Pause;
    if (failures >= maxRecentFailures && failures > failureLimitOf(session))
        return Exclusion::Failures;
    return now - session.lastContactAt > silentIntervals * m_options.heartbeatInterval ? Exclusion::Silent
                                                                                       : Exclusion::None;
}

double Leader::failureLimitOf(const WorkerSession& session) const
{
    if (m_failureLimits.empty())
        return 0;
    const auto limit = m_failureLimits.find(m_state.findWorker(session.serial)->worker.service);
    return limit == m_failureLimits.end() ? 0 : limit->second;
}

/// Keeps most workers of each service in use, whatever fails. Those with the most failures are out of use first.
void Leader::updateFailureLimits()
{
    const auto now = m_clock.now();
    m_failureLimits.clear();
    if (now - m_lastFailureAt > maxTimeOutOfUse)
        return;
    std::map<std::string, std::vector<double>> failing;
    for (const auto& [serial, session] : m_sessions) {
        if (const auto failures = session.failures.value(now); failures >= maxRecentFailures)
            failing[m_state.findWorker(serial)->worker.service].push_back(failures);
    }
    for (auto& [service, failures] : failing) {
        const auto workers = std::ranges::count_if(
            m_state.workers(), [&name = service](const auto& entry) { return entry.second.worker.service == name; });
        const auto most = std::max<size_t>(1, static_cast<size_t>(maxFailingShare * static_cast<double>(workers)));
        if (failures.size() <= most)
            continue;
        std::ranges::nth_element(failures, failures.begin() + static_cast<std::ptrdiff_t>(most), std::greater<>());
        m_failureLimits[service] = failures[most];
    }
}

std::string_view Leader::nameOf(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "";
    case Exclusion::NotSynced:
        return "not synced";
    case Exclusion::PollsFailed:
        return "polls failed";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::Replaced:
        return "replaced";
    case Exclusion::Removal:
        return "removal";
    case Exclusion::Pause:
        return "pause";
    case Exclusion::Failures:
        return "failures";
    case Exclusion::Silent:
        break;
    }
    return "silent";
}

} // namespace turmericpier::cell
