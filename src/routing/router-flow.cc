#include "routing/router-impl.h"

namespace turmericpier::routing {

namespace {

    // Backoff between resent queries. It starts low because most faults are short.
    constexpr Duration minResendInterval = std::chrono::milliseconds(20);
    constexpr Duration maxResendInterval = std::chrono::milliseconds(500);
    constexpr Duration minOrphanQueryInterval = std::chrono::milliseconds(100);
    constexpr int hedgeFactor = 3; // A slow attempt is queried after this many mean service times.
    constexpr Duration minHedgeDelay = std::chrono::milliseconds(10);

    absl::StatusCode statusCodeFor(Outcome outcome, std::string_view reason)
    {
        if (reason.starts_with("DEADLINE"))
            return absl::StatusCode::kDeadlineExceeded;
        if (reason == "CANCELLED")
            return absl::StatusCode::kCancelled;
        if (reason == "QUEUE_FULL")
            return absl::StatusCode::kResourceExhausted;
        if (outcome == Outcome::Ran)
            return absl::StatusCode::kDataLoss;
        return outcome == Outcome::NotRun ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown;
    }

    absl::Status makeStatus(Outcome outcome, std::string_view reason, const std::string& peer)
    {
        const std::string_view step = peer.empty() ? "admit" : "dispatch";
        return makeError({ statusCodeFor(outcome, reason), outcome, std::string(reason), std::string(step), peer },
            "request ended " + std::string(toString(outcome)) + " without an answer: " + std::string(reason));
    }

} // namespace

Router::Impl::Impl(RouterOptions routerOptions)
    : options(std::move(routerOptions))
    , table(options)
    , random(options.seed)
{
}

void Router::Impl::setStage(Call& call, Stage stage)
{
    Service& service = *call.service;
    const auto isRunning = [](Stage s) { return s == Stage::Claiming || s == Stage::Running || s == Stage::Querying; };
    if (call.stage == Stage::Queued)
        service.queue.erase(call.request.deadline, call.ticket);
    service.backingOff -= call.stage == Stage::Backoff ? 1 : 0;
    service.running -= isRunning(call.stage) ? 1 : 0;
    call.stage = stage;
    call.resendInterval = Duration(0);
    service.backingOff += stage == Stage::Backoff ? 1 : 0;
    service.running += isRunning(stage) ? 1 : 0;
    if (stage == Stage::Queued)
        service.queue.insert(call.request.deadline, call.ticket);
}

void Router::Impl::setTimer(Call& call, TimePoint when)
{
    if (call.timer != TimePoint())
        timers.erase({ call.timer, call.ticket, 0 });
    call.timer = when;
    if (when != TimePoint())
        timers.insert({ when, call.ticket, 0 });
}

void Router::Impl::admit(Call& call, TimePoint now)
{
    Service& service = *call.service;
    if (!service.listed)
        return endWithoutRun(call, "UNKNOWN_SERVICE", now);
    if (draining)
        return endWithoutRun(call, "DRAINING", now);
    if (now >= call.request.deadline)
        return endWithoutRun(call, "DEADLINE_EXCEEDED", now);
    if (service.queue.size() + service.backingOff >= service.info.queueLimit)
        return endWithoutRun(call, "QUEUE_FULL", now);
    service.retries.deposit(service.info.retryBudgetPercent);
    service.paidLink.deposit(service.hasLocalMember() ? options.paidLinkPercent : options.paidLinkOutagePercent);
    enqueue(call, now);
    dispatchQueued(now);
    if (call.stage == Stage::Queued
        && willMissDeadline(call, service.queue.rank(call.request.deadline, call.ticket), now))
        endWithoutRun(call, "DEADLINE_CANNOT_BE_MET", now);
}

void Router::Impl::enqueue(Call& call, TimePoint now)
{
    setStage(call, Stage::Queued);
    setTimer(call, std::max(call.request.deadline, now));
    table.markDirty(*call.service);
}

bool Router::Impl::willMissDeadline(const Call& call, size_t rank, TimePoint now) const
{
    return now + call.service->estimate(rank) > call.request.deadline;
}

/// Dispatches the waiting requests of all dirty services: those that gained a request, a worker or a slot.
void Router::Impl::dispatchQueued(TimePoint now)
{
    for (auto dirty = table.takeDirty(); !dirty.empty(); dirty = table.takeDirty()) {
        for (Service* service : dirty) {
            service->dirty = false;
            while (!service->queue.empty()) {
                Call& call = calls.find(service->queue.front())->second;
                // A request that cannot finish in time is dropped only if another one waits behind it. Without one the
                // estimate may be outdated, and dispatching the request costs nothing.
                const bool yieldsToNext
                    = service->queue.size() > 1 && now + service->serviceTime > call.request.deadline;
                if (now >= call.request.deadline || yieldsToNext) {
                    endWithoutRun(call, yieldsToNext ? "DEADLINE_CANNOT_BE_MET" : "DEADLINE_EXCEEDED", now);
                    continue;
                }
                Worker* worker = table.selectWorker(*service, !call.request.nonRepeatable, call.triedWorkers, now);
                if (worker == nullptr)
                    break;
                startAttempt(call, *worker, now);
            }
        }
    }
}

void Router::Impl::startAttempt(Call& call, Worker& worker, TimePoint now)
{
    call.reservation = table.reserve(worker, now);
    call.target = worker.info.worker;
    call.targetIncarnation = worker.info.incarnation;
    call.resultRecorded = false;
    ++call.attempt;
    if (!call.requiresClaim)
        return dispatch(call, now);
    setStage(call, Stage::Claiming);
    call.claimInDoubt = false;
    sendClaim(call, now);
}

void Router::Impl::sendClaim(Call& call, TimePoint now)
{
    actions.emplace_back(CommitClaim { call.ticket, call.attempt, call.target, call.targetIncarnation });
    const TimePoint resend = now + commitTimeout;
    setTimer(call, call.reservation.worker != nullptr ? std::min(resend, call.request.deadline) : resend);
}

void Router::Impl::dispatch(Call& call, TimePoint now)
{
    table.refreshEpoch(call.reservation);
    setStage(call, Stage::Running);
    ++call.dispatches;
    ++counters.dispatched;
    call.dispatchedAt = now;
    call.triedWorkers.push_back(call.reservation.worker);
    TimePoint timerAt = call.request.deadline;
    if (options.mayHedge && !call.request.nonRepeatable && call.service->serviceTime.count() > 0
        && options.mayHedge(call.request))
        timerAt = std::min(timerAt, now + std::max<Duration>(minHedgeDelay, call.service->serviceTime * hedgeFactor));
    setTimer(call, timerAt);
    actions.emplace_back(Dispatch { call.ticket, call.attempt, call.target, call.reservation.epoch,
        call.request.deadline - now, call.targetIncarnation });
}

/// Queries the worker of a slow attempt. Another attempt is started only if the worker has not seen this one, because
/// the query then fences it. A retry token is reserved first: otherwise the query could fence the only attempt that the
/// request can make.
void Router::Impl::hedge(Call& call, TimePoint now)
{
    setTimer(call, std::max(call.request.deadline, now));
    if (call.hedged || call.cancelled || call.dispatches >= options.maxAttempts || !call.service->retries.tryTake())
        return;
    call.hedged = true;
    ++counters.queried;
    actions.emplace_back(QueryWorker { call.ticket, call.attempt, call.target, call.request.key });
}

void Router::Impl::sendQuery(Call& call, TimePoint now)
{
    if (call.stage != Stage::Querying) {
        setStage(call, Stage::Querying);
        call.queryDeadline = std::max(call.request.deadline, now) + options.resolveGrace;
    }
    ++counters.queried;
    actions.emplace_back(QueryWorker { call.ticket, call.attempt, call.target, call.request.key });
    call.resendInterval = call.resendInterval.count() == 0
        ? minResendInterval
        : std::min<Duration>(maxResendInterval, call.resendInterval * 2);
    setTimer(call, std::max(now + Duration(1), std::min(call.queryDeadline, now + call.resendInterval)));
}

Duration Router::Impl::backoff(uint32_t retries)
{
    constexpr uint32_t maxDoublings = 20;
    const Duration whole
        = std::min<Duration>(options.backoffMax, options.backoffBase * (1LL << std::min(retries, maxDoublings)));
    // Half of the delay is jitter, so that requests that failed together are not retried together.
    return whole / 2 + Duration(int64_t(random() % uint64_t(std::max<int64_t>(1, whole.count() / 2))));
}

/// Schedules a retry, or ends the request if none is allowed. The current attempt must have ended without an answer.
void Router::Impl::retry(Call& call, std::string_view reason, TimePoint now)
{
    table.release(call.reservation, now);
    call.claimAttempt = call.requiresClaim ? call.attempt : 0;
    if (call.cancelled || now >= call.request.deadline || call.dispatches >= options.maxAttempts)
        return endWithoutRun(call, reason, now);
    const bool hasRetryToken = std::exchange(call.hedged, false);
    if (!hasRetryToken && !call.service->retries.tryTake())
        return endWithoutRun(call, "RETRY_BUDGET_EXHAUSTED", now);
    ++counters.retried;
    if (hasRetryToken)
        return enqueue(call, now);
    setStage(call, Stage::Backoff);
    setTimer(call, std::min(call.request.deadline, now + backoff(call.dispatches - 1)));
}

/// Handles an attempt that its worker had not seen when it was queried, and refuses from now on.
void Router::Impl::handleFenced(Call& call, TimePoint now)
{
    if (!call.foreignClaim)
        return retry(call, "FENCED", now);
    call.foreignClaim = false;
    call.claimAttempt = call.attempt;
    if (call.cancelled || now >= call.request.deadline || ++call.fencedClaims > options.maxAttempts)
        return endWithoutRun(call, "CLAIM_CONTENDED", now);
    enqueue(call, now);
}

/// Ends a request of which no attempt is running. The outcome is NOT_RUN if no attempt can have run, else UNKNOWN.
void Router::Impl::endWithoutRun(Call& call, std::string_view reason, TimePoint now)
{
    table.release(call.reservation, now);
    counters.refused += call.dispatches == 0 ? 1 : 0;
    finish(call, call.mayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason, 0, now);
}

/// Commits the outcome of the request; the reply follows the commit. A slot that may still be in use goes to an orphan.
void Router::Impl::finish(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now)
{
    if (call.reservation.worker != nullptr && outcome == Outcome::Unknown)
        makeOrphan(call, now);
    table.release(call.reservation, now);
    if (std::exchange(call.hedged, false))
        call.service->retries.refund();
    counters.unknown += outcome == Outcome::Unknown ? 1 : 0;
    setStage(call, Stage::Committing);
    call.commit = CommitOutcome { call.ticket, outcome, std::string(reason),
        outcome == Outcome::NotRun ? WorkerId() : call.target, answeredAttempt, call.dispatches, call.claimAttempt };
    actions.emplace_back(call.commit);
    setTimer(call, now + commitTimeout);
}

void Router::Impl::replyTo(Ticket ticket, Outcome outcome, std::string_view reason)
{
    actions.emplace_back(Reply { ticket, makeStatus(outcome, reason, {}) });
}

/// Replies to the ticket and to the later submits of its key, and forgets the call.
void Router::Impl::reply(Call& call, Outcome outcome, std::string_view reason, uint32_t answeredAttempt, TimePoint now)
{
    table.release(call.reservation, now);
    setStage(call, Stage::New);
    setTimer(call, TimePoint());
    const bool answer = outcome == Outcome::Ran && answeredAttempt != 0;
    const WorkerId worker = outcome == Outcome::NotRun ? WorkerId() : call.target;
    Reply reply { call.ticket, answer ? absl::OkStatus() : makeStatus(outcome, reason, worker.str()), worker,
        answer ? answeredAttempt : 0, call.dispatches, call.ticket };
    for (const Ticket joinedTicket : call.joinedTickets) {
        actions.emplace_back(reply);
        std::get<Reply>(actions.back()).ticket = joinedTicket;
    }
    actions.emplace_back(std::move(reply));
    if (!orphans.contains({ call.ticket, call.attempt }))
        openKeys.erase(call.request.key);
    calls.erase(call.ticket);
}

void Router::Impl::makeOrphan(Call& call, TimePoint now)
{
    const std::pair id(call.ticket, call.attempt);
    Orphan& orphan = orphans[id];
    orphan.reservation = std::exchange(call.reservation, {});
    orphan.worker = call.target;
    orphan.key = call.request.key;
    orphan.queryInterval = minOrphanQueryInterval;
    orphan.since = now;
    setOrphanTimer(id, orphan, now + orphan.queryInterval);
}

void Router::Impl::setOrphanTimer(std::pair<Ticket, uint32_t> id, Orphan& orphan, TimePoint when)
{
    if (orphan.timer != TimePoint())
        timers.erase({ orphan.timer, id.first, id.second });
    orphan.timer = when;
    if (when != TimePoint())
        timers.insert({ when, id.first, id.second });
}

/// Releases the slot of an orphan after its worker has reported the end of the attempt.
void Router::Impl::releaseOrphan(Ticket ticket, uint32_t attempt, TimePoint now)
{
    const auto found = orphans.find({ ticket, attempt });
    if (found == orphans.end()) {
        ++counters.ignored;
        return;
    }
    setOrphanTimer(found->first, found->second, TimePoint());
    table.release(found->second.reservation, now);
    if (!calls.contains(ticket))
        openKeys.erase(found->second.key);
    orphans.erase(found);
}

} // namespace turmericpier::routing
