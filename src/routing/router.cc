#include "turmericpier/routing/router.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace turmericpier::routing {

namespace {

    constexpr Duration queryInterval = std::chrono::milliseconds(50); // Between two queries of one attempt.

    enum class Stage { Queued, Claiming, Running, Querying, Backoff, Committing };

    struct Entry {
        Request request;
        Stage stage = Stage::Queued;
        bool cancelled = false;
        uint32_t attempt = 0; ///< Number of the latest attempt.
        uint32_t dispatched = 0;
        WorkerId worker;
        Epoch epoch;
        bool holdsSlot = false;
        bool foreign = false; ///< The attempt queried is another entry's claim.
        TimePoint wake; ///< Next query, resend or retry.
        CommitOutcome commit;
    };

    struct Slots {
        Grant grant;
        uint32_t inUse = 0;
    };

} // namespace

struct Router::Impl {
    RouterOptions options;
    std::map<ServiceId, ServiceInfo> services;
    std::map<WorkerId, WorkerInfo> workers;
    std::map<WorkerId, Slots> slots;
    absl::flat_hash_map<Ticket, Entry> entries;
    absl::btree_map<ServiceId, absl::btree_set<std::pair<TimePoint, Ticket>>> queues;
    /// Attempts whose end is not known hold their slot after the request itself is gone.
    absl::btree_map<std::pair<Ticket, uint32_t>, WorkerId> orphans;
    bool draining = false;
    Actions actions;

    Actions take() { return std::exchange(actions, {}); }

    void finish(Ticket ticket, Entry& entry, Outcome outcome, std::string reason, uint32_t answeredAttempt)
    {
        queues[entry.request.service].erase({ entry.request.deadline, ticket });
        if (entry.holdsSlot && outcome == Outcome::Unknown) {
            orphans[{ ticket, entry.attempt }] = entry.worker;
            entry.holdsSlot = false;
        }
        entry.stage = Stage::Committing;
        entry.commit = CommitOutcome { ticket, outcome, std::move(reason),
            outcome == Outcome::NotRun ? WorkerId() : entry.worker, answeredAttempt, entry.dispatched };
        actions.emplace_back(entry.commit);
    }

    void release(Entry& entry)
    {
        if (entry.holdsSlot)
            --slots[entry.worker].inUse;
        entry.holdsSlot = false;
    }

    void enqueue(Ticket ticket, Entry& entry)
    {
        entry.stage = Stage::Queued;
        queues[entry.request.service].insert({ entry.request.deadline, ticket });
    }

    int distance(const WorkerInfo& worker) const
    {
        return worker.dataCentre == options.dataCentre ? 0 : worker.region == options.region ? 1 : 2;
    }

    const WorkerInfo* pick(const Entry& entry, TimePoint now)
    {
        const WorkerInfo* best = nullptr;
        std::tuple<bool, int, uint32_t> bestRank;
        for (const auto& [id, worker] : workers) {
            const auto found = slots.find(id);
            if (worker.leaving || found == slots.end() || found->second.grant.expires <= now
                || found->second.inUse >= found->second.grant.slots)
                continue;
            if (std::find(worker.services.begin(), worker.services.end(), entry.request.service)
                == worker.services.end())
                continue;
            const std::tuple rank(id == entry.worker, distance(worker), found->second.inUse);
            if (best == nullptr || rank < bestRank) {
                best = &worker;
                bestRank = rank;
            }
        }
        return best;
    }

    void dispatch(Ticket ticket, Entry& entry, TimePoint now)
    {
        entry.stage = Stage::Running;
        ++entry.dispatched;
        entry.epoch = slots[entry.worker].grant.epoch;
        actions.emplace_back(
            Dispatch { ticket, entry.attempt, entry.worker, entry.epoch, entry.request.deadline - now });
    }

    void pump(TimePoint now)
    {
        for (auto& [service, queue] : queues) {
            while (!queue.empty()) {
                const Ticket ticket = queue.begin()->second;
                Entry& entry = entries.at(ticket);
                const WorkerInfo* worker = pick(entry, now);
                if (worker == nullptr)
                    break;
                queue.erase(queue.begin());
                entry.worker = worker->worker;
                ++entry.attempt;
                ++slots[entry.worker].inUse;
                entry.holdsSlot = true;
                if (entry.request.nonRepeatable) {
                    entry.stage = Stage::Claiming;
                    actions.emplace_back(CommitClaim { ticket, entry.attempt, entry.worker });
                } else {
                    dispatch(ticket, entry, now);
                }
            }
        }
    }

    void query(Ticket ticket, Entry& entry, TimePoint now)
    {
        entry.stage = Stage::Querying;
        entry.wake = now + queryInterval;
        actions.emplace_back(QueryWorker { ticket, entry.attempt, entry.worker });
    }

