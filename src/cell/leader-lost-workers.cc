#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Runs that end with their worker, and the tasks suspected of having crashed it.
namespace turmericpier::cell {

using record::EndKind;
using std::chrono::milliseconds;

namespace {
    // A run that has been at work for longer is not suspected while there are younger ones.
    constexpr milliseconds youngRunAge { 2'000 };
    // A task that lasts meets crashes that it has not caused. It is suspected only of those soon after its start.
    constexpr milliseconds maxSuspectedAgeOfLongRunning { 10'000 };
} // namespace

/// Appends the ends of all runs of a worker that is gone. If it has crashed, the suspected runs are those whose start
/// order it has not answered, else the young ones, else all but those that last.
void Leader::appendEndsOfLostRuns(record::CommandT& command, const WorkerSession& session, bool hasCrashed) const
{
    enum Suspicion { None, Weak, Young, Unanswered };
    const auto now = m_clock.now();
    const auto suspicionOf = [&](const TaskKey& key, const Run& run) {
        const auto& job = *m_state.findJob(key.job);
        if (job.state != record::JobState::Open || run.endProposed)
            return None;
        if (run.phase == RunPhase::Ordered || run.phase == RunPhase::InDoubt)
            return Unanswered;
        const auto age = now - run.startedAt;
        if (run.phase == RunPhase::Inherited || age <= youngRunAge)
            return Young;
        return job.steps[key.step]->long_running && age > maxSuspectedAgeOfLongRunning ? None : Weak;
    };
    auto strongest = None;
    if (hasCrashed) {
        for (const auto& [key, run] : session.runs)
            strongest = std::max(strongest, suspicionOf(key, run));
    }
    const auto isSuspected
        = [&](const auto& entry) { return strongest != None && suspicionOf(entry.first, entry.second) == strongest; };
    const auto suspects = std::ranges::count_if(session.runs, isSuspected);
    for (const auto& [key, run] : session.runs) {
        const bool isSuspect = isSuspected(std::pair<const TaskKey&, const Run&>(key, run));
        auto end
            = makeEnd(key, run.number, session.serial, isSuspect ? EndKind::Crashed : EndKind::Lapsed, run.checkpoint);
        end.sole_suspect = isSuspect && suspects == 1;
        command.ends.push_back(std::make_unique<record::EndT>(std::move(end)));
    }
    if (hasCrashed)
        recordDecision("worker", addressOf(session).id, "crashed",
            absl::StrCat("suspects=", suspects, " runs=", session.runs.size()));
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
