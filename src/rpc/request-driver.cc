#include "rpc/request-driver.h"

#include "rpc/claim-resolver.h"
#include "turmericpier/base/error.h"
#include "turmericpier/ledger/state.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::rpc {

namespace {
    using routing::Ticket;

    // Longer than a worker needs to reply. The router repeats queries to unreachable workers.
    constexpr Duration queryTimeout = std::chrono::milliseconds(500);
    // Added to the deadline of the caller, because the outcome must reach the ledger even after the caller has given
    // up.
    constexpr Duration outcomeGracePeriod = std::chrono::seconds(30);

    // Set in tickets of requests that are claimed in the ledger before they are dispatched.
    constexpr uint64_t claimedBit = uint64_t { 1 } << 63U;

    /// Returns the attempt number that is sent to workers.
    uint32_t wireAttempt(Ticket ticket, uint32_t attempt)
    {
        return (ticket.value & claimedBit) != 0 ? firstClaimedAttempt + attempt : attempt;
    }

    routing::RouterOptions routerOptions(
        const settings::Settings& settings, std::function<bool(const routing::Request&)> mustClaim)
    {
        routing::RouterOptions options;
        options.self = settings.instance;
        options.dataCentre = settings.dataCentre;
        options.region = settings.region;
        options.seed = std::hash<InstanceId> {}(settings.instance);
        options.maxAttempts = settings.entry.maxAttempts;
        options.mustClaim = std::move(mustClaim);
        return options;
    }

    std::string keyOf(const CallRequest& request)
    {
        return ledger::requestKey(request.partner(), request.home_region(), request.request_id());
    }

    turmericpier::Outcome outcomeOf(const LedgerRecord& record)
    {
        return static_cast<turmericpier::Outcome>(record.outcome());
    }
} // namespace

RequestDriver::RequestDriver(const settings::Settings& settings, Incarnation incarnation, RequestDriverHooks hooks,
    EventLoop& loop, const Clock& clock, Metrics& metrics)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_hooks(std::move(hooks))
    , m_loop(loop)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_router(routerOptions(settings, [this](const routing::Request& request) { return isResent(request.key); }))
    , m_resendFence(m_endpoints, loop)
{
}

absl::Status RequestDriver::validate(const CallRequest& request) const
{
    const auto invalid = [&](const std::string& message) {
        return makeError({ absl::StatusCode::kInvalidArgument, turmericpier::Outcome::NotRun, "INVALID_REQUEST",
                             "admit", m_settings.instance.str() },
            message);
    };
    if (request.request_id().empty())
        return invalid("request_id is empty");
    if (request.partner().empty() || request.partner().find('/') != std::string::npos)
        return invalid("partner is empty or contains '/'");
    if (request.service().empty())
        return invalid("service is empty");
    if (!m_settings.ledgerVoters.count(RegionId(request.home_region())))
        return invalid("home_region \"" + request.home_region() + "\" is not known");
    if (request.deadline_ms() > m_settings.entry.maxDeadline.count())
        return invalid(absl::StrCat(
            "deadline_ms is ", request.deadline_ms(), "; accepted: 0 to ", m_settings.entry.maxDeadline.count()));
    if (m_pending.size() >= m_settings.entry.maxRequests)
        return makeError({ absl::StatusCode::kResourceExhausted, turmericpier::Outcome::NotRun, "TOO_MANY_REQUESTS",
                             "admit", m_settings.instance.str() },
            absl::StrCat("entry holds ", m_pending.size(), " requests"));
    return absl::OkStatus();
}

absl::Status RequestDriver::makeUnrecordedRefusal(
    const CallRequest& request, const std::string& reason, const std::string& message) const
{
    // An earlier attempt of a resent request may have run.
    const auto outcome = request.resends() == 0 ? turmericpier::Outcome::NotRun : turmericpier::Outcome::Unknown;
    return makeError({ absl::StatusCode::kUnavailable, outcome, reason, "admit", m_settings.instance.str() }, message);
}

void RequestDriver::beginDrain()
{
    m_isDraining = true;
    m_router.beginDrain();
}

