#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Runs that end with their worker, and the tasks suspected of having crashed it.
namespace turmericpier::cell {

using record::EndKind;
using std::chrono::milliseconds;

namespace {
    constexpr milliseconds youngRunAge { 1'000 };
    // A task that lasts meets crashes that it has not caused. It is suspected only of those soon after its start.
    constexpr milliseconds maxSuspectedAgeOfLongRunning { 10'000 };
} // namespace

/// An order without an answer may have been sent after the crash, unless nothing else was on the worker.
Leader::Suspicion Leader::suspicionOf(const WorkerSession& session, const TaskKey& task, const Run& run) const
{
    const auto& job = *m_state.findJob(task.job);
    if (job.state != record::JobState::Open || run.endProposed)
        return Suspicion::None;
    if (!run.hasBegun && session.runs.size() > 1)
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
    if (hasCrashed)
        recordDecision("worker", addressOf(session).id, "crashed",
            absl::StrCat(
                "suspects=", suspects, " unanswered=", counts[Suspicion::Unanswered], " runs=", session.runs.size()));
}

/// Appends the ends of all runs of an incarnation that a later one has replaced. Unless it had announced its end, it
/// has crashed.
void Leader::appendEndsOfReplaced(record::CommandT& command, const WorkerRecord& earlier) const
{
    const auto session = m_sessions.find(earlier.worker.serial);
    if (session != m_sessions.end())
        appendEndsOfLostRuns(command, session->second, !session->second.leaving && !earlier.worker.draining);
}

/// `hasCrashed` says that a later incarnation has been seen.
void Leader::proposeRemoval(WorkerSession& session, bool hasCrashed)
{
    if (std::exchange(session.removalProposed, true))
        return;
    const auto& worker = m_state.findWorker(session.serial)->worker;
    record::CommandT command;
    appendEndsOfLostRuns(command, session, hasCrashed && !session.leaving && !worker.draining);
    command.gone.push_back(session.serial);
    recordDecision("worker", worker.id, "gone", absl::StrCat("runs=", session.runs.size()));
    propose(command, [this, serial = session.serial, generation = m_generation](const absl::Status& status) {
        const auto found = m_sessions.find(serial);
        if (!status.ok() && generation == m_generation && found != m_sessions.end())
            found->second.removalProposed = false;
    });
}

} // namespace turmericpier::cell
