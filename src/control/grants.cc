#include "control/grants.h"

#include "peer_generated.h"

#include <algorithm>

namespace turmericpier::control {

namespace {
    bool takesRequests(const ControlState& state, const rpc::WorkerReport& worker)
    {
        return worker.services_size() > 0 && !worker.leaving() && !state.drained().count(WorkerId(worker.worker()));
    }

    /// Even share of `total` for the entry at `position` of `count`; remainders start at `offset`.
    uint32_t shareOf(uint32_t total, size_t position, size_t count, size_t offset)
    {
        const auto rank = (position + count - offset % count) % count;
        return static_cast<uint32_t>(total / count + (rank < total % count ? 1 : 0));
    }
} // namespace

GrantManager::GrantManager(GrantOptions options, const ControlState& state, TimePoint now)
    : m_options(options)
    , m_nextEpoch(state.nextGrantEpoch())
{
    for (const auto& [key, grant] : state.grants())
        m_renewed[key] = now;
}

void GrantManager::renewed(const InstanceId& entry, const ControlState& state, TimePoint now)
{
    for (const auto& [key, grant] : state.grants()) {
        if (key.second == entry)
            m_renewed[key] = now;
    }
}

std::vector<log::Grant> GrantManager::confirmed(
    const peer::wire::EntryHeartbeatT& heartbeat, const ControlState& state, Index appliedVersion) const
{
    std::vector<log::Grant> result;
    if (heartbeat.grants_version < appliedVersion.value)
        return result;
    std::map<std::string, uint32_t> inUse;
    for (const auto& held : heartbeat.held)
        inUse[held->worker] = held->in_use;
    for (const auto& [key, grant] : state.grants()) {
        if (key.second.str() != heartbeat.entry || grant.held_slots() <= grant.slots())
            continue;
        const auto used = inUse.find(grant.worker());
        if (used != inUse.end() && used->second > grant.slots())
            continue;
        result.push_back(grant);
        result.back().set_held_slots(grant.slots());
        result.back().set_held_connections(grant.connections());
    }
    return result;
}

bool GrantManager::hasExpired(const log::Grant& grant, TimePoint now) const
{
    const auto renewed = m_renewed.find({ WorkerId(grant.worker()), InstanceId(grant.entry()) });
    if (renewed == m_renewed.end())
        return false;
    return now > renewed->second + std::chrono::milliseconds(grant.lease_ms()) + m_options.clockSkewBound;
}

std::vector<log::Grant> GrantManager::plan(
    const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now)
{
    std::vector<log::Grant> changes;
    for (const auto& [key, grant] : state.grants()) {
        m_renewed.try_emplace(key, now);
        if (hasExpired(grant, now)) {
            changes.push_back(grant);
            changes.back().set_slots(0);
            changes.back().set_connections(0);
            changes.back().set_held_slots(0);
            changes.back().set_held_connections(0);
        }
    }
    if (!changes.empty())
        return changes;
    std::vector<const EntryInfo*> live;
    for (const auto& [id, entry] : entries) {
        if (!entry.isDraining && now - entry.lastHeard <= m_options.entryLost)
            live.push_back(&entry);
    }
    for (const auto& [id, worker] : state.workers())
        planWorker(state, worker, live, changes);
    return changes;
}

void GrantManager::planWorker(const ControlState& state, const rpc::WorkerReport& worker,
    const std::vector<const EntryInfo*>& entries, std::vector<log::Grant>& changes)
{
    const WorkerId id(worker.worker());
    const bool isOpen = takesRequests(state, worker);
    const size_t offset = std::hash<std::string> {}(worker.worker());
    std::map<InstanceId, uint32_t> wanted;
    for (size_t i = 0; isOpen && i < entries.size(); ++i)
        wanted[entries[i]->id] = shareOf(worker.slots(), i, entries.size(), offset);

    uint32_t heldByAll = 0;
    for (auto it = state.grants().lower_bound({ id, InstanceId() });
         it != state.grants().end() && it->first.first == id; ++it) {
        const auto& grant = it->second;
        heldByAll += grant.held_slots();
        const auto share = wanted.find(it->first.second);
        const uint32_t target = share == wanted.end() ? 0 : share->second;
        if (target < grant.slots()) {
            changes.push_back(grant);
            changes.back().set_slots(target);
            changes.back().set_connections(worker.connections() * target / worker.slots());
            changes.back().set_epoch(m_nextEpoch.value);
            m_nextEpoch = m_nextEpoch.next();
        }
    }
    uint32_t free = worker.slots() > heldByAll ? worker.slots() - heldByAll : 0;
    for (const auto* entry : entries) {
        const uint32_t target = wanted[entry->id];
        const auto standing = state.grants().find({ id, entry->id });
        const uint32_t held = standing == state.grants().end() ? 0 : standing->second.held_slots();
        const uint32_t added = std::min(free, target > held ? target - held : 0);
        if (added == 0)
            continue;
        free -= added;
        log::Grant grant;
        grant.set_worker(worker.worker());
        grant.set_entry(entry->id.str());
        grant.set_epoch(m_nextEpoch.value);
        m_nextEpoch = m_nextEpoch.next();
        grant.set_slots(held + added);
        grant.set_connections(worker.connections() * grant.slots() / worker.slots());
        grant.set_held_slots(grant.slots());
        grant.set_held_connections(grant.connections());
        const bool isLocal = entry->region.str() == worker.region();
        const auto lease = isLocal ? m_options.inRegionLease : m_options.crossRegionLease;
        grant.set_lease_ms(static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(lease).count()));
        changes.push_back(grant);
    }
}

} // namespace turmericpier::control
