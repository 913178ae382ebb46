#include "turmericpier/cell/leader.h"

#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

/// Orders to workers, their answers, and leases.
namespace turmericpier::cell {

using record::EndKind;
using std::chrono::milliseconds;

namespace {
    constexpr double clockError = 0.02; // Rate by which a worker's clock may be slow.
    // Longest wait of a look; workers accept up to 2,000 ms. A look that gets no answer hides the ends on that worker
    // for this long and a timeout more, while the shortest jobs have about two seconds.
    constexpr uint32_t lookWaitMs = 500;
    // Ends that fall together are taken in by one look.
    constexpr milliseconds lookPause { 30 };
    constexpr milliseconds lookRetry { 150 };
    constexpr milliseconds stopRetry { 100 }; // After an attempt without an answer.
    // After an order without an answer other tasks are placed elsewhere until a copy of it can have been answered.
    constexpr milliseconds silentPause { 400 };
    // Copies of a start order while none is answered. More would delay the start on another worker.
    constexpr uint32_t startCopies = 3;
    // A leader that was just elected may overlap with the orders of the one before for as long as its lease.
    constexpr milliseconds formerLeaderOrders { 1'000 };
    constexpr milliseconds unhealthyPause { 1'500 };
    // Failures of a worker are forgotten with this half-life.
    constexpr double failureHalfLifeS = 6;
    // A worker counts as sound for this long after a successful run, unless a later one has failed.
    constexpr milliseconds provenFor { 6'000 };
    // From this many recent failures on a worker gets no work while others can take it.
    constexpr double failuresToAvoid = 2.5;
    // A task whose progress stands still for this long, beside its expected time for a percent, is moved.
    constexpr milliseconds stallMin { 3'000 };
    constexpr int stallFactor = 10;
} // namespace

WorkerAddress Leader::addressOf(const Link& link) const
{
    const auto& worker = m_state.findWorker(link.serial)->worker;
    return { worker.id, worker.address };
}

record::EndT Leader::endOf(
    const TaskKey& task, uint32_t run, uint32_t serial, EndKind how, const std::string& checkpoint) const
{
    auto end = recordOf<record::EndT>(task, run, serial);
    end.how = how;
    end.saved = checkpoint;
    return end;
}

void Leader::refreshLinks()
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        if (m_state.findWorker(it->first)) {
            ++it;
            continue;
        }
        m_tickets.forgetWorker(it->first);
        it = m_links.erase(it);
    }
    for (const auto& [serial, worker] : m_state.workers()) {
        const auto [it, isNew] = m_links.try_emplace(serial);
        auto& link = it->second;
        if (!isNew) {
            if (worker.worker.draining)
                checkRuns(link);
            continue;
        }
        link.serial = serial;
        link.heardAt = m_clock.now();
        link.lookDue = m_clock.now();
        // A former leader may have given the longest lease at the last moment of its leadership.
        if (!worker.placed.empty()) {
            const auto longest = std::chrono::duration<double>(m_options.maxLease) / (1 - clockError);
            link.leaseEnd = m_clock.now() + std::chrono::duration_cast<Duration>(longest) + formerLeaderOrders;
        }
        adoptRuns(link, worker);
        look(link);
    }
}

void Leader::adoptRuns(Link& link, const WorkerRecord& worker)
{
    for (const auto& key : worker.placed) {
        const auto* task = m_state.findTask(key);
        Run run { .number = task->run, .phase = RunPhase::Inherited, .phaseSince = m_clock.now() };
        run.checkpoint = task->saved;
        run.progressSince = m_clock.now();
        run.stopWanted = m_state.findJob(key.job)->state != record::JobState::Open;
        link.runs.emplace(key, std::move(run));
    }
}

std::optional<int64_t> Leader::leaseUntil(Link& link)
{
    const auto now = m_clock.now();
    if (!link.clock || link.leaving || link.goneProposed)
        return std::nullopt;
    // The reading was taken between sending and receiving; counting from the receipt never gives too long a lease.
    const auto sinceReading = std::chrono::duration_cast<milliseconds>(now - link.clock->receivedAt).count();
    const auto until = link.clock->clockMs + sinceReading + m_options.lease.count();
    const auto longest = std::chrono::duration<double>(milliseconds(until - link.clock->clockMs)) / (1 - clockError);
    link.leaseEnd = std::max(link.leaseEnd, link.clock->receivedAt + std::chrono::duration_cast<Duration>(longest));
    return until;
}

void Leader::noteClock(Link& link, int64_t clockMs, TimePoint sentAt)
{
    if (!link.clock || sentAt >= link.clock->sentAt)
        link.clock = ClockReading { clockMs, sentAt, m_clock.now() };
}

void Leader::look(Link& link)
{
    if (link.lookInFlight || m_fenced || !m_hooks.holdsLease()) {
        link.lookDue = m_clock.now() + lookRetry;
        return;
    }
    const auto now = m_clock.now();
    PollOrder order { .fencingToken = m_term, .ackCursor = link.endsTaken };
    // After a failed look the lease is not renewed, because an unanswered renewal postpones the moment at which the
    // worker's tasks may be placed again.
    const bool calm = link.synced && link.silentLooks == 0;
    if (calm && !link.runs.empty())
        order.leaseUntilMs = leaseUntil(link);
    const bool endsUnread = link.endsSeen > link.endsTaken;
    if (calm && !endsUnread && !link.leaving && !link.runs.empty())
        order.waitMs = lookWaitMs;
    link.lookInFlight = true;
    link.endsAcknowledged = link.endsTaken;
    m_looks.increment();
    m_hooks.poll(
        addressOf(link), order, [this, serial = link.serial, generation = m_generation, now](PollAnswer answer) {
            onLook(serial, generation, now, std::move(answer));
        });
}

void Leader::onLook(uint32_t serial, uint64_t generation, TimePoint sentAt, PollAnswer answer)
{
    const auto found = m_links.find(serial);
    if (generation != m_generation || found == m_links.end())
        return;
    auto& link = found->second;
    link.lookInFlight = false;
    const auto& worker = m_state.findWorker(serial)->worker;
    if (answer.result == OrderResult::Accepted && answer.startedAtMs && *answer.startedAtMs != worker.born_ms)
        answer.result = OrderResult::OtherIncarnation;
    if (answer.result == OrderResult::Fenced)
        return fenced(link);
    if (answer.result != OrderResult::Accepted)
        return onSilence(link, answer);
    const auto now = m_clock.now();
    link.heardAt = now;
    if (link.silentLooks > 0)
        decide("worker", worker.id, "answers again", absl::StrCat("silent_looks=", link.silentLooks));
    link.silentLooks = 0;
    if (answer.clockMs)
        noteClock(link, *answer.clockMs, sentAt);
    readRunning(link, answer, sentAt);
    readEnded(link, answer.ended);
    if (!link.synced) {
        link.synced = true;
        wantPlan();
    }
    link.lookDue = now + lookPause;
    if (!link.lookInFlight && !link.runs.empty() && link.endsSeen == link.endsTaken) {
        m_hooks.after(lookPause, [this, serial, generation] {
            const auto again = m_links.find(serial);
            if (generation == m_generation && again != m_links.end() && !again->second.lookInFlight
                && again->second.synced && !again->second.runs.empty()
                && again->second.endsSeen == again->second.endsTaken)
                look(again->second);
        });
    }
}

void Leader::onSilence(Link& link, const PollAnswer& answer)
{
    const auto& worker = m_state.findWorker(link.serial)->worker;
    ++link.silentLooks;
    link.lookDue = m_clock.now() + lookRetry;
    if (link.silentLooks == 1) {
        decide("worker", worker.id, "look failed", std::string(toString(answer.result)));
        wantPlan();
    }
    // Another life at the address, or a closed port after the worker took its leave, shows that this life has ended.
    if (answer.result == OrderResult::OtherIncarnation
        || (answer.result == OrderResult::ConnectionRefused && link.leaving))
        proposeGone(link);
}

void Leader::proposeGone(Link& link)
{
    if (std::exchange(link.goneProposed, true))
        return;
    record::CommandT command;
    for (const auto& [key, run] : link.runs) {
        command.ends.push_back(
            std::make_unique<record::EndT>(endOf(key, run.number, link.serial, EndKind::Lapsed, run.checkpoint)));
    }
    command.gone.push_back(link.serial);
    decide("worker", m_state.findWorker(link.serial)->worker.id, "gone", absl::StrCat("runs=", link.runs.size()));
    m_hooks.propose(command, [this, serial = link.serial, generation = m_generation](const absl::Status& status) {
        const auto found = m_links.find(serial);
        if (!status.ok() && generation == m_generation && found != m_links.end())
            found->second.goneProposed = false;
    });
}

void Leader::fenced(const Link& link)
{
    if (m_fenced)
        return;
    m_fenced = true;
    logError("cell", "a worker has seen a higher fencing token; no orders until the next term",
        { { "worker", addressOf(link).id }, { "term", absl::StrCat(m_term) } });
}

void Leader::readRunning(Link& link, const PollAnswer& answer, TimePoint sentAt)
{
    const auto now = m_clock.now();
    std::set<TaskKey> listed;
    for (const auto& row : answer.running) {
        const auto found = link.runs.find(row.task);
        if (found == link.runs.end() || found->second.number != row.run) {
            // Not a run that this life holds by the log, such as one whose end or job is already forgotten.
            sendStop(link, row.task, row.run);
            continue;
        }
        listed.insert(row.task);
        auto& run = found->second;
        if (run.phase != RunPhase::Rejecting && run.phase != RunPhase::Rejected)
            run.phase = RunPhase::Running;
        if (!row.checkpoint.empty())
            run.checkpoint = row.checkpoint;
        if (row.progress != run.progress)
            run.progressSince = now;
        run.progress = row.progress;
    }
    for (const auto& row : answer.ended) {
        const auto found = link.runs.find(row.task);
        if (found != link.runs.end() && found->second.number == row.run)
            listed.insert(row.task);
    }
    settleMissing(link, listed, sentAt);
}

/// Deals with runs that a look listed neither as running nor as ended.
void Leader::settleMissing(Link& link, const std::set<TaskKey>& listed, TimePoint sentAt)
{
    for (auto& [key, run] : link.runs) {
        if (listed.contains(key) || run.endProposed || sentAt < run.phaseSince)
            continue;
        switch (run.phase) {
        case RunPhase::Ordered:
        case RunPhase::Rejecting:
            break; // The answer to the order tells.
        case RunPhase::Inherited: // This leader's token keeps the former leader's order from being carried out.
        case RunPhase::Rejected:
            neverStarted(link, key, run);
            break;
        case RunPhase::Running:
        case RunPhase::InDoubt:
            stopRun(link, key, run);
            break;
        }
    }
}

void Leader::neverStarted(Link& link, const TaskKey& task, Run& run)
{
    if (std::exchange(run.endProposed, true))
        return;
    record::CommandT command;
    command.ends.push_back(
        std::make_unique<record::EndT>(endOf(task, run.number, link.serial, EndKind::NeverStarted, run.checkpoint)));
    proposeEnds(link.serial, command, 0);
}

void Leader::readEnded(Link& link, const std::vector<EndedRow>& rows)
{
    record::CommandT command;
    uint64_t last = link.endsSeen;
    for (const auto& row : rows) {
        if (row.number <= link.endsSeen)
            continue;
        last = std::max(last, row.number);
        const auto found = link.runs.find(row.task);
        if (found == link.runs.end() || found->second.number != row.run)
            continue;
        found->second.endProposed = true;
        const auto& checkpoint = row.checkpoint.empty() ? found->second.checkpoint : row.checkpoint;
        command.ends.push_back(
            std::make_unique<record::EndT>(endOf(row.task, row.run, link.serial, row.how, checkpoint)));
    }
    if (last == link.endsSeen)
        return;
    link.endsSeen = last;
    if (command.ends.empty())
        link.endsTaken = last;
    else
        proposeEnds(link.serial, command, last);
}

void Leader::proposeEnds(uint32_t serial, const record::CommandT& command, uint64_t endsTaken)
{
    auto keys = std::make_shared<std::vector<TaskKey>>();
    for (const auto& end : command.ends)
        keys->push_back(taskOf(*end));
    m_hooks.propose(command, [this, serial, endsTaken, keys, generation = m_generation](const absl::Status& status) {
        const auto found = m_links.find(serial);
        if (generation != m_generation || found == m_links.end())
            return;
        auto& link = found->second;
        if (status.ok()) {
            link.endsTaken = std::max(link.endsTaken, endsTaken);
            if (!link.lookInFlight && link.endsTaken > link.endsAcknowledged)
                look(link);
            return;
        }
        logError("cell", "ends were not committed",
            { { "worker", addressOf(link).id }, { "message", std::string(status.message()) } });
        // The worker lists them again.
        link.endsSeen = link.endsTaken;
        for (const auto& key : *keys) {
            const auto run = link.runs.find(key);
            if (run != link.runs.end())
                run->second.endProposed = false;
        }
    });
}

void Leader::sendStart(Link& link, const TaskKey& task, Run& run)
{
    const auto until = leaseUntil(link);
    run.leaseUntilMs = until.value_or(0);
    if (until && trySendStart(link, task, run))
        return;
    // Nothing was sent yet, so that the run certainly never starts.
    m_startsRefused.increment();
    neverStarted(link, task, run);
}

/// Sends the order, or a copy of it, which the worker takes for the same run. A copy carries the lease of the first
/// one: a later lease would postpone the moment at which a worker that cannot be reached is given up.
bool Leader::trySendStart(Link& link, const TaskKey& task, Run& run)
{
    const auto& job = *m_state.findJob(task.job);
    const auto* queue = m_state.findQueue(job.queue);
    const auto* ticket = m_tickets.ticketFor(stepOf(task), link.serial, m_clock.now());
    if (m_fenced || !m_hooks.holdsLease() || (queue && queue->advice && !ticket))
        return false;
    m_starts.increment();
    ++run.startsSent;
    const auto now = m_clock.now();
    StartOrder order { .task = task, .run = run.number, .spec = job.spec, .leaseUntilMs = run.leaseUntilMs };
    order.fencingToken = m_term;
    order.checkpoint = m_state.findTask(task)->saved;
    if (ticket)
        order.ticket = *ticket;
    m_hooks.start(addressOf(link), order,
        [this, serial = link.serial, task, number = run.number, now, generation = m_generation](OrderAnswer answer) {
            if (generation == m_generation)
                onStart(serial, task, number, now, answer);
        });
    return true;
}

/// The run may start at any time: a look tells, or a stop keeps it from starting.
void Leader::doubtStart(Link& link, Run& run)
{
    if (run.phase == RunPhase::Ordered) {
        run.phase = RunPhase::InDoubt;
        run.phaseSince = m_clock.now();
    }
    noteFailure(link, 1);
    if (!link.lookInFlight)
        look(link);
}

void Leader::onStart(uint32_t serial, const TaskKey& task, uint32_t number, TimePoint sentAt, const OrderAnswer& answer)
{
    const auto found = m_links.find(serial);
    if (found == m_links.end())
        return;
    auto& link = found->second;
    if (answer.clockMs)
        noteClock(link, *answer.clockMs, sentAt);
    const auto entry = link.runs.find(task);
    if (entry == link.runs.end() || entry->second.number != number)
        return;
    auto& run = entry->second;
    if (answer.result != OrderResult::Accepted) {
        m_startsRefused.increment();
        decide("start", taskName(task), toString(answer.result),
            absl::StrCat("run=", number, " worker=", addressOf(link).id));
    }
    // A refusal of a copy says nothing about the copies before it, which may be carried out late or have run already.
    if (run.startsSent > 1 && answer.result != OrderResult::Accepted && answer.result != OrderResult::Fenced
        && answer.result != OrderResult::NoAnswer)
        return doubtStart(link, run);
    switch (answer.result) {
    case OrderResult::Accepted:
        link.heardAt = m_clock.now();
        if (run.phase == RunPhase::Ordered) {
            run.phase = RunPhase::Running;
            run.phaseSince = m_clock.now();
        }
        if (run.stopWanted)
            stopRun(link, task, run);
        if (!link.lookInFlight)
            look(link);
        return;
    case OrderResult::Fenced:
        return fenced(link);
    case OrderResult::NoAnswer:
        link.avoidUntil = std::max(link.avoidUntil, m_clock.now() + silentPause);
        if (run.phase == RunPhase::Ordered && !run.stopWanted && !run.endProposed && !link.leaving
            && run.startsSent < startCopies && trySendStart(link, task, run))
            return;
        return doubtStart(link, run);
    case OrderResult::OtherIncarnation:
        return doubtStart(link, run);
    case OrderResult::Unhealthy:
        noteFailure(link, 1);
        link.avoidUntil = m_clock.now() + unhealthyPause;
        return neverStarted(link, task, run);
    case OrderResult::BadTicket:
        m_tickets.expire(stepOf(task), serial);
        return neverStarted(link, task, run);
    case OrderResult::NoRoom:
        noteFailure(link, 1);
        return neverStarted(link, task, run);
    case OrderResult::ConnectionRefused:
        noteFailure(link, 2);
        link.avoidUntil = m_clock.now() + unhealthyPause;
        return neverStarted(link, task, run);
    case OrderResult::Superseded:
    case OrderResult::TooLate:
    case OrderResult::Invalid:
        return neverStarted(link, task, run);
    }
}

/// Ends a run, and keeps it from starting if its order is still under way.
void Leader::stopRun(Link& link, const TaskKey& task, Run& run)
{
    run.stopWanted = true;
    // The run may not be known to the worker before the order has arrived: its answer is awaited first.
    if (run.phase == RunPhase::Ordered || run.endProposed || run.stopInFlight || m_fenced || !m_hooks.holdsLease())
        return;
    if (run.phase == RunPhase::InDoubt || run.phase == RunPhase::Running) {
        run.phase = RunPhase::Rejecting;
        run.phaseSince = m_clock.now();
    }
    run.stopInFlight = true;
    run.stopSentAt = m_clock.now();
    sendStop(link, task, run.number);
}

void Leader::sendStop(Link& link, const TaskKey& task, uint32_t number)
{
    m_hooks.stop(addressOf(link), { task, number, m_term },
        [this, serial = link.serial, task, number, generation = m_generation](const OrderAnswer& answer) {
            const auto found = m_links.find(serial);
            if (generation != m_generation || found == m_links.end())
                return;
            auto& stopped = found->second;
            if (answer.result == OrderResult::Fenced)
                return fenced(stopped);
            const auto entry = stopped.runs.find(task);
            if (entry == stopped.runs.end() || entry->second.number != number)
                return;
            auto& run = entry->second;
            run.stopInFlight = false;
            run.stopSentAt = m_clock.now();
            if (answer.result != OrderResult::Accepted && answer.result != OrderResult::Superseded) {
                decide("stop", taskName(task), toString(answer.result), absl::StrCat("run=", number));
                return;
            }
            run.phase = RunPhase::Rejected;
            run.phaseSince = m_clock.now();
            if (!stopped.lookInFlight)
                look(stopped);
        });
}

/// Repeats stops that failed, stops what should not run on, and moves tasks whose progress stands still.
void Leader::checkRuns(Link& link)
{
    const auto now = m_clock.now();
    const auto* record = m_state.findWorker(link.serial);
    for (auto& [key, run] : link.runs) {
        const auto& job = *m_state.findJob(key.job);
        const auto& step = *job.steps[key.step];
        const bool isMoved = record->worker.draining && (step.checkpoints || step.long_running) && !step.gang;
        const auto patience = std::max<Duration>(stallMin, stallFactor * milliseconds(step.estimate_ms) / 100);
        const bool stalls = link.synced && link.silentLooks == 0 && !step.long_running && !step.gang
            && run.phase == RunPhase::Running && run.progress < 100 && now - run.progressSince > patience;
        if (stalls && !run.stopWanted) {
            noteFailure(link, 2);
            decide("stop", taskName(key), "stalled", absl::StrCat("progress=", run.progress, " run=", run.number));
        }
        const bool isFirst = (isMoved || stalls) && !run.stopWanted;
        const bool isRepeat = run.stopWanted && !run.stopInFlight && now - run.stopSentAt >= stopRetry
            && run.phase != RunPhase::Rejected;
        if (isFirst || isRepeat)
            stopRun(link, key, run);
    }
}

double Leader::failuresOf(const Link& link) const
{
    const auto seconds = std::chrono::duration<double>(m_clock.now() - link.failuresAt).count();
    return link.failures * std::exp2(-seconds / failureHalfLifeS);
}

void Leader::noteFailure(Link& link, double weight)
{
    link.failures = failuresOf(link) + weight;
    link.failuresAt = m_clock.now();
}

/// Halves the count, because tasks that fail on sound workers must not exclude all of them.
void Leader::noteSuccess(Link& link)
{
    link.failures = failuresOf(link) / 2;
    link.failuresAt = m_clock.now();
    link.succeededAt = m_clock.now();
}

bool Leader::isProven(const Link& link) const
{
    return link.succeededAt && m_clock.now() - *link.succeededAt < provenFor
        && (link.failures == 0 || *link.succeededAt >= link.failuresAt);
}

bool Leader::isUsable(const Link& link) const
{
    const auto now = m_clock.now();
    return link.synced && link.silentLooks == 0 && !link.leaving && !link.goneProposed && now >= link.avoidUntil
        && failuresOf(link) < failuresToAvoid && now - link.heardAt <= 3 * m_options.heartbeatInterval;
}

} // namespace turmericpier::cell
