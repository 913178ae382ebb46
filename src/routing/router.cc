#include "turmericpier/routing/router.h"

#include "routing/router-impl.h"

#include <boost/json.hpp>

namespace turmericpier::routing {

namespace {

    constexpr Duration firstCommitResend = std::chrono::milliseconds(20);
    constexpr Duration lastCommitResend = std::chrono::milliseconds(500);
    constexpr Duration lastOrphanQuery = std::chrono::seconds(5);
    // A worker that is listed again within this time finds its slots still in use.
    constexpr Duration goneWorkerMemory = std::chrono::minutes(10);
    constexpr size_t maxFollowers = 16; // Resends of one key that wait for its first ticket.
    constexpr Duration rateWindow = std::chrono::seconds(1);

    bool differ(Incarnation a, Incarnation b) { return a.value != 0 && b.value != 0 && a != b; }

    /// True if the process that took the orphan cannot run it any more, or has been gone for long.
    bool isEnded(const Orphan& orphan, TimePoint now)
    {
        const Worker& worker = *orphan.hold.worker;
        return differ(worker.info.incarnation, orphan.hold.incarnation)
            || (!worker.listed && worker.grant.expires <= now && now - orphan.since >= goneWorkerMemory);
    }

} // namespace

Call* Router::Impl::find(Ticket ticket)
{
    const auto found = calls.find(ticket);
    return found == calls.end() ? nullptr : &found->second;
}

/// The call of `ticket` if `attempt` is its current one and is with a worker.
Call* Router::Impl::current(Ticket ticket, uint32_t attempt)
{
    Call* call = find(ticket);
    if (call == nullptr || call->attempt != attempt)
        return nullptr;
    return call->stage == Stage::Running || call->stage == Stage::Querying ? call : nullptr;
}

Actions Router::Impl::take(TimePoint now)
{
    pump(now);
    return std::exchange(actions, {});
}

void Router::Impl::recordResult(Call& call, Result result, TimePoint now)
{
    if (call.foreign || std::exchange(call.resultRecorded, true))
        return;
    table.record(call.hold, *call.service, result, now);
}

/// A key that is open or may still be running is not started again: it could run on two workers at once.
bool Router::Impl::join(Ticket ticket, const Request& request)
{
    const auto [found, isNew] = openKeys.try_emplace(request.key, ticket);
    if (isNew)
        return false;
    ++counters.joined;
    Call* call = find(found->second);
    if (call != nullptr && call->followers.size() < maxFollowers) {
        call->followers.push_back(ticket);
        call->cancelled = false; // The new caller waits for it.
    } else {
        replyTo(ticket, Outcome::Unknown, call == nullptr ? "ENDED_BEFORE" : "TOO_MANY_RESENDS");
    }
    return true;
}

void Router::Impl::claimResult(Call& call, const ClaimResult& result, TimePoint now)
{
    switch (result.code) {
    case ClaimResult::Code::Accepted:
        call.claimAttempt = call.attempt;
        if (call.cancelled || now >= call.request.deadline)
            return endWithoutRun(call, call.cancelled ? "CANCELLED" : "DEADLINE_EXCEEDED", now);
        if (call.hold.worker != nullptr && table.mayUse(call.hold, now))
            return dispatch(call, now);
        table.release(call.hold, now); // Never dispatched: another worker needs a new claim.
        return enqueue(call, now);
    case ClaimResult::Code::ClaimedBefore:
        table.release(call.hold, now);
        call.attempt = result.attempt;
        call.target = result.worker;
        call.targetIncarnation = result.workerIncarnation;
        call.foreign = true;
        return query(call, now);
    case ClaimResult::Code::EndedBefore:
        table.release(call.hold, now);
        call.target = result.worker;
        if (result.outcome != Outcome::Ran || result.attempt == 0 || call.cancelled || now >= call.request.deadline)
            return reply(call, result.outcome, result.reason.empty() ? "ENDED_BEFORE" : result.reason, 0, now);
        call.attempt = result.attempt;
        call.targetIncarnation = result.workerIncarnation;
        call.foreign = call.standing = true;
        return query(call, now);
    case ClaimResult::Code::Refused:
        if (!call.claimInDoubt)
            return endWithoutRun(call, "CLAIM_REFUSED", now);
        [[fallthrough]]; // Only this sending is proved not to be committed; an earlier one may be.
    case ClaimResult::Code::Failed:
        call.claimInDoubt = true;
        call.interval
            = call.interval.count() == 0 ? firstCommitResend : std::min<Duration>(lastCommitResend, call.interval * 2);
        return setTimer(call, now + call.interval);
    }
}

void Router::Impl::attemptFailed(Call& call, const AttemptFailure& failure, TimePoint now)
{
    recordResult(call, now >= call.request.deadline ? Result::Timeout : Result::Failure, now);
    if (failure.outcome == Outcome::NotRun)
        return retry(call, failure.reason.empty() ? "REFUSED" : failure.reason, now);
    call.ranProved = call.ranProved || failure.outcome == Outcome::Ran;
    if (call.stage == Stage::Running)
        query(call, now);
}

void Router::Impl::queryResult(Call& call, QueryState state, Incarnation incarnation, TimePoint now)
{
    switch (state) {
    case QueryState::Running:
    case QueryState::Unreachable:
        return; // The timer asks again.
    case QueryState::Done:
        recordResult(call, Result::Success, now);
        if (call.standing)
            return reply(call, Outcome::Ran, {}, call.attempt, now);
        call.claimAttempt = call.claims ? call.attempt : 0;
        return finish(call, Outcome::Ran, {}, call.attempt, now);
    case QueryState::NotSeen:
        recordResult(call, Result::Failure, now);
        if (call.standing)
            return reply(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        if (call.ranProved)
            return finish(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        if (!differ(call.targetIncarnation, incarnation))
            return fenced(call, now);
        // The process that may have run it is gone with its memory: it does not run any more, but may have.
        call.mayHaveRun = true;
        table.release(call.hold, now);
        if (call.request.nonRepeatable)
            return finish(call, Outcome::Unknown, "WORKER_RESTARTED", 0, now);
        return fenced(call, now);
    }
}

void Router::Impl::wake(Call& call, TimePoint now)
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
        if (late) // Never dispatched; the claim itself must still be decided before NOT_RUN is proved.
            table.release(call.hold, now);
        call.claimInDoubt = true;
        return sendClaim(call, now);
    case Stage::Running:
        if (!late)
            return hedge(call, now);
        recordResult(call, Result::Timeout, now);
        return query(call, now);
    case Stage::Querying:
        if (now < call.queryLimit)
            return query(call, now);
        if (call.standing)
            return reply(call, Outcome::Ran, "ANSWER_LOST", 0, now);
        return finish(call, call.ranProved ? Outcome::Ran : Outcome::Unknown,
            call.ranProved ? "ANSWER_LOST" : "DEADLINE_EXCEEDED", 0, now);
    case Stage::Committing:
        actions.emplace_back(call.commit);
        return setTimer(call, now + commitSilence);
    }
}

void Router::Impl::wakeOrphan(std::pair<Ticket, uint32_t> id, TimePoint now)
{
    const auto found = orphans.find(id);
    if (found == orphans.end())
        return;
    Orphan& orphan = found->second;
    if (isEnded(orphan, now))
        return releaseOrphan(id.first, id.second, now);
    ++counters.queried;
    actions.emplace_back(QueryWorker { id.first, id.second, orphan.worker, orphan.key });
    orphan.interval = std::min<Duration>(lastOrphanQuery, orphan.interval * 2);
    setOrphanTimer(id, orphan, now + orphan.interval);
}

void Router::Impl::rollRates(TimePoint now)
{
    if (now - rateSince < rateWindow)
        return;
    const double seconds = std::chrono::duration<double>(now - rateSince).count();
    for (const auto& [id, service] : table.services())
        service->arrivalsPerSecond = uint32_t(std::exchange(service->arrivals, 0) / seconds);
    rateSince = now;
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
    return m_impl->take(now);
}

Actions Router::setGrants(std::vector<Grant> grants, TimePoint now)
{
    m_impl->table.setGrants(std::move(grants), now);
    return m_impl->take(now);
}

Actions Router::submit(Ticket ticket, Request request, TimePoint now)
{
    ++m_impl->counters.submitted;
    if (m_impl->join(ticket, request))
        return m_impl->take(now);
    Call& call = m_impl->calls[ticket];
    Service* service = m_impl->table.findService(request.service);
    call.service = service == nullptr ? &m_impl->unknownService : service;
    call.ticket = ticket;
    call.request = std::move(request);
    call.claims = call.request.nonRepeatable || (m_impl->options.mustClaim && m_impl->options.mustClaim(call.request));
    ++call.service->arrivals;
    m_impl->admit(call, now);
    return m_impl->take(now);
}

Actions Router::claimCommitted(Ticket ticket, uint32_t attempt, const ClaimResult& result, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call != nullptr && call->stage == Stage::Claiming && call->attempt == attempt)
        m_impl->claimResult(*call, result, now);
    else
        ++m_impl->counters.ignored;
    return m_impl->take(now);
}

