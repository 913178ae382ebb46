#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Start and stop orders to workers, and their answers.
namespace turmericpier::cell {

using std::chrono::milliseconds;

namespace {
    // Orders to one worker without an answer. The client sends about five at a time.
    constexpr uint32_t maxOrdersInFlight = 32;
    constexpr uint32_t maxQueuedStarts = 64;
    // After an order without an answer, other tasks are placed elsewhere until a repeated order can have been answered.
    constexpr milliseconds noAnswerBackoff { 400 };
    // Attempts of a start order while none is answered. More would delay the start on another worker.
    constexpr uint32_t maxStartAttempts = 3;
    constexpr milliseconds unhealthyBackoff { 1'500 };
} // namespace

/// Returns true for a member of a gang whose starts are recorded by workers.
bool Leader::isInLargeGang(const TaskKey& task) const
{
    const auto& step = *m_state.findJob(task.job)->steps[task.step];
    return step.gang && step.count > maxListedGang;
}

void Leader::queueStart(WorkerSession& session, const TaskKey& task, Run& run)
{
    run.phase = RunPhase::Queued;
    auto& queue = isInLargeGang(task) ? session.queuedGangStarts : session.queuedStarts;
    queue.push_back({ task, run.number });
}

void Leader::queueStop(WorkerSession& session, const TaskKey& task, uint32_t number)
{
    if (session.unansweredStops.insert({ task, number }).second)
        session.queuedStops.push_back({ task, number });
}

/// Sends as many queued orders as the worker may have without an answer. More would wait for the connections to the
/// worker until they are too old to be sent. Stops come first, because they free capacity.
void Leader::sendQueuedOrders(WorkerSession& session)
{
    if (std::exchange(session.isSendingOrders, true))
        return; // An order was answered at once.
    const auto takeFrom = [](std::deque<RunKey>& queue) {
        auto first = std::move(queue.front());
        queue.pop_front();
        return first;
    };
    while (session.ordersInFlight < maxOrdersInFlight) {
        if (!session.queuedStops.empty()) {
            const auto stop = takeFrom(session.queuedStops);
            sendStop(session, stop.task, stop.number);
            continue;
        }
        auto& starts = session.queuedStarts.empty() ? session.queuedGangStarts : session.queuedStarts;
        if (starts.empty())
            break;
        const auto start = takeFrom(starts);
        const auto found = session.runs.find(start.task);
        if (found == session.runs.end() || found->second.number != start.number
            || found->second.phase != RunPhase::Queued || found->second.endProposed)
            continue;
        // The task is no longer placed if another member of its gang has ended it.
        const auto* task = m_state.findTask(start.task);
        if (task && task->state == record::TaskState::Placed && task->run == start.number)
            sendStart(session, start.task, found->second);
        else
            proposeNeverStarted(session, start.task, found->second);
    }
    session.isSendingOrders = false;
}

/// Returns how many more starts may be queued for the worker. Beyond that tasks wait, or go to other workers.
uint32_t Leader::startRoomOf(const WorkerSession& session)
{
    const auto queued = static_cast<uint32_t>(session.queuedStarts.size());
    return maxQueuedStarts - std::min(maxQueuedStarts, queued);
}

void Leader::sendStart(WorkerSession& session, const TaskKey& task, Run& run)
{
    const auto until = leaseUntil(session);
    run.leaseUntilMs = until.value_or(0);
    run.phase = RunPhase::Ordered;
    run.phaseSince = run.startedAt = run.progressSince = m_clock.now();
    if (until && trySendStart(session, task, run))
        return m_largeGangs.recordSent(stepOf(task), run.number, m_clock.now());
    // No order was sent, so the run certainly never starts.
    m_startsRefused.increment();
    proposeNeverStarted(session, task, run);
}

/// Sends the start order for the first time or again; the worker treats a repeated order as the same run. It carries
/// the lease of the first one, because a later lease would postpone the moment at which an unreachable worker is given
/// up.
bool Leader::trySendStart(WorkerSession& session, const TaskKey& task, Run& run)
{
    const auto& job = *m_state.findJob(task.job);
    const auto* queue = m_state.findQueue(job.queue);
    const auto* ticket = m_tickets.ticketFor(stepOf(task), session.serial, m_clock.now());
    if (m_fenced || !m_hooks.holdsLease() || (queue && queue->advice && !ticket))
        return false;
    m_starts.increment();
    ++m_load.starts;
    ++run.startAttempts;
    ++session.ordersInFlight;
    const auto now = m_clock.now();
    StartOrder order { .task = task, .run = run.number, .spec = job.spec, .leaseUntilMs = run.leaseUntilMs };
    order.fencingToken = m_term;
    order.checkpoint = m_state.checkpointOf(task);
    if (ticket)
        order.ticket = *ticket;
    m_hooks.start(addressOf(session), order,
        [this, serial = session.serial, task, number = run.number, now, generation = m_generation](OrderAnswer answer) {
            const auto found = m_sessions.find(serial);
            if (generation != m_generation || found == m_sessions.end())
                return;
            --found->second.ordersInFlight;
            onStart(found->second, task, number, now, answer);
            sendQueuedOrders(found->second);
        });
    return true;
}

/// Marks a start as in doubt, since the run may begin at any time. A poll shows whether it exists, or a stop prevents
/// it.
void Leader::markStartInDoubt(WorkerSession& session, Run& run)
{
    if (run.phase == RunPhase::Ordered) {
        run.phase = RunPhase::InDoubt;
        run.phaseSince = m_clock.now();
    }
    recordOwnFailure(session, 1);
    if (!session.pollInFlight)
        poll(session);
}

void Leader::onStart(
    WorkerSession& session, const TaskKey& task, uint32_t number, TimePoint sentAt, const OrderAnswer& answer)
{
    m_startLatency.record(m_clock.now() - sentAt);
    ++m_load.startAnswers;
    m_load.startTime += m_clock.now() - sentAt;
    if (answer.clockMs)
        recordClock(session, *answer.clockMs, sentAt);
    const auto entry = session.runs.find(task);
    if (entry == session.runs.end() || entry->second.number != number)
        return;
    auto& run = entry->second;
    if (answer.result != OrderResult::Accepted) {
        m_startsRefused.increment();
        recordDecision("start", taskName(task), toString(answer.result),
            absl::StrCat("run=", number, " worker=", addressOf(session).id, " serial=", session.serial));
    }
    // The refusal of a repeated order says nothing about the orders before it, which may be carried out late or may
    // have run already.
    if (run.startAttempts > 1 && answer.result != OrderResult::Accepted && answer.result != OrderResult::Fenced
        && answer.result != OrderResult::NoAnswer)
        return markStartInDoubt(session, run);
    switch (answer.result) {
    case OrderResult::Accepted:
        session.lastContactAt = m_clock.now();
        run.hasBegun = true;
        if (run.phase == RunPhase::Ordered) {
            run.phase = RunPhase::Running;
            run.phaseSince = m_clock.now();
        }
        if (run.stopWanted)
            stopRun(session, task, run);
        if (!session.pollInFlight)
            poll(session);
        return;
    case OrderResult::Fenced:
        return onFenced(session);
    case OrderResult::NoAnswer:
        session.backoffUntil = std::max(session.backoffUntil, m_clock.now() + noAnswerBackoff);
        if (run.phase == RunPhase::Ordered && !run.stopWanted && !run.endProposed && !session.leaving
            && !session.replaced && run.startAttempts < maxStartAttempts && trySendStart(session, task, run))
            return;
        return markStartInDoubt(session, run);
    case OrderResult::NotSent:
        // The worker cannot be reached, or this process was suspended; another worker can run the task at once.
        session.backoffUntil = std::max(session.backoffUntil, m_clock.now() + noAnswerBackoff);
        proposeNeverStarted(session, task, run);
        if (!session.pollInFlight)
            poll(session);
        return;
    case OrderResult::OtherIncarnation:
        session.backoffUntil = m_clock.now() + unhealthyBackoff;
        proposeNeverStarted(session, task, run);
        if (!session.pollInFlight)
            poll(session); // Shows the later incarnation.
        return;
    case OrderResult::Unhealthy:
        recordOwnFailure(session, 1);
        session.backoffUntil = m_clock.now() + unhealthyBackoff;
        return proposeNeverStarted(session, task, run);
    case OrderResult::BadTicket:
        m_tickets.expire(stepOf(task), session.serial);
        return proposeNeverStarted(session, task, run);
    case OrderResult::NoRoom:
        recordOwnFailure(session, 1);
        return proposeNeverStarted(session, task, run);
    case OrderResult::ConnectionRefused:
        recordOwnFailure(session, 2);
        session.backoffUntil = m_clock.now() + unhealthyBackoff;
        return proposeNeverStarted(session, task, run);
    case OrderResult::Superseded:
    case OrderResult::TooLate:
    case OrderResult::Invalid:
        return proposeNeverStarted(session, task, run);
    }
}

/// Ends a run, and prevents it from starting if its order is still in flight.
void Leader::stopRun(WorkerSession& session, const TaskKey& task, Run& run)
{
    run.stopWanted = true;
    if (run.phase == RunPhase::Queued) // No order was sent.
        return proposeNeverStarted(session, task, run);
    // The worker may not know the run until the start order has arrived, so its answer is awaited first.
    if (run.phase == RunPhase::Ordered || run.endProposed || run.stopInFlight || m_fenced || !m_hooks.holdsLease())
        return;
    if (run.phase == RunPhase::InDoubt || run.phase == RunPhase::Running) {
        run.phase = RunPhase::Stopping;
        run.phaseSince = m_clock.now();
    }
    run.stopInFlight = true;
    run.stopSentAt = m_clock.now();
    queueStop(session, task, run.number);
    sendQueuedOrders(session);
}

void Leader::sendStop(WorkerSession& session, const TaskKey& task, uint32_t number)
{
    ++session.ordersInFlight;
    m_hooks.stop(addressOf(session), { task, number, m_term },
        [this, serial = session.serial, task, number, generation = m_generation](const OrderAnswer& answer) {
            const auto found = m_sessions.find(serial);
            if (generation != m_generation || found == m_sessions.end())
                return;
            --found->second.ordersInFlight;
            onStop(found->second, task, number, answer);
            sendQueuedOrders(found->second);
        });
}

void Leader::onStop(WorkerSession& session, const TaskKey& task, uint32_t number, const OrderAnswer& answer)
{
    session.unansweredStops.erase({ task, number });
    if (answer.result == OrderResult::Fenced)
        return onFenced(session);
    const auto entry = session.runs.find(task);
    if (entry == session.runs.end() || entry->second.number != number)
        return;
    auto& run = entry->second;
    run.stopInFlight = false;
    run.stopSentAt = m_clock.now();
    if (answer.result != OrderResult::Accepted && answer.result != OrderResult::Superseded)
        return recordDecision("stop", taskName(task), toString(answer.result), absl::StrCat("run=", number));
    run.phase = RunPhase::StopAcknowledged;
    run.phaseSince = m_clock.now();
    if (!session.pollInFlight)
        poll(session);
}

} // namespace turmericpier::cell