void RequestDriver::submit(const CallRequest& request, CallDone done)
{
    m_metrics.counter("requests_total").increment();
    if (auto status = validate(request); !status.ok()) {
        m_metrics.counter("requests_invalid_total").increment();
        return done(status, {});
    }
    if (m_isDraining)
        return done(
            makeUnrecordedRefusal(request, "DRAINING", "entry is draining; send the request through another entry"),
            {});
    // Whether a service exists is not known before the state of the control leader has arrived.
    if (!m_hasState)
        return done(
            makeUnrecordedRefusal(request, "NOT_READY", "entry has not received the state of the control leader yet"),
            {});
    auto key = keyOf(request);
    if (const auto existing = m_ticketByKey.find(key); existing != m_ticketByKey.end()) {
        m_metrics.counter("requests_joined_total").increment();
        m_pending.at(existing->second.value).waiters.push_back(std::move(done));
        return;
    }
    const auto now = m_clock.now();
    const Duration limit = request.deadline_ms() > 0 ? Duration(std::chrono::milliseconds(request.deadline_ms()))
                                                     : Duration(m_settings.entry.defaultDeadline);
    m_lastTicket = m_lastTicket.next();
    const bool isClaimed = request.non_repeatable() || request.resends() > 0;
    const auto ticket = isClaimed ? Ticket { m_lastTicket.value | claimedBit } : m_lastTicket;
    auto& pending = m_pending[ticket.value];
    pending = { key, request, now, now + limit, {}, {} };
    pending.waiters.push_back(std::move(done));
    m_ticketByKey[key] = ticket;
    // The claim of a non-repeatable request identifies its earlier attempt. Earlier attempts of a repeatable request
    // may have no claim.
    if (request.resends() > 0 && !request.non_repeatable())
        fenceEarlierAttempts(ticket);
    else
        route(ticket);
}

bool RequestDriver::isResent(const std::string& key) const
{
    const auto ticket = m_ticketByKey.find(key);
    return ticket != m_ticketByKey.end() && m_pending.at(ticket->second.value).request.resends() > 0;
}

void RequestDriver::route(Ticket ticket)
{
    const auto& pending = m_pending.at(ticket.value);
    executeActions(m_router.submit(ticket,
        { pending.key, ServiceId(pending.request.service()), pending.request.non_repeatable(), pending.deadline },
        m_clock.now()));
}

void RequestDriver::fenceEarlierAttempts(Ticket ticket)
{
    m_metrics.counter("requests_resent_total").increment();
    const auto& pending = m_pending.at(ticket.value);
    const auto& request = pending.request;
    const auto earlierDeadline = std::chrono::milliseconds(
        request.deadline_ms() > 0 ? request.deadline_ms() : m_settings.entry.defaultDeadline.count());
    const auto elapsed = std::chrono::milliseconds(request.last_sent_ms_ago());
    ResendFence::Request fence { pending.key, firstClaimedAttempt - 1, m_workersByService[ServiceId(request.service())],
        pending.arrived + (elapsed < earlierDeadline ? earlierDeadline - elapsed : Duration::zero())
            + m_settings.leases.clockSkewBound };
    // After the deadline the router would refuse the request as NOT_RUN, which is wrong if an earlier attempt has run.
    m_resendFence.start(std::move(fence), pending.deadline, [this, ticket](bool isFenced) {
        if (isFenced)
            return route(ticket);
        executeAction(routing::Reply { ticket,
            makeError({ absl::StatusCode::kUnavailable, turmericpier::Outcome::Unknown, "EARLIER_ATTEMPT_OPEN", "fence",
                          m_settings.instance.str() },
                "an earlier attempt of the request may still run on a worker that did not confirm the fence"),
            {}, 0, 0 });
    });
}

void RequestDriver::setState(const log::ControlSnapshot& state)
{
    m_hasState = true;
    std::vector<routing::ServiceInfo> services;
    for (const auto& service : state.services()) {
        routing::ServiceInfo info { ServiceId(service.name()) };
        if (service.queue_limit() > 0)
            info.queueLimit = service.queue_limit();
        if (service.retry_budget_percent() > 0)
            info.retryBudgetPercent = service.retry_budget_percent();
        services.push_back(std::move(info));
    }
    std::set<std::string> drained(state.drained().begin(), state.drained().end());
    std::vector<routing::WorkerInfo> workers;
    std::map<ServiceId, std::vector<WorkerId>> workersByService;
    for (const auto& worker : state.workers()) {
        routing::WorkerInfo info { WorkerId(worker.worker()), DataCentreId(worker.data_centre()),
            RegionId(worker.region()), worker.leaving() || drained.count(worker.worker()) > 0, {},
            Incarnation { worker.incarnation() } };
        for (const auto& service : worker.services()) {
            info.services.emplace_back(service);
            workersByService[info.services.back()].push_back(info.worker);
        }
        workers.push_back(std::move(info));
        m_endpoints.setAddress(WorkerId(worker.worker()), worker.address());
    }
    m_workersByService = std::move(workersByService);
    m_router.setServices(std::move(services));
    executeActions(m_router.setWorkers(std::move(workers), m_clock.now()));
}

void RequestDriver::setGrants(const log::GrantChanges& grants, TimePoint sentAt)
{
    m_grants = grants;
    renewGrants(sentAt);
}