Actions Router::answered(Ticket ticket, uint32_t attempt, TimePoint now)
{
    Call* call = m_impl->current(ticket, attempt);
    if (call == nullptr || call->foreign) {
        m_impl->releaseOrphan(ticket, attempt, now);
        return m_impl->take(now);
    }
    call->service->observe(now - call->dispatchedAt);
    m_impl->recordResult(*call, Result::Success, now);
    call->claimAttempt = call->claims ? attempt : 0;
    m_impl->finish(*call, Outcome::Ran, {}, attempt, now);
    return m_impl->take(now);
}

Actions Router::failed(Ticket ticket, uint32_t attempt, const AttemptFailure& failure, TimePoint now)
{
    Call* call = m_impl->current(ticket, attempt);
    if (call != nullptr && !call->foreign)
        m_impl->attemptFailed(*call, failure, now);
    else if (failure.outcome != Outcome::Unknown)
        m_impl->releaseOrphan(ticket, attempt, now);
    return m_impl->take(now);
}

Actions Router::queried(Ticket ticket, uint32_t attempt, QueryState state, TimePoint now, Incarnation incarnation)
{
    if (Call* call = m_impl->current(ticket, attempt))
        m_impl->queryResult(*call, state, incarnation, now);
    else if (state == QueryState::NotSeen || state == QueryState::Done)
        m_impl->releaseOrphan(ticket, attempt, now);
    return m_impl->take(now);
}

