#include "cell/reply.h"
#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Runs that end with their worker, and the tasks suspected of having crashed it.
namespace turmericpier::cell {

using record::EndKind;
using std::chrono::milliseconds;

namespace {
    constexpr milliseconds youngRunAge { 1'000 };
    constexpr milliseconds heartbeatDelay { 500 }; // Heartbeats are as late as this without a reason.
    // A task that lasts meets crashes that it has not caused. It is suspected only of those soon after its start.
    constexpr milliseconds maxSuspectedAgeOfLongRunning { 10'000 };
    // Far longer than a worker takes to restart.
    constexpr milliseconds lostWorkerRetention { 60'000 };
} // namespace

/// An order without an answer may have been sent after the crash, unless the worker was heard of shortly before it and
/// nothing else was there.
Leader::Suspicion Leader::suspicionOf(const WorkerSession& session, const TaskKey& task, const Run& run) const
{
    const auto& job = *m_state.findJob(task.job);
    if (job.state != record::JobState::Open || run.endProposed || run.phase == RunPhase::Queued)
        return Suspicion::None;
    const auto silentBefore = run.startedAt - session.lastContactAt;
    if (!run.hasBegun && (session.runs.size() > 1 || silentBefore > m_options.heartbeatInterval + heartbeatDelay))
        return Suspicion::Unanswered;
    // A crash shows when the worker has restarted, which takes seconds.
    const auto crashedAt = session.failedPolls > 0 ? session.unreachableSince : m_clock.now();
    const auto age = crashedAt - run.startedAt;
    if (age <= youngRunAge || !run.hasBegun)
        return Suspicion::Young;
    return job.steps[task.step]->long_running && age > maxSuspectedAgeOfLongRunning ? Suspicion::None : Suspicion::Old;
}

/// Appends the ends of all runs of a worker that is gone. If it has crashed, the suspected ones end as Crashed.
void Leader::appendEndsOfLostRuns(record::CommandT& command, const WorkerSession& session, bool hasCrashed) const
{
    std::map<Suspicion, uint32_t> counts;
    for (const auto& [key, run] : session.runs)
        ++counts[suspicionOf(session, key, run)];
    auto suspects = counts[Suspicion::Young] + counts[Suspicion::Unanswered];
    const bool suspectsOld = suspects == 0;
    if (suspectsOld)
        suspects = counts[Suspicion::Old];
    for (const auto& [key, run] : session.runs) {
        const auto suspicion = suspicionOf(session, key, run);
        const bool isSuspect
            = hasCrashed && suspicion != Suspicion::None && (suspectsOld || suspicion != Suspicion::Old);
        auto end
            = makeEnd(key, run.number, session.serial, isSuspect ? EndKind::Crashed : EndKind::Lapsed, run.checkpoint);
        end.certain = isSuspect && suspicion != Suspicion::Unanswered;
        end.sole_suspect = isSuspect && suspects == 1;
        command.ends.push_back(std::make_unique<record::EndT>(std::move(end)));
    }
}

void Leader::logCrash(const std::string& worker, const record::CommandT& command) const
{
    const auto suspects
        = std::ranges::count_if(command.ends, [](const auto& end) { return end->how == EndKind::Crashed; });
    recordDecision("worker", worker, "crashed", absl::StrCat("suspects=", suspects, " runs=", command.ends.size()));
}

/// Returns true for a worker whose end is planned and therefore no crash.
bool Leader::hasAnnouncedEnd(const WorkerSession& session) const
{
    return session.leaving || m_state.findWorker(session.serial)->worker.draining;
}

/// Appends the ends of all runs of an incarnation that a later one has replaced. Unless it had announced its end, it
/// has crashed.
void Leader::appendEndsOfReplaced(record::CommandT& command, const WorkerRecord& earlier) const
{
    const auto session = m_sessions.find(earlier.worker.serial);
    if (session == m_sessions.end())
        return;
    const bool hasCrashed = !hasAnnouncedEnd(session->second);
    appendEndsOfLostRuns(command, session->second, hasCrashed);
    if (hasCrashed)
        logCrash(earlier.worker.id, command);
}

/// A worker whose leases are shorter than its restart is given up before a later incarnation shows the crash.
void Leader::rememberSuspects(const WorkerSession& session)
{
    const auto now = m_clock.now();
    std::erase_if(m_lostWorkers, [now](const auto& entry) { return now - entry.second.lostAt > lostWorkerRetention; });
    const auto& worker = m_state.findWorker(session.serial)->worker;
    LostWorker lost { worker.born_ms, now, {} };
    appendEndsOfLostRuns(lost.suspects, session, true);
    std::erase_if(lost.suspects.ends, [](const auto& end) { return end->how != EndKind::Crashed; });
    for (const auto& end : lost.suspects.ends)
        end->late = true;
    m_lostWorkers[worker.address] = std::move(lost);
}

void Leader::appendLateCrashes(record::CommandT& command, const record::WorkerT& worker)
{
    auto found = m_lostWorkers.extract(worker.address);
    if (found.empty() || found.mapped().bornMs >= worker.born_ms)
        return;
    for (auto& end : found.mapped().suspects.ends)
        command.ends.push_back(std::move(end));
    logCrash(worker.address, command);
}

/// `hasCrashed` says that a later incarnation has been seen.
void Leader::proposeRemoval(WorkerSession& session, bool hasCrashed)
{
    if (std::exchange(session.removalProposed, true))
        return;
    const auto& worker = m_state.findWorker(session.serial)->worker;
    record::CommandT command;
    const bool mayHaveCrashed = !hasAnnouncedEnd(session);
    appendEndsOfLostRuns(command, session, hasCrashed && mayHaveCrashed);
    if (hasCrashed && mayHaveCrashed)
        logCrash(worker.id, command);
    else if (mayHaveCrashed && session.refusesConnections)
        rememberSuspects(session);
    command.gone.push_back(session.serial);
    const auto sinceContact = std::chrono::duration_cast<milliseconds>(m_clock.now() - session.lastContactAt);
    recordDecision("worker", worker.id, "gone",
        absl::StrCat("runs=", session.runs.size(), " serial=", session.serial, " born=", worker.born_ms,
            " other_answers=", hasCrashed, " since_contact_ms=", sinceContact.count()));
    proposeExcessEnds(command);
    propose(command, [this, serial = session.serial, generation = m_generation](const absl::Status& status) {
        const auto found = m_sessions.find(serial);
        if (!status.ok() && generation == m_generation && found != m_sessions.end())
            found->second.removalProposed = false;
    });
}

void Leader::markReplaced(WorkerSession& session)
{
    // The clock of the later incarnation starts anew, so that it takes the lease of an order for its longest one.
    assumeLongestLease(session, Duration::zero());
    if (std::exchange(session.replaced, true))
        return;
    recordDecision("worker", addressOf(session).id, "replaced",
        absl::StrCat("runs=", session.runs.size(), " serial=", session.serial));
}

/// Returns true if a start order for `earlier` may have been accepted by `later`, an incarnation with the same id and
/// address.
bool Leader::mayHoldRunsOf(const WorkerRecord& earlier, const record::WorkerT& later) const
{
    const auto session = m_sessions.find(earlier.worker.serial);
    if (session == m_sessions.end() || earlier.worker.born_ms >= later.born_ms
        || earlier.worker.address != later.address)
        return false;
    return std::ranges::any_of(session->second.runs,
        [](const auto& entry) { return !entry.second.isListed && entry.second.phase != RunPhase::Queued; });
}

/// Holds a heartbeat back until the runs that its sender may hold are settled. Registering it ends the earlier
/// incarnation, whose tasks would start again.
void Leader::holdHeartbeat(WorkerSession& session, std::unique_ptr<record::CallT> call, Answer answer)
{
    markReplaced(session);
    auto& held = m_heldHeartbeats[session.serial];
    if (held.answer)
        held.answer(makeReply(record::Verdict::Unknown, "a later heartbeat has come"));
    held = { std::move(call), std::move(answer) };
    if (!session.pollInFlight)
        poll(session);
}

void Leader::releaseHeldHeartbeat(uint32_t serial)
{
    auto held = m_heldHeartbeats.extract(serial);
    if (held.empty())
        return;
    m_hooks.runAfter(Duration::zero(), [this, heartbeat = std::make_shared<HeldHeartbeat>(std::move(held.mapped()))] {
        handle(std::move(heartbeat->call), std::move(heartbeat->answer));
    });
}

/// Processes the answer of a later incarnation under the same id. The earlier one is removed once none of its runs can
/// exist at the later one.
void Leader::onSuccessorAnswer(WorkerSession& session, const PollAnswer& answer, TimePoint sentAt)
{
    markReplaced(session);
    bool settled = true;
    for (auto& [key, run] : session.runs) {
        if (!settleRun(session, key, run, answer, sentAt))
            settled = false;
    }
    PollAnswer failed;
    failed.result = settled ? OrderResult::OtherIncarnation : OrderResult::NoAnswer;
    onPollFailed(session, failed);
}

/// Returns true if the run neither exists at the later incarnation that has answered a poll nor can start there.
/// Otherwise takes over its end or stops it.
bool Leader::settleRun(
    WorkerSession& session, const TaskKey& task, Run& run, const PollAnswer& answer, TimePoint sentAt)
{
    if (run.isListed)
        return true;
    if (run.endProposed)
        return false;
    const auto isThisRun = [&](const auto& reported) { return reported.task == task && reported.run == run.number; };
    const auto ended = std::ranges::find_if(answer.ended, isThisRun);
    if (ended != answer.ended.end()) {
        run.endProposed = true;
        record::CommandT command;
        command.ends.push_back(
            std::make_unique<record::EndT>(makeEnd(task, run.number, session.serial, ended->how, ended->checkpoint)));
        proposeEnds(session.serial, std::move(command), 0);
        return false;
    }
    if (std::ranges::any_of(answer.running, isThisRun)) {
        run.hasBegun = true;
        if (run.phase == RunPhase::Ordered || run.phase == RunPhase::Inherited)
            run.phase = RunPhase::Running;
        stopRun(session, task, run);
        return false;
    }
    switch (run.phase) {
    case RunPhase::Queued:
        proposeNeverStarted(session, task, run);
        return false;
    case RunPhase::Ordered:
    case RunPhase::Stopping:
        return false; // The answer to the order decides.
    case RunPhase::InDoubt:
        stopRun(session, task, run);
        return false;
    case RunPhase::StopAcknowledged:
        if (sentAt >= run.phaseSince)
            proposeNeverStarted(session, task, run);
        return false;
    case RunPhase::Inherited:
    case RunPhase::Running:
        break;
    }
    return sentAt >= run.phaseSince;
}

} // namespace turmericpier::cell
