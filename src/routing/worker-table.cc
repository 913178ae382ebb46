#include "routing/worker-table.h"

namespace turmericpier::routing {

namespace {

    // Tokens per second that every service gets, so that a service with few requests can use the paid link at all.
    constexpr uint32_t paidLinkFloorPerSecond = 10;
    constexpr uint32_t sweepsPerSecond = 5;

    Distance distanceTo(const WorkerInfo& worker, const RouterOptions& options)
    {
        if (worker.dataCentre == options.dataCentre)
            return Distance::DataCentre;
        return worker.region == options.region ? Distance::Region : Distance::PaidLink;
    }

    bool isSameInfo(const WorkerInfo& a, const WorkerInfo& b)
    {
        return a.leaving == b.leaving && a.incarnation == b.incarnation && a.dataCentre == b.dataCentre
            && a.region == b.region && a.services == b.services;
    }

    void updateIndex(WorkerSet& set, bool wanted, bool present, const WorkerOrder& before, const WorkerOrder& after)
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
    constexpr int64_t weight = 8; // The new value has a weight of 1/8 in the moving average.
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
    ++m_updates;
    for (WorkerInfo& info : workers) {
        Worker& known = worker(info.worker);
        known.workersUpdate = m_updates;
        if (!known.listed || !isSameInfo(known.info, info))
            applyInfo(known, std::move(info), now);
    }
    for (auto& [id, known] : m_workers) {
        if (known->listed && known->workersUpdate != m_updates) {
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
        worker.health = Health(); // The results of the previous process say nothing about the new one.
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
    ++m_updates;
    for (Grant& grant : grants) {
        Worker& known = worker(grant.worker);
        known.grantsUpdate = m_updates;
        const bool sameCapacity = known.grant.slots == grant.slots && known.grant.expires > now && grant.expires > now;
        known.grant = std::move(grant);
        if (!sameCapacity)
            reindex(known, now);
    }
    for (auto& [id, known] : m_workers) {
        if (known->grant.slots > 0 && known->grantsUpdate != m_updates) {
            known->grant.slots = 0;
            reindex(*known, now);
        }
    }
}

bool WorkerTable::isUsable(const Worker& worker, TimePoint now) const
{
    return worker.listed && !worker.info.leaving && worker.grant.slots > 0 && worker.grant.expires > now;
}

/// Updates the indexes of the worker's services to its current state. Takes O(services of the worker * log n).
void WorkerTable::reindex(Worker& worker, TimePoint now)
{
    const Health::State state = worker.health.state();
    const bool member = worker.listed && !worker.info.leaving;
    const bool ejected = member && state != Health::State::Normal;
    const bool usable = isUsable(worker, now);
    const bool hasFreeSlot = usable && worker.inUse < worker.grant.slots;
    const bool free = hasFreeSlot && state == Health::State::Normal;
    const bool probe = hasFreeSlot && state == Health::State::Probing && !worker.health.probeInFlight();
    const uint32_t slots = usable && state == Health::State::Normal ? worker.grant.slots : 0;
    constexpr uint32_t loadScale = 1'000;
    const WorkerOrder order(worker.inUse * loadScale / std::max(1U, worker.grant.slots), worker.lastUse, &worker);
    const size_t at = size_t(worker.distance);
    for (Service* service : worker.services) {
        updateIndex(service->free[at], free, worker.indexedFree, worker.order, order);
        updateIndex(service->probes[at], probe, worker.indexedProbe, worker.order, order);
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

/// Returns the first usable worker of the set that is not in `avoid`, or null. Unusable workers, for example with an
/// expired grant, are removed from the set.
Worker* WorkerTable::firstUsable(WorkerSet& set, const absl::InlinedVector<Worker*, 4>* avoid, TimePoint now)
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
        ++it; // Happens at most once per worker in `avoid`.
    }
    return nullptr;
}

Worker* WorkerTable::selectWorker(
    Service& service, bool repeatable, const absl::InlinedVector<Worker*, 4>& avoid, TimePoint now)
{
    constexpr size_t paid = size_t(Distance::PaidLink);
    for (size_t at = 0; repeatable && at < paid; ++at)
        if (Worker* worker = firstUsable(service.probes[at], &avoid, now))
            return worker;
    for (size_t at = 0; at < paid; ++at)
        if (Worker* worker = firstUsable(service.free[at], &avoid, now))
            return worker;
    if (!avoid.empty())
        for (size_t at = 0; at < paid; ++at)
            if (Worker* worker = firstUsable(service.free[at], nullptr, now))
                return worker;
    Worker* remote = repeatable ? firstUsable(service.probes[paid], &avoid, now) : nullptr;
    if (remote == nullptr)
        remote = firstUsable(service.free[paid], &avoid, now);
    if (remote == nullptr && !avoid.empty())
        remote = firstUsable(service.free[paid], nullptr, now);
    return remote != nullptr && service.paidLink.tryTake() ? remote : nullptr;
}

SlotReservation WorkerTable::reserve(Worker& worker, TimePoint now)
{
    SlotReservation reservation { &worker, worker.grant.epoch, worker.info.incarnation };
    if (worker.health.state() == Health::State::Probing) {
        reservation.probe = true;
        worker.health.startProbe();
    }
    ++worker.inUse;
    worker.lastUse = ++m_uses;
    const auto found = std::find_if(worker.inUseByEpoch.begin(), worker.inUseByEpoch.end(),
        [&](const auto& use) { return use.first == reservation.epoch; });
    if (found != worker.inUseByEpoch.end())
        ++found->second;
    else
        worker.inUseByEpoch.emplace_back(reservation.epoch, 1);
    reindex(worker, now);
    return reservation;
}

void WorkerTable::release(SlotReservation& reservation, TimePoint now)
{
    if (reservation.worker == nullptr)
        return;
    Worker& worker = *std::exchange(reservation.worker, nullptr);
    --worker.inUse;
    const auto found = std::find_if(worker.inUseByEpoch.begin(), worker.inUseByEpoch.end(),
        [&](const auto& use) { return use.first == reservation.epoch; });
    if (found != worker.inUseByEpoch.end() && --found->second == 0)
        worker.inUseByEpoch.erase(found);
    if (reservation.probe)
        worker.health.abandonProbe();
    reindex(worker, now);
}

bool WorkerTable::mayDispatch(const SlotReservation& reservation, TimePoint now) const
{
    const Worker& worker = *reservation.worker;
    const Health::State state = worker.health.state();
    return isUsable(worker, now) && worker.inUse <= worker.grant.slots
        && worker.info.incarnation == reservation.incarnation
        && (state == Health::State::Normal || (reservation.probe && state == Health::State::Probing));
}

void WorkerTable::refreshEpoch(SlotReservation& reservation)
{
    Worker& worker = *reservation.worker;
    if (reservation.epoch == worker.grant.epoch)
        return;
    for (auto& [epoch, count] : worker.inUseByEpoch)
        count -= epoch == reservation.epoch ? 1 : 0;
    reservation.epoch = worker.grant.epoch;
    const auto found = std::find_if(worker.inUseByEpoch.begin(), worker.inUseByEpoch.end(),
        [&](const auto& use) { return use.first == reservation.epoch; });
    if (found != worker.inUseByEpoch.end())
        ++found->second;
    else
        worker.inUseByEpoch.emplace_back(reservation.epoch, 1);
    worker.inUseByEpoch.erase(std::remove_if(worker.inUseByEpoch.begin(), worker.inUseByEpoch.end(),
                                  [](const auto& use) { return use.second == 0; }),
        worker.inUseByEpoch.end());
}

void WorkerTable::record(SlotReservation& reservation, Service& service, Result result, TimePoint now)
{
    if (reservation.worker == nullptr)
        return;
    Worker& worker = *reservation.worker;
    service.results.add(result != Result::Success);
    const bool shouldEject = worker.health.record(result, service.results.rate());
    const bool probe = std::exchange(reservation.probe, false);
    if (probe && worker.health.state() == Health::State::Probing) {
        if (result != Result::Success)
            worker.health.eject(now);
        else
            worker.health.recordProbeSuccess();
    } else if (shouldEject && mayEject(worker)) {
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

/// Restores ejected workers, in the order in which their ejections end, until at most half of the members are ejected.
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
                worker->health.restore(); // No repeatable request has arrived to probe it.
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