Actions Router::outcomeCommitted(Ticket ticket, const OutcomeResult& result, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call == nullptr || call->stage != Stage::Committing)
        return m_impl->take(now);
    const CommitOutcome& own = call->commit;
    switch (result.code) {
    case OutcomeResult::Code::Accepted:
        m_impl->reply(*call, own.outcome, own.reason, own.answeredAttempt, now);
        break;
    case OutcomeResult::Code::EndedBefore:
        // NOT_RUN for a request that ran would be false, whatever the ledger says. It can only stand for a repeatable
        // request without a claim that was refused by another entry meanwhile.
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
        call->interval = call->interval.count() == 0 ? firstCommitResend
                                                     : std::min<Duration>(lastCommitResend, call->interval * 2);
        m_impl->setTimer(*call, now + call->interval);
        break;
    }
    return m_impl->take(now);
}

Actions Router::cancelled(Ticket ticket, TimePoint now)
{
    Call* call = m_impl->find(ticket);
    if (call == nullptr || !call->followers.empty()) // Another caller waits for the same key.
        return m_impl->take(now);
    call->cancelled = true;
    if (call->stage == Stage::Queued || call->stage == Stage::Backoff)
        m_impl->endWithoutRun(*call, "CANCELLED", now);
    else if (call->stage == Stage::Claiming)
        m_impl->table.release(call->hold, now);
    return m_impl->take(now);
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
            m_impl->wake(*call, now);
        } else if (attempt != 0) {
            m_impl->wakeOrphan({ ticket, attempt }, now);
        }
    }
    if (now >= m_impl->nextSweep) {
        m_impl->nextSweep = now + WorkerTable::sweepInterval;
        m_impl->table.sweep(now);
        m_impl->rollRates(now);
    }
    return m_impl->take(now);
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
        for (const auto& [epoch, inUse] : worker->byEpoch) {
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
