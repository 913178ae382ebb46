#include "routing/worker-table.h"

namespace turmericpier::routing {

namespace {

    // Tokens a second that let a service with few requests reach workers over the paid link at all.
    constexpr uint32_t paidLinkFloorPerSecond = 10;
    constexpr uint32_t sweepsPerSecond = 5;

    Distance distanceTo(const WorkerInfo& worker, const RouterOptions& options)
    {
        if (worker.dataCentre == options.dataCentre)
            return Distance::DataCentre;
        return worker.region == options.region ? Distance::Region : Distance::PaidLink;
    }

    bool sameInfo(const WorkerInfo& a, const WorkerInfo& b)
    {
        return a.leaving == b.leaving && a.incarnation == b.incarnation && a.dataCentre == b.dataCentre
            && a.region == b.region && a.services == b.services;
    }

    void setIndexed(WorkerSet& set, bool wanted, bool present, const WorkerOrder& before, const WorkerOrder& after)
    {
        if (present && (!wanted || before != after))
            set.erase(before);
        if (wanted && (!present || before != after))
            set.insert(after);
    }

    bool contains(const absl::InlinedVector<Worker*, 4>& workers, const Worker* worker)
    {
        return std::find(workers.begin(), workers.end(), worker) != workers.end();
    }

} // namespace

Duration Service::estimate(size_t rank) const
{
    const uint32_t local = slots[0] + slots[1];
    const uint32_t usable = local > 0 ? local : slots[2];
    if (usable == 0 || serviceTime.count() == 0)
        return Duration(0);
    return serviceTime + serviceTime * int64_t(rank + 1) / usable;
}

void Service::observe(Duration time)
{
    constexpr int64_t weight = 8; // Of the past against one new observation.
    serviceTime = serviceTime.count() == 0 ? time : Duration((serviceTime * (weight - 1) + time) / weight);
}

WorkerTable::WorkerTable(const RouterOptions& options)
    : m_options(options)
{
}

Service* WorkerTable::findService(const ServiceId& id)
{
    const auto found = m_serviceIndex.find(id);
    return found == m_serviceIndex.end() ? nullptr : found->second;
}

Service& WorkerTable::service(const ServiceId& id)
{
    if (Service* found = findService(id))
        return *found;
    auto& service = m_services[id];
    service = std::make_unique<Service>();
    service->info.service = id;
    m_serviceIndex[id] = service.get();
    return *service;
}

void WorkerTable::setServices(std::vector<ServiceInfo> services)
{
    for (auto& [id, service] : m_services)
        service->listed = false;
    for (ServiceInfo& info : services) {
        Service& known = service(info.service);
        known.listed = true;
        known.info = std::move(info);
    }
}

Worker& WorkerTable::worker(const WorkerId& id)
{
    auto& worker = m_workers[id];
    if (worker == nullptr) {
        worker = std::make_unique<Worker>();
        worker->info.worker = id;
        worker->grant.worker = id;
        worker->lastUse = ++m_uses;
    }
    return *worker;
}

void WorkerTable::setWorkers(std::vector<WorkerInfo> workers, TimePoint now)
{
    ++m_round;
    for (WorkerInfo& info : workers) {
        Worker& known = worker(info.worker);
        known.workersRound = m_round;
        if (!known.listed || !sameInfo(known.info, info))
            applyInfo(known, std::move(info), now);
    }
    for (auto& [id, known] : m_workers) {
        if (known->listed && known->workersRound != m_round) {
            known->listed = false;
            reindex(*known, now);
        }
    }
    for (auto& [id, service] : m_services)
        enforceEjectionLimit(*service, now);
}

void WorkerTable::applyInfo(Worker& worker, WorkerInfo info, TimePoint now)
{
    unindexMember(worker);
    if (worker.info.incarnation != info.incarnation)
        worker.health = Health(); // A restarted process is judged anew.
    worker.info = std::move(info);
    worker.listed = true;
    worker.distance = distanceTo(worker.info, m_options);
    worker.services.clear();
    for (const ServiceId& id : worker.info.services)
        worker.services.push_back(&service(id));
    reindex(worker, now);
}

void WorkerTable::setGrants(std::vector<Grant> grants, TimePoint now)
{
    ++m_round;
    for (Grant& grant : grants) {
        Worker& known = worker(grant.worker);
        known.grantsRound = m_round;
        const bool sameShape = known.grant.slots == grant.slots && known.grant.expires > now && grant.expires > now;
        known.grant = std::move(grant);
        if (!sameShape)
            reindex(known, now);
    }
    for (auto& [id, known] : m_workers) {
        if (known->grant.slots > 0 && known->grantsRound != m_round) {
            known->grant.slots = 0;
            reindex(*known, now);
        }
    }
}

bool WorkerTable::isUsable(const Worker& worker, TimePoint now) const
{
    return worker.listed && !worker.info.leaving && worker.grant.slots > 0 && worker.grant.expires > now;
}

/// Brings the services' indexes in line with the worker. O(services of the worker * log n).
void WorkerTable::reindex(Worker& worker, TimePoint now)
{
    const Health::State state = worker.health.state();
    const bool member = worker.listed && !worker.info.leaving;
    const bool ejected = member && state != Health::State::Normal;
    const bool usable = isUsable(worker, now);
    const bool room = usable && worker.inUse < worker.grant.slots;
    const bool free = room && state == Health::State::Normal;
    const bool probe = room && state == Health::State::Probing && !worker.health.probeInFlight();
    const uint32_t slots = usable && state == Health::State::Normal ? worker.grant.slots : 0;
    constexpr uint32_t loadScale = 1'000;
    const WorkerOrder order(worker.inUse * loadScale / std::max(1U, worker.grant.slots), worker.lastUse, &worker);
    const size_t at = size_t(worker.distance);
    for (Service* service : worker.services) {
        setIndexed(service->free[at], free, worker.indexedFree, worker.order, order);
        setIndexed(service->probes[at], probe, worker.indexedProbe, worker.order, order);
        service->slots[at] += slots - worker.indexedSlots;
        service->members[at] += uint32_t(member) - uint32_t(worker.member);
        if (ejected && !worker.indexedEjected)
            service->ejected.insert(&worker);
        else if (!ejected && worker.indexedEjected)
            service->ejected.erase(&worker);
        if ((free || probe) && !service->queue.empty())
            markDirty(*service);
    }
    worker.order = order;
    worker.member = member;
    worker.indexedFree = free;
    worker.indexedProbe = probe;
    worker.indexedEjected = ejected;
    worker.indexedSlots = slots;
}

/// Removes the worker from all indexes of its services.
void WorkerTable::unindexMember(Worker& worker)
{
    const bool listed = std::exchange(worker.listed, false);
    reindex(worker, TimePoint());
    worker.listed = listed;
}

void WorkerTable::markDirty(Service& service)
{
    if (service.dirty)
        return;
    service.dirty = true;
    m_dirty.push_back(&service);
}

/// First usable worker of the set that is not to be avoided; workers whose grant has expired leave the set.
Worker* WorkerTable::first(WorkerSet& set, const absl::InlinedVector<Worker*, 4>* avoid, TimePoint now)
{
    for (auto it = set.begin(); it != set.end();) {
        Worker* worker = std::get<Worker*>(*it);
        if (!isUsable(*worker, now)) {
            reindex(*worker, now);
            it = set.begin();
            continue;
        }
        if (avoid == nullptr || !contains(*avoid, worker))
            return worker;
        ++it; // At most as often as there are workers to avoid.
    }
    return nullptr;
}

Worker* WorkerTable::pick(
    Service& service, bool repeatable, const absl::InlinedVector<Worker*, 4>& avoid, TimePoint now)
{
    constexpr size_t paid = size_t(Distance::PaidLink);
    for (size_t at = 0; repeatable && at < paid; ++at)
        if (Worker* worker = first(service.probes[at], &avoid, now))
            return worker;
    for (size_t at = 0; at < paid; ++at)
        if (Worker* worker = first(service.free[at], &avoid, now))
            return worker;
    if (!avoid.empty())
        for (size_t at = 0; at < paid; ++at)
            if (Worker* worker = first(service.free[at], nullptr, now))
                return worker;
    Worker* remote = repeatable ? first(service.probes[paid], &avoid, now) : nullptr;
    if (remote == nullptr)
        remote = first(service.free[paid], &avoid, now);
    if (remote == nullptr && !avoid.empty())
        remote = first(service.free[paid], nullptr, now);
    return remote != nullptr && service.paidLink.tryTake() ? remote : nullptr;
}

Hold WorkerTable::take(Worker& worker, TimePoint now)
{
    Hold hold { &worker, worker.grant.epoch, worker.info.incarnation };
    if (worker.health.state() == Health::State::Probing) {
        hold.probe = true;
        worker.health.probeStarted();
    }
    ++worker.inUse;
    worker.lastUse = ++m_uses;
    const auto found = std::find_if(
        worker.byEpoch.begin(), worker.byEpoch.end(), [&](const auto& use) { return use.first == hold.epoch; });
    if (found != worker.byEpoch.end())
        ++found->second;
    else
        worker.byEpoch.emplace_back(hold.epoch, 1);
    reindex(worker, now);
    return hold;
}

void WorkerTable::release(Hold& hold, TimePoint now)
{
    if (hold.worker == nullptr)
        return;
    Worker& worker = *std::exchange(hold.worker, nullptr);
    --worker.inUse;
    const auto found = std::find_if(
        worker.byEpoch.begin(), worker.byEpoch.end(), [&](const auto& use) { return use.first == hold.epoch; });
    if (found != worker.byEpoch.end() && --found->second == 0)
        worker.byEpoch.erase(found);
    if (hold.probe)
        worker.health.probeDropped();
    reindex(worker, now);
}

bool WorkerTable::mayUse(const Hold& hold, TimePoint now) const
{
    const Worker& worker = *hold.worker;
    const Health::State state = worker.health.state();
    return isUsable(worker, now) && worker.inUse <= worker.grant.slots && worker.info.incarnation == hold.incarnation
        && (state == Health::State::Normal || (hold.probe && state == Health::State::Probing));
}

void WorkerTable::refreshEpoch(Hold& hold)
{
    Worker& worker = *hold.worker;
    if (hold.epoch == worker.grant.epoch)
        return;
    for (auto& [epoch, count] : worker.byEpoch)
        count -= epoch == hold.epoch ? 1 : 0;
    hold.epoch = worker.grant.epoch;
    const auto found = std::find_if(
        worker.byEpoch.begin(), worker.byEpoch.end(), [&](const auto& use) { return use.first == hold.epoch; });
    if (found != worker.byEpoch.end())
        ++found->second;
    else
        worker.byEpoch.emplace_back(hold.epoch, 1);
    worker.byEpoch.erase(
        std::remove_if(worker.byEpoch.begin(), worker.byEpoch.end(), [](const auto& use) { return use.second == 0; }),
        worker.byEpoch.end());
}

void WorkerTable::record(Hold& hold, Service& service, Result result, TimePoint now)
{
    if (hold.worker == nullptr)
        return;
    Worker& worker = *hold.worker;
    service.results.add(result != Result::Success);
    const bool bad = worker.health.record(result, service.results.share());
    const bool probe = std::exchange(hold.probe, false);
    if (probe && worker.health.state() == Health::State::Probing) {
        if (result != Result::Success)
            worker.health.eject(now);
        else
            worker.health.probeSucceeded();
    } else if (bad && mayEject(worker)) {
        worker.health.eject(now);
    }
    reindex(worker, now);
}

bool WorkerTable::mayEject(const Worker& worker) const
{
    return worker.member && std::all_of(worker.services.begin(), worker.services.end(), [](const Service* service) {
        return (service->ejected.size() + 1) * 2 <= service->memberCount();
    });
}

/// Restores the workers ejected longest ago while more than half of the members are ejected.
void WorkerTable::enforceEjectionLimit(Service& service, TimePoint now)
{
    while (service.ejected.size() * 2 > service.memberCount()) {
        Worker* oldest
            = *std::min_element(service.ejected.begin(), service.ejected.end(), [](const Worker* a, const Worker* b) {
                  return std::pair(a->health.until(), a->lastUse) < std::pair(b->health.until(), b->lastUse);
              });
        oldest->health.restore();
        reindex(*oldest, now);
    }
}

void WorkerTable::sweep(TimePoint now)
{
    for (auto& [id, service] : m_services) {
        service->paidLink.deposit(100 * paidLinkFloorPerSecond / sweepsPerSecond);
        if (!service->queue.empty())
            markDirty(*service);
        const std::vector<Worker*> ejected(service->ejected.begin(), service->ejected.end());
        for (Worker* worker : ejected) {
            if (worker->health.state() == Health::State::Ejected && worker->health.until() <= now)
                worker->health.beginProbing();
            else if (worker->health.state() == Health::State::Probing && !worker->health.probeInFlight()
                && worker->health.until() + Health::maxEjection <= now)
                worker->health.restore(); // No repeatable request came to probe it.
            reindex(*worker, now);
        }
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker& worker = *it->second;
        const auto current = it++;
        if (!worker.listed && worker.inUse == 0 && !isUsable(worker, now) && worker.grant.slots == 0)
            m_workers.erase(current);
        else if (worker.indexedSlots > 0 && worker.grant.expires <= now)
            reindex(worker, now);
    }
}

} // namespace turmericpier::routing