    /// The attempt is proved not to have run: tries again or ends with NOT_RUN.
    void notRun(Ticket ticket, Entry& entry, const std::string& reason, TimePoint now)
    {
        release(entry);
        entry.foreign = false;
        if (entry.cancelled || now >= entry.request.deadline || entry.dispatched >= options.maxAttempts) {
            finish(ticket, entry, Outcome::NotRun, reason, 0);
            return;
        }
        entry.stage = Stage::Backoff;
        entry.wake = now
            + std::min<Duration>(options.backoffMax, options.backoffBase * (1LL << std::min(entry.dispatched, 10U)));
    }

    void ran(Ticket ticket, Entry& entry, uint32_t attempt)
    {
        release(entry);
        finish(ticket, entry, Outcome::Ran, {}, attempt);
    }

    /// Frees the slot of an attempt whose request has already been answered.
    void releaseOrphan(Ticket ticket, uint32_t attempt)
    {
        const auto found = orphans.find({ ticket, attempt });
        if (found == orphans.end())
            return;
        --slots[found->second].inUse;
        orphans.erase(found);
    }

    /// The request of `ticket` if `attempt` is its current one and still open.
    Entry* current(Ticket ticket, uint32_t attempt)
    {
        const auto found = entries.find(ticket);
        if (found == entries.end() || found->second.attempt != attempt)
            return nullptr;
        return found->second.stage == Stage::Running || found->second.stage == Stage::Querying ? &found->second
                                                                                               : nullptr;
    }

    void deadlinePassed(Ticket ticket, Entry& entry, TimePoint now)
    {
        switch (entry.stage) {
        case Stage::Queued:
        case Stage::Backoff:
            finish(ticket, entry, Outcome::NotRun, "DEADLINE_EXCEEDED", 0);
            break;
        case Stage::Running:
            query(ticket, entry, now);
            break;
        case Stage::Querying:
            finish(ticket, entry, Outcome::Unknown, "DEADLINE_EXCEEDED", 0);
            break;
        case Stage::Claiming:
        case Stage::Committing:
            break; // The ledger's answer decides.
        }
    }

    void wake(Ticket ticket, Entry& entry, TimePoint now)
    {
        if (entry.stage == Stage::Backoff)
            enqueue(ticket, entry);
        else if (entry.stage == Stage::Querying)
            query(ticket, entry, now);
    }
};

Router::Router(RouterOptions options)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->options = std::move(options);
}

Router::~Router() = default;

void Router::setServices(std::vector<ServiceInfo> services)
{
    m_impl->services.clear();
    for (ServiceInfo& service : services)
        m_impl->services[service.service] = std::move(service);
}