void RequestDriver::renewGrants(TimePoint sentAt)
{
    m_grantsRenewedAt = std::max(m_grantsRenewedAt, sentAt);
    std::vector<routing::Grant> grants;
    for (const auto& grant : m_grants.grants()) {
        grants.push_back({ WorkerId(grant.worker()), Epoch { grant.epoch() }, grant.slots(), grant.connections(),
            m_grantsRenewedAt + std::chrono::milliseconds(grant.lease_ms()) - m_settings.leases.clockSkewBound });
    }
    executeActions(m_router.setGrants(std::move(grants), m_clock.now()));
}

void RequestDriver::tick()
{
    if (m_isAbandoned)
        return;
    m_resendFence.tick(m_clock.now());
    executeActions(m_router.tick(m_clock.now()));
}

void RequestDriver::abandon()
{
    m_isDraining = true;
    m_isAbandoned = true;
    m_ticketByKey.clear();
    for (const auto& [ticket, pending] : std::exchange(m_pending, {})) {
        for (const auto& waiter : pending.waiters)
            waiter(makeError({ absl::StatusCode::kUnavailable, turmericpier::Outcome::Unknown, "STOPPED", "stop",
                                 m_settings.instance.str() },
                       "entry stopped before the request ended"),
                {});
    }
}

void RequestDriver::executeActions(const routing::Actions& actions)
{
    if (m_isAbandoned)
        return;
    for (const auto& action : actions)
        std::visit([this](const auto& concreteAction) { executeAction(concreteAction); }, action);
}

void RequestDriver::executeAction(const routing::Dispatch& action)
{
    const auto& pending = m_pending.at(action.ticket.value);
    ExecuteRequest request;
    request.set_key(pending.key);
    request.set_attempt(wireAttempt(action.ticket, action.attempt));
    request.set_service(pending.request.service());
    request.set_payload(pending.request.payload());
    request.set_deadline_ms(
        static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(action.timeout).count()));
    request.set_entry(m_settings.instance.str());
    request.set_grant_epoch(action.grantEpoch.value);
    request.set_non_repeatable(pending.request.non_repeatable());
    request.set_worker_incarnation(action.workerIncarnation.value);
    m_metrics.counter("dispatches_total").increment();
    m_endpoints.execute(action.worker, std::move(request), action.timeout,
        [this, ticket = action.ticket, attempt = action.attempt](absl::StatusOr<ExecuteReply> reply) {
            m_loop.post(
                [this, ticket, attempt, reply = std::move(reply)] { handleExecuteReply(ticket, attempt, reply); });
        });
}

void RequestDriver::handleExecuteReply(Ticket ticket, uint32_t attempt, absl::StatusOr<ExecuteReply> reply)
{
    const auto now = m_clock.now();
    if (reply.ok()) {
        if (const auto pending = m_pending.find(ticket.value); pending != m_pending.end())
            pending->second.answers[attempt] = reply->answer();
        executeActions(m_router.answered(ticket, attempt, now));
        return;
    }
    const auto details = detailsOf(reply.status());
    const bool hasWorkerReplied = details.reason != "CONNECTION_FAILED";
    executeActions(m_router.failed(ticket, attempt, { details.outcome, details.reason, !hasWorkerReplied }, now));
}

void RequestDriver::executeAction(const routing::QueryWorker& action)
{
    QueryRequest request;
    request.set_key(action.key);
    request.set_attempt(wireAttempt(action.ticket, action.attempt));
    m_metrics.counter("queries_total").increment();
    m_endpoints.query(action.worker, std::move(request), queryTimeout,
        [this, ticket = action.ticket, attempt = action.attempt](absl::StatusOr<QueryReply> reply) {
            m_loop.post(
                [this, ticket, attempt, reply = std::move(reply)] { handleQueryReply(ticket, attempt, reply); });
        });
}

void RequestDriver::handleQueryReply(Ticket ticket, uint32_t attempt, absl::StatusOr<QueryReply> reply)
{
    auto state = routing::QueryState::Unreachable;
    if (reply.ok() && reply->state() == QueryReply::NOT_SEEN)
        state = routing::QueryState::NotSeen;
    else if (reply.ok() && reply->state() == QueryReply::RUNNING)
        state = routing::QueryState::Running;
    else if (reply.ok() && reply->state() == QueryReply::DONE)
        state = routing::QueryState::Done;
    const auto pending = m_pending.find(ticket.value);
    if (state == routing::QueryState::Done && pending != m_pending.end())
        pending->second.answers[attempt] = reply->answer();
    const Incarnation incarnation { reply.ok() ? reply->worker_incarnation() : 0 };
    executeActions(m_router.queried(ticket, attempt, state, m_clock.now(), incarnation));
}

