#include "turmericpier/base/log.h"
#include "turmericpier/cell/leader.h"

#include <algorithm>

/// Ends of runs on their way from the workers' lists to the log.
namespace turmericpier::cell {

using record::EndKind;

namespace {
    // Bytes of ends in one entry of the log, far below the largest entry.
    constexpr size_t maxEndsBytes = 512U << 10U;

    size_t estimateBytes(const record::EndT& end)
    {
        constexpr size_t fieldBytes = 96;
        return fieldBytes + end.job.size() + end.saved.size();
    }
} // namespace

void Leader::proposeNeverStarted(WorkerSession& session, const TaskKey& task, Run& run)
{
    if (std::exchange(run.endProposed, true))
        return;
    record::CommandT command;
    command.ends.push_back(std::make_unique<record::EndT>(
        makeEnd(task, run.number, session.serial, EndKind::NeverStarted, run.checkpoint)));
    proposeEnds(session.serial, std::move(command), 0);
}

void Leader::processEndedRuns(WorkerSession& session, const std::vector<EndedRun>& rows)
{
    auto inOrder = rows;
    std::ranges::sort(inOrder, {}, &EndedRun::number);
    record::CommandT command;
    const auto seenBefore = session.lastEndSeen;
    uint64_t last = seenBefore;
    size_t bytes = 0;
    for (const auto& reported : inOrder) {
        if (reported.number <= seenBefore)
            continue;
        last = reported.number;
        const auto found = session.runs.find(reported.task);
        if (found == session.runs.end() || found->second.number != reported.run)
            continue;
        found->second.endProposed = true;
        found->second.isListed = true;
        const auto& checkpoint = reported.checkpoint.empty() ? found->second.checkpoint : reported.checkpoint;
        command.ends.push_back(std::make_unique<record::EndT>(
            makeEnd(reported.task, reported.run, session.serial, reported.how, checkpoint)));
        bytes += estimateBytes(*command.ends.back());
        if (bytes < maxEndsBytes)
            continue;
        bytes = 0;
        session.lastEndSeen = last;
        proposeEnds(session.serial, std::exchange(command, {}), last);
    }
    if (!command.ends.empty()) {
        session.lastEndSeen = last;
        proposeEnds(session.serial, std::move(command), last);
    } else if (session.lastEndSeen == seenBefore && session.lastEndCommitted == seenBefore) {
        session.lastEndSeen = session.lastEndCommitted = last;
    } // Otherwise the ends that concern no run of the log are listed again once the ends before them are committed.
}

/// Collects ends until the events that wait for the thread are processed. A busy leader then proposes the ends of many
/// workers as one entry of the log, which costs each replica far less than an entry for each worker.
void Leader::proposeEnds(uint32_t serial, record::CommandT command, uint64_t lastEndCommitted)
{
    size_t bytes = 0;
    for (const auto& end : command.ends)
        bytes += estimateBytes(*end);
    if (m_endsBytes + bytes > maxEndsBytes)
        flushEnds();
    m_endsBytes += bytes;
    PendingEnds pending { serial, lastEndCommitted, {} };
    for (auto& end : command.ends) {
        pending.tasks.push_back(taskOf(*end));
        m_endsCommand.ends.push_back(std::move(end));
    }
    m_pendingEnds.push_back(std::move(pending));
    if (m_pendingEnds.size() > 1)
        return;
    m_hooks.runAfter(Duration::zero(), [this] { flushEnds(); });
}

void Leader::flushEnds()
{
    if (m_pendingEnds.empty())
        return;
    auto command = std::exchange(m_endsCommand, {});
    command.time_ms = cellTimeMs();
    m_endsBytes = 0;
    m_hooks.propose(command,
        [this, pending = std::exchange(m_pendingEnds, {}), generation = m_generation](const absl::Status& status) {
            if (generation != m_generation)
                return;
            for (const auto& ends : pending)
                onEndsCommitted(ends, status);
        });
}

void Leader::onEndsCommitted(const PendingEnds& ends, const absl::Status& status)
{
    const auto found = m_sessions.find(ends.serial);
    if (found == m_sessions.end())
        return;
    auto& session = found->second;
    if (status.ok()) {
        session.lastEndCommitted = std::max(session.lastEndCommitted, ends.lastEndCommitted);
        if (!session.pollInFlight && (session.replaced || session.lastEndCommitted > session.lastEndAcknowledged))
            poll(session);
        return;
    }
    logError("cell", "ends were not committed",
        { { "worker", addressOf(session).id }, { "message", std::string(status.message()) } });
    // The worker lists the ends again.
    session.lastEndSeen = session.lastEndCommitted;
    for (const auto& task : ends.tasks) {
        const auto found = session.runs.find(task);
        if (found == session.runs.end())
            continue;
        auto& run = found->second;
        run.endProposed = false;
        // No answer to an order follows that would settle the run, so a poll and a stop have to.
        if (run.phase == RunPhase::Ordered || run.phase == RunPhase::Queued) {
            run.phase = RunPhase::InDoubt;
            run.phaseSince = m_clock.now();
        }
    }
}

/// Proposes the ends of a command in entries of their own, as far as they exceed the size of one.
void Leader::proposeExcessEnds(record::CommandT& command)
{
    auto ends = std::exchange(command.ends, {});
    size_t bytes = 0;
    for (auto& end : ends) {
        bytes += estimateBytes(*end);
        command.ends.push_back(std::move(end));
        if (bytes < maxEndsBytes)
            continue;
        record::CommandT part;
        part.ends = std::exchange(command.ends, {});
        bytes = 0;
        propose(part, [](const absl::Status& status) {
            if (!status.ok())
                logError("cell", "ends were not committed", { { "message", std::string(status.message()) } });
        });
    }
}

} // namespace turmericpier::cell