Actions Router::setWorkers(std::vector<WorkerInfo> workers, TimePoint now)
{
    m_impl->workers.clear();
    for (WorkerInfo& worker : workers)
        m_impl->workers[worker.worker] = std::move(worker);
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::setGrants(std::vector<Grant> grants, TimePoint now)
{
    for (auto& [worker, slots] : m_impl->slots)
        slots.grant = Grant { worker };
    for (Grant& grant : grants)
        m_impl->slots[WorkerId(grant.worker)].grant = std::move(grant);
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::submit(Ticket ticket, Request request, TimePoint now)
{
    Entry& entry = m_impl->entries[ticket];
    entry.request = std::move(request);
    const auto service = m_impl->services.find(entry.request.service);
    if (service == m_impl->services.end())
        m_impl->finish(ticket, entry, Outcome::NotRun, "UNKNOWN_SERVICE", 0);
    else if (m_impl->draining)
        m_impl->finish(ticket, entry, Outcome::NotRun, "DRAINING", 0);
    else if (now >= entry.request.deadline)
        m_impl->finish(ticket, entry, Outcome::NotRun, "DEADLINE_EXCEEDED", 0);
    else if (m_impl->queues[entry.request.service].size() >= service->second.queueLimit)
        m_impl->finish(ticket, entry, Outcome::NotRun, "QUEUE_FULL", 0);
    else
        m_impl->enqueue(ticket, entry);
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::claimCommitted(Ticket ticket, uint32_t attempt, const ClaimResult& result, TimePoint now)
{
    const auto found = m_impl->entries.find(ticket);
    if (found == m_impl->entries.end() || found->second.stage != Stage::Claiming || found->second.attempt != attempt)
        return {};
    Entry& entry = found->second;
    switch (result.code) {
    case ClaimResult::Code::Accepted:
        if (entry.cancelled || now >= entry.request.deadline
            || now >= m_impl->slots[entry.worker].grant.expires) // Proved: never dispatched.
            m_impl->notRun(ticket, entry, "CANCELLED", now);
        else
            m_impl->dispatch(ticket, entry, now);
        break;
    case ClaimResult::Code::ClaimedBefore:
        m_impl->release(entry);
        entry.worker = result.worker;
        entry.attempt = result.attempt;
        entry.foreign = true;
        m_impl->query(ticket, entry, now);
        break;
    case ClaimResult::Code::EndedBefore:
        m_impl->release(entry);
        entry.worker = result.worker;
        m_impl->finish(ticket, entry, result.outcome, "ENDED_BEFORE", 0);
        break;
    case ClaimResult::Code::Failed:
        m_impl->actions.emplace_back(CommitClaim { ticket, entry.attempt, entry.worker });
        break;
    case ClaimResult::Code::Refused:
        m_impl->release(entry);
        m_impl->finish(ticket, entry, Outcome::NotRun, "CLAIM_REFUSED", 0);
        break;
    }
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::answered(Ticket ticket, uint32_t attempt, TimePoint now)
{
    if (Entry* entry = m_impl->current(ticket, attempt))
        m_impl->ran(ticket, *entry, attempt);
    else
        m_impl->releaseOrphan(ticket, attempt);
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::failed(Ticket ticket, uint32_t attempt, const AttemptFailure& failure, TimePoint now)
{
    if (Entry* entry = m_impl->current(ticket, attempt)) {
        if (failure.outcome == Outcome::NotRun)
            m_impl->notRun(ticket, *entry, failure.reason, now);
        else if (failure.outcome == Outcome::Ran)
            m_impl->ran(ticket, *entry, 0);
        else
            m_impl->query(ticket, *entry, now);
    } else if (failure.outcome != Outcome::Unknown) {
        m_impl->releaseOrphan(ticket, attempt);
    }
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::queried(Ticket ticket, uint32_t attempt, QueryState state, TimePoint now)
{
    if (Entry* entry = m_impl->current(ticket, attempt)) {
        if (state == QueryState::NotSeen)
            m_impl->notRun(ticket, *entry, "FENCED", now);
        else if (state == QueryState::Done)
            m_impl->ran(ticket, *entry, attempt);
    } else if (state == QueryState::NotSeen || state == QueryState::Done) {
        m_impl->releaseOrphan(ticket, attempt);
    }
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::outcomeCommitted(Ticket ticket, const OutcomeResult& result, TimePoint)
{
    const auto found = m_impl->entries.find(ticket);
    if (found == m_impl->entries.end() || found->second.stage != Stage::Committing)
        return {};
    const CommitOutcome& commit = found->second.commit;
    if (result.code == OutcomeResult::Code::Failed)
        return { commit };
    const bool other = result.code == OutcomeResult::Code::EndedBefore && result.outcome != commit.outcome;
    const Outcome outcome = other ? result.outcome : commit.outcome;
    absl::Status status;
    if (outcome != Outcome::Ran || commit.answeredAttempt == 0)
        status = makeError({ outcome == Outcome::NotRun ? absl::StatusCode::kUnavailable : absl::StatusCode::kUnknown,
                               outcome, other ? result.reason : commit.reason, "route", commit.worker.str() },
            "request ended without an answer: " + std::string(toString(outcome)));
    Reply reply { ticket, status, commit.worker, status.ok() ? commit.answeredAttempt : 0, commit.attempts };
    m_impl->entries.erase(found);
    return { reply };
}

Actions Router::cancelled(Ticket ticket, TimePoint now)
{
    const auto found = m_impl->entries.find(ticket);
    if (found != m_impl->entries.end()) {
        found->second.cancelled = true;
        if (found->second.stage == Stage::Queued || found->second.stage == Stage::Backoff)
            m_impl->finish(ticket, found->second, Outcome::NotRun, "CANCELLED", 0);
    }
    m_impl->pump(now);
    return m_impl->take();
}

Actions Router::tick(TimePoint now)
{
    for (auto& [ticket, entry] : m_impl->entries) {
        const bool late = now >= entry.request.deadline;
        if (late && (entry.stage != Stage::Querying || now >= entry.wake))
            m_impl->deadlinePassed(ticket, entry, now);
        else if (!late && now >= entry.wake)
            m_impl->wake(ticket, entry, now);
    }
    m_impl->pump(now);
    return m_impl->take();
}

void Router::beginDrain() { m_impl->draining = true; }

bool Router::isIdle() const { return m_impl->entries.empty(); }

std::vector<ServiceDemand> Router::demand() const
{
    std::map<ServiceId, ServiceDemand> byService;
    for (const auto& [ticket, entry] : m_impl->entries) {
        ServiceDemand& demand = byService[entry.request.service];
        demand.service = entry.request.service;
        demand.waiting += entry.stage == Stage::Queued ? 1 : 0;
        demand.running += entry.holdsSlot ? 1 : 0;
    }
    std::vector<ServiceDemand> result;
    result.reserve(byService.size());
    for (auto& [service, demand] : byService)
        result.push_back(std::move(demand));
    return result;
}

std::vector<GrantUse> Router::grantUse() const
{
    std::vector<GrantUse> result;
    for (const auto& [worker, slots] : m_impl->slots)
        result.push_back({ worker, slots.grant.epoch, slots.inUse });
    return result;
}

std::string Router::dump() const
{
    boost::json::object object;
    object["requests"] = m_impl->entries.size();
    object["workers"] = m_impl->workers.size();
    object["draining"] = m_impl->draining;
    return boost::json::serialize(object);
}

} // namespace turmericpier::routing