void RequestDriver::executeAction(const routing::CommitClaim& action)
{
    const auto& pending = m_pending.at(action.ticket.value);
    log::LedgerItem item;
    auto& claim = *item.mutable_claim();
    claim.set_key(pending.key);
    claim.set_entry(m_settings.instance.str());
    claim.set_incarnation(m_incarnation.value);
    claim.set_worker(action.worker.str());
    claim.set_attempt(action.attempt);
    claim.set_service(pending.request.service());
    claim.set_worker_incarnation(action.workerIncarnation.value);
    m_hooks.commit(RegionId(pending.request.home_region()), std::move(item), pending.deadline,
        [this, ticket = action.ticket, attempt = action.attempt](
            const absl::StatusOr<log::LedgerResult>& result) { handleClaimResult(ticket, attempt, result); });
}

void RequestDriver::handleClaimResult(Ticket ticket, uint32_t attempt, const absl::StatusOr<log::LedgerResult>& result)
{
    using Code = routing::ClaimResult::Code;
    routing::ClaimResult claim;
    if (!result.ok()) {
        claim.code = detailsOf(result.status()).outcome == turmericpier::Outcome::NotRun ? Code::Refused : Code::Failed;
    } else if (result->code() == log::LedgerResult::ACCEPTED) {
        claim.code = Code::Accepted;
    } else if (result->code() == log::LedgerResult::ENDED_BEFORE) {
        claim.code = Code::EndedBefore;
        claim.worker = WorkerId(result->outcome().worker());
        claim.outcome = outcomeOf(result->outcome());
        claim.attempt = result->outcome().attempts();
        claim.reason = result->outcome().reason();
    } else {
        claim.code = Code::ClaimedBefore;
        claim.worker = WorkerId(result->claim().worker());
        claim.attempt = result->claim().attempt();
        claim.workerIncarnation = Incarnation { result->claim().worker_incarnation() };
    }
    executeActions(m_router.claimCommitted(ticket, attempt, claim, m_clock.now()));
}

void RequestDriver::executeAction(const routing::CommitOutcome& action)
{
    const auto& pending = m_pending.at(action.ticket.value);
    log::LedgerItem item;
    auto& record = *item.mutable_outcome();
    record.set_partner(pending.request.partner());
    record.set_home_region(pending.request.home_region());
    record.set_request_id(pending.request.request_id());
    record.set_service(pending.request.service());
    record.set_outcome(static_cast<rpc::Outcome>(action.outcome));
    record.set_reason(action.reason);
    record.set_worker(action.worker.str());
    record.set_attempts(action.answeredAttempt > 0 ? action.answeredAttempt : action.attempts);
    record.set_claim_attempt(action.claimAttempt);
    const auto deadline = std::max(pending.deadline, m_clock.now()) + outcomeGracePeriod;
    m_hooks.commit(RegionId(pending.request.home_region()), std::move(item), deadline,
        [this, ticket = action.ticket](
            const absl::StatusOr<log::LedgerResult>& result) { handleOutcomeResult(ticket, result); });
}

void RequestDriver::handleOutcomeResult(Ticket ticket, const absl::StatusOr<log::LedgerResult>& result)
{
    using Code = routing::OutcomeResult::Code;
    routing::OutcomeResult outcome;
    if (result.ok() && result->code() == log::LedgerResult::ACCEPTED) {
        outcome.code = Code::Accepted;
    } else if (result.ok() && result->code() == log::LedgerResult::STALE_ATTEMPT) {
        outcome.code = Code::ClaimedBefore;
    } else if (result.ok() && result->has_outcome()) {
        outcome.code = Code::EndedBefore;
        outcome.outcome = outcomeOf(result->outcome());
        outcome.reason = result->outcome().reason();
        outcome.worker = WorkerId(result->outcome().worker());
    }
    executeActions(m_router.outcomeCommitted(ticket, outcome, m_clock.now()));
}

void RequestDriver::executeAction(const routing::Reply& action)
{
    auto found = m_pending.extract(action.ticket.value);
    auto& pending = found.mapped();
    m_ticketByKey.erase(pending.key);
    CallReply reply;
    if (action.status.ok()) {
        reply.set_answer(pending.answers[action.answeredAttempt]);
        reply.set_worker(action.worker.str());
        reply.set_attempts(action.attempts);
    }
    m_metrics.counter(action.status.ok() ? "requests_answered_total" : "requests_failed_total").increment();
    m_metrics.latency("request_seconds").record(m_clock.now() - pending.arrived);
    for (const auto& waiter : pending.waiters)
        waiter(action.status, reply);
}

} // namespace turmericpier::rpc
