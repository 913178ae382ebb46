#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Gangs whose members have not all come together.
namespace turmericpier::cell {

using record::EndKind;

/// Stops the other members of a gang when one has ended without success, because they only work together. The gang can
/// then start again under one run number.
void Leader::stopGangs(const record::CommandT& command)
{
    std::set<RunKey> broken;
    for (const auto& end : command.ends) {
        const auto* job = m_state.findJob(end->job);
        if (end->how == EndKind::Done || !job || !job->steps[end->step]->gang)
            continue;
        const auto step = stepOf(taskOf(*end));
        broken.insert({ step, end->run });
        if (end->how != EndKind::Alone && end->how != EndKind::NeverStarted)
            continue;
        if (const auto delay = m_largeGangs.recordFailure(step, end->run, m_clock.now()))
            logDelayedGang(
                step, *delay, "incomplete", absl::StrCat("run=", end->run, " end=", record::EnumNameEndKind(end->how)));
    }
    for (const auto& [step, run] : broken)
        stopGang(step, run);
}

void Leader::stopGang(const StepKey& step, uint32_t run)
{
    for (auto& [serial, session] : m_sessions) {
        for (auto it = session.runs.lower_bound(step); it != session.runs.end() && isTaskOf(it->first, step); ++it) {
            if (it->second.number == run && !it->second.stopWanted)
                stopRun(session, it->first, it->second);
        }
    }
}

/// Stops the large gangs of which not all members could be ordered while the first ones wait for them.
void Leader::stopLateGangs()
{
    for (const auto& late : m_largeGangs.takeLate(m_clock.now())) {
        logDelayedGang(
            late.step, late.retryAfter, "not ordered in time", absl::StrCat("run=", late.run, " unsent=", late.unsent));
        stopGang(late.step, late.run);
    }
}

void Leader::logDelayedGang(
    const StepKey& step, Duration delay, std::string_view reason, const std::string& detail) const
{
    recordDecision("gang", stepName(step), reason,
        absl::StrCat(detail, " retry_after_ms=", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()));
}

/// Returns false while orders of a large gang wait to be sent. Those of another one would delay them.
bool Leader::maySendLargeGang() const
{
    return std::ranges::all_of(m_sessions, [](const auto& entry) { return entry.second.queuedGangStarts.empty(); });
}

} // namespace turmericpier::cell
