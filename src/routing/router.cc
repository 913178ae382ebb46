#include "turmericpier/routing/router.h"

#include "routing/router-impl.h"

#include <boost/json.hpp>

namespace turmericpier::routing {

namespace {

    constexpr Duration minCommitResendInterval = std::chrono::milliseconds(20);
    constexpr Duration maxCommitResendInterval = std::chrono::milliseconds(500);
    constexpr Duration maxOrphanQueryInterval = std::chrono::seconds(5);
    // Age at which an orphan is dropped if its worker is not listed and the grant has expired. A worker that is listed
    // again earlier finds its slots still in use.
    constexpr Duration orphanRetention = std::chrono::minutes(10);
    constexpr size_t maxJoinedTickets = 16; // Resends of one key that wait for its first ticket.
    constexpr Duration rateWindow = std::chrono::seconds(1);

    /// False if either incarnation is not known.
    bool areKnownToDiffer(Incarnation a, Incarnation b) { return a.value != 0 && b.value != 0 && a != b; }

    /// True if the worker process that received the orphan has restarted, or if the worker is not listed, its grant has
    /// expired and the orphan is at least `orphanRetention` old.
    bool hasEnded(const Orphan& orphan, TimePoint now)
    {
        const Worker& worker = *orphan.reservation.worker;
        return areKnownToDiffer(worker.info.incarnation, orphan.reservation.incarnation)
            || (!worker.listed && worker.grant.expires <= now && now - orphan.since >= orphanRetention);
    }

} // namespace

Call* Router::Impl::find(Ticket ticket)
{
    const auto found = calls.find(ticket);
    return found == calls.end() ? nullptr : &found->second;
}

/// Returns the call of `ticket` if `attempt` is its current attempt and has been dispatched; otherwise null.
Call* Router::Impl::current(Ticket ticket, uint32_t attempt)
{
    Call* call = find(ticket);
    if (call == nullptr || call->attempt != attempt)
        return nullptr;
    return call->stage == Stage::Running || call->stage == Stage::Querying ? call : nullptr;
}

Actions Router::Impl::takeActions(TimePoint now)
{
    dispatchQueued(now);
    return std::exchange(actions, {});
}

void Router::Impl::recordResult(Call& call, Result result, TimePoint now)
{
    if (call.foreignClaim || std::exchange(call.resultRecorded, true))
        return;
    table.record(call.reservation, *call.service, result, now);
}

/// Returns false if no request of the same key is open. Otherwise attaches the ticket to that request, or replies at
/// once if that is not possible. A key that may still be running is never started again, because it could then run on
/// two workers at once.
bool Router::Impl::join(Ticket ticket, const Request& request)
{
    const auto [found, isNew] = openKeys.try_emplace(request.key, ticket);
    if (isNew)
        return false;
    ++counters.joined;
    Call* call = find(found->second);
    if (call != nullptr && call->joinedTickets.size() < maxJoinedTickets) {
        call->joinedTickets.push_back(ticket);
        call->cancelled = false; // The new caller still waits for the reply.
    } else {
        replyTo(ticket, Outcome::Unknown, call == nullptr ? "ENDED_BEFORE" : "TOO_MANY_RESENDS");
    }
    return true;
}

void Router::Impl::handleClaimResult(Call& call, const ClaimResult& result, TimePoint now)
{
    switch (result.code) {
    case ClaimResult::Code::Accepted:
        call.claimAttempt = call.attempt;
        if (call.cancelled || now >= call.request.deadline)
            return endWithoutRun(call, call.cancelled ? "CANCELLED" : "DEADLINE_EXCEEDED", now);
        if (call.reservation.worker != nullptr && table.mayDispatch(call.reservation, now))
            return dispatch(call, now);
        table.release(call.reservation, now); // The claim was never used; another worker needs a new one.
        return enqueue(call, now);
    case ClaimResult::Code::ClaimedBefore:
        table.release(call.reservation, now);
        call.attempt = result.attempt;
        call.target = result.worker;
        call.targetIncarnation = result.workerIncarnation;
        call.foreignClaim = true;
        return sendQuery(call, now);
    case ClaimResult::Code::EndedBefore:
        table.release(call.reservation, now);
        call.target = result.worker;
        if (result.outcome != Outcome::Ran || result.attempt == 0 || call.cancelled || now >= call.request.deadline)
            return reply(call, result.outcome, result.reason.empty() ? "ENDED_BEFORE" : result.reason, 0, now);
        call.attempt = result.attempt;
        call.targetIncarnation = result.workerIncarnation;
        call.foreignClaim = call.outcomeRecorded = true;
        return sendQuery(call, now);
    case ClaimResult::Code::Refused:
        if (!call.claimInDoubt)
            return endWithoutRun(call, "CLAIM_REFUSED", now);
        [[fallthrough]]; // Proves only that this send was not committed; an earlier one may have been.
    case ClaimResult::Code::Failed:
        call.claimInDoubt = true;
        call.resendInterval = call.resendInterval.count() == 0
            ? minCommitResendInterval
            : std::min<Duration>(maxCommitResendInterval, call.resendInterval * 2);
        return setTimer(call, now + call.resendInterval);
    }
}

void Router::Impl::handleAttemptFailure(Call& call, const AttemptFailure& failure, TimePoint now)
{
    recordResult(call, now >= call.request.deadline ? Result::Timeout : Result::Failure, now);
    if (failure.outcome == Outcome::NotRun)
        return retry(call, failure.reason.empty() ? "REFUSED" : failure.reason, now);
    call.ranProved = call.ranProved || failure.outcome == Outcome::Ran;
    if (call.stage == Stage::Running)
        sendQuery(call, now);
}

void Router::Impl::handleQueryResult(Call& call, QueryState state, Incarnation incarnation, TimePoint now)
{
    switch (state) {
    case QueryState::Running:
    case QueryState::Unreachable:
        return; // The timer repeats the query.
    case QueryState::Done:
        recordResult(call, Result::Success, now);
        if (call.outcomeRecorded)
            return reply(call, Outcome::Ran, {}, call.attempt, now);
        call.claimAttempt = call.requiresClaim ? call.attempt : 0;
        return finish(call, Outcome::Ran, {}, call.attempt, now);
    case QueryState::NotSeen:
        recordResult(call, Result::Failure, now);
        if (call.outcomeRecorded)
            return reply(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        if (call.ranProved)
            return finish(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        if (!areKnownToDiffer(call.targetIncarnation, incarnation))
            return handleFenced(call, now);
        // The worker process has restarted: the attempt is no longer running, but it may have run before the restart.
        call.mayHaveRun = true;
        table.release(call.reservation, now);
        if (call.request.nonRepeatable)
            return finish(call, Outcome::Unknown, "WORKER_RESTARTED", 0, now);
        return handleFenced(call, now);
    }
}

void Router::Impl::handleTimer(Call& call, TimePoint now)
{
    const bool late = now >= call.request.deadline;
    switch (call.stage) {
    case Stage::New:
        return;
    case Stage::Queued:
        return endWithoutRun(call, "DEADLINE_EXCEEDED", now);
    case Stage::Backoff:
        return late ? endWithoutRun(call, "DEADLINE_EXCEEDED", now) : enqueue(call, now);
    case Stage::Claiming:
        if (late) // Not dispatched, but NOT_RUN is proved only once the result of the claim is known.
            table.release(call.reservation, now);
        call.claimInDoubt = true;
        return sendClaim(call, now);
    case Stage::Running:
        if (!late)
            return hedge(call, now);
        recordResult(call, Result::Timeout, now);
        return sendQuery(call, now);
    case Stage::Querying:
        if (now < call.queryDeadline)
            return sendQuery(call, now);
        if (call.outcomeRecorded)
            return reply(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        return finish(call, call.ranProved ? Outcome::Ran : Outcome::Unknown,
            call.ranProved ? "ANSWER_LOST" : "DEADLINE_EXCEEDED", 0, now);
    case Stage::Committing:
        actions.emplace_back(call.commit);
        return setTimer(call, now + commitTimeout);
    }
}

void Router::Impl::handleOrphanTimer(std::pair<Ticket, uint32_t> id, TimePoint now)
{
    const auto found = orphans.find(id);
    if (found == orphans.end())
        return;
    Orphan& orphan = found->second;
    if (hasEnded(orphan, now))
        return releaseOrphan(id.first, id.second, now);
    ++counters.queried;
    actions.emplace_back(QueryWorker { id.first, id.second, orphan.worker, orphan.key });
    orphan.queryInterval = std::min<Duration>(maxOrphanQueryInterval, orphan.queryInterval * 2);
    setOrphanTimer(id, orphan, now + orphan.queryInterval);
}

void Router::Impl::updateArrivalRates(TimePoint now)
{
    if (now - rateWindowStart < rateWindow)
        return;
    const double seconds = std::chrono::duration<double>(now - rateWindowStart).count();
    for (const auto& [id, service] : table.services())
        service->arrivalsPerSecond = uint32_t(std::exchange(service->arrivals, 0) / seconds);
    rateWindowStart = now;
}

Router::Router(RouterOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

Router::~Router() = default;

void Router::setServices(std::vector<ServiceInfo> services) { m_impl->table.setServices(std::move(services)); }

Actions Router::setWorkers(std::vector<WorkerInfo> workers, TimePoint now)
{
    m_impl->table.setWorkers(std::move(workers), now);
    return m_impl->takeActions(now);
}

Actions Router::setGrants(std::vector<Grant> grants, TimePoint now)
{
    m_impl->table.setGrants(std::move(grants), now);
    return m_impl->takeActions(now);
}

Actions Router::submit(Ticket ticket, Request request, TimePoint now)
{
    ++m_impl->counters.submitted;
    if (m_impl->join(ticket, request))
        return m_impl->takeActions(now);
    Call& call = m_impl->calls[ticket];
    Service* service = m_impl->table.findService(request.service);
    call.service = service == nullptr ? &m_impl->unknownService : service;
    call.ticket = ticket;
    call.request = std::move(request);
    call.requiresClaim
        = call.request.nonRepeatable || (m_impl->options.mustClaim && m_impl->options.mustClaim(call.request));
    ++call.service->arrivals;
    m_impl->admit(call, now);
    return m_impl->takeActions(now);
}

Actions Router::claimCommitted(Ticket ticket, uint32_t attempt, const ClaimResult& result, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call != nullptr && call->stage == Stage::Claiming && call->attempt == attempt)
        m_impl->handleClaimResult(*call, result, now);
    else
        ++m_impl->counters.ignored;
    return m_impl->takeActions(now);
}

Actions Router::answered(Ticket ticket, uint32_t attempt, TimePoint now)
{
    Call* call = m_impl->current(ticket, attempt);
    if (call == nullptr || call->foreignClaim) {
        m_impl->releaseOrphan(ticket, attempt, now);
        return m_impl->takeActions(now);
    }
    call->service->observe(now - call->dispatchedAt);
    m_impl->recordResult(*call, Result::Success, now);
    call->claimAttempt = call->requiresClaim ? attempt : 0;
    m_impl->finish(*call, Outcome::Ran, {}, attempt, now);
    return m_impl->takeActions(now);
}

Actions Router::failed(Ticket ticket, uint32_t attempt, const AttemptFailure& failure, TimePoint now)
{
    Call* call = m_impl->current(ticket, attempt);
    if (call != nullptr && !call->foreignClaim)
        m_impl->handleAttemptFailure(*call, failure, now);
    else if (failure.outcome != Outcome::Unknown)
        m_impl->releaseOrphan(ticket, attempt, now);
    return m_impl->takeActions(now);
}

Actions Router::queried(Ticket ticket, uint32_t attempt, QueryState state, TimePoint now, Incarnation incarnation)
{
    if (Call* call = m_impl->current(ticket, attempt))
        m_impl->handleQueryResult(*call, state, incarnation, now);
    else if (state == QueryState::NotSeen || state == QueryState::Done)
        m_impl->releaseOrphan(ticket, attempt, now);
    return m_impl->takeActions(now);
}

Actions Router::outcomeCommitted(Ticket ticket, const OutcomeResult& result, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call == nullptr || call->stage != Stage::Committing)
        return m_impl->takeActions(now);
    const CommitOutcome& own = call->commit;
    switch (result.code) {
    case OutcomeResult::Code::Accepted:
        m_impl->reply(*call, own.outcome, own.reason, own.answeredAttempt, now);
        break;
    case OutcomeResult::Code::EndedBefore:
        // Never report NOT_RUN for a request that ran, even if the ledger records it. This can happen only if another
        // entry refused the same repeatable request, without a claim, in the meantime.
        if (own.outcome == Outcome::Ran && result.outcome == Outcome::NotRun)
            ++m_impl->counters.contradicted;
        if (result.outcome == own.outcome || (own.outcome == Outcome::Ran && result.outcome == Outcome::NotRun))
            m_impl->reply(*call, own.outcome, own.reason, own.answeredAttempt, now);
        else
            m_impl->reply(*call, result.outcome, result.reason.empty() ? "ENDED_BEFORE" : result.reason, 0, now);
        break;
    case OutcomeResult::Code::ClaimedBefore:
        m_impl->reply(*call, Outcome::Unknown, "CLAIMED_ELSEWHERE", 0, now);
        break;
    case OutcomeResult::Code::Failed:
        call->resendInterval = call->resendInterval.count() == 0
            ? minCommitResendInterval
            : std::min<Duration>(maxCommitResendInterval, call->resendInterval * 2);
        m_impl->setTimer(*call, now + call->resendInterval);
        break;
    }
    return m_impl->takeActions(now);
}

Actions Router::cancelled(Ticket ticket, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call == nullptr || !call->joinedTickets.empty()) // Another caller is waiting for the same key.
        return m_impl->takeActions(now);
    call->cancelled = true;
    if (call->stage == Stage::Queued || call->stage == Stage::Backoff)
        m_impl->endWithoutRun(*call, "CANCELLED", now);
    else if (call->stage == Stage::Claiming)
        m_impl->table.release(call->reservation, now);
    return m_impl->takeActions(now);
}

Actions Router::tick(TimePoint now)
{
    auto& timers = m_impl->timers;
    while (!timers.empty() && std::get<TimePoint>(*timers.begin()) <= now) {
        const auto [when, ticket, attempt] = *timers.begin();
        timers.erase(timers.begin());
        Call* call = attempt == 0 ? m_impl->find(ticket) : nullptr;
        if (call != nullptr) {
            call->timer = TimePoint();
            m_impl->handleTimer(*call, now);
        } else if (attempt != 0) {
            m_impl->handleOrphanTimer({ ticket, attempt }, now);
        }
    }
    if (now >= m_impl->nextSweep) {
        m_impl->nextSweep = now + WorkerTable::sweepInterval;
        m_impl->table.sweep(now);
        m_impl->updateArrivalRates(now);
    }
    return m_impl->takeActions(now);
}

void Router::beginDrain() { m_impl->draining = true; }

bool Router::isIdle() const { return m_impl->calls.empty(); }

std::vector<ServiceDemand> Router::demand() const
{
    std::vector<ServiceDemand> result;
    result.reserve(m_impl->table.services().size());
    for (const auto& [id, service] : m_impl->table.services())
        if (service->listed)
            result.push_back({ id, uint32_t(service->queue.size()) + service->backingOff, service->running,
                service->arrivalsPerSecond });
    return result;
}

std::vector<GrantUse> Router::grantUse() const
{
    std::vector<GrantUse> result;
    for (const auto& [id, worker] : m_impl->table.workers()) {
        bool currentSeen = false;
        for (const auto& [epoch, inUse] : worker->inUseByEpoch) {
            result.push_back({ id, epoch, inUse });
            currentSeen = currentSeen || epoch == worker->grant.epoch;
        }
        if (!currentSeen && worker->grant.slots > 0)
            result.push_back({ id, worker->grant.epoch, 0 });
    }
    return result;
}

std::string Router::dump() const
{
    const RouterCounters& counters = m_impl->counters;
    boost::json::object services;
    for (const auto& [id, service] : m_impl->table.services()) {
        boost::json::array ejected;
        for (const Worker* worker : service->ejected)
            ejected.emplace_back(worker->info.worker.str());
        services[id.str()] = { { "waiting", service->queue.size() }, { "backingOff", service->backingOff },
            { "running", service->running }, { "workers", service->memberCount() }, { "ejected", std::move(ejected) },
            { "serviceTimeUs", service->serviceTime.count() / 1'000 }, { "retryTokens", service->retries.tokens() },
            { "paidLinkTokens", service->paidLink.tokens() } };
    }
    const boost::json::object object { { "draining", m_impl->draining }, { "requests", m_impl->calls.size() },
        { "orphans", m_impl->orphans.size() }, { "submitted", counters.submitted }, { "refused", counters.refused },
        { "dispatched", counters.dispatched }, { "retried", counters.retried }, { "queried", counters.queried },
        { "unknown", counters.unknown }, { "ignored", counters.ignored }, { "joined", counters.joined },
        { "contradicted", counters.contradicted }, { "services", services } };
    return boost::json::serialize(object);
}

} // namespace turmericpier::routing
