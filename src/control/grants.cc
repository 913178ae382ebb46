#include "control/grants.h"

#include "peer_generated.h"

#include <algorithm>

namespace turmericpier::control {

namespace {
    bool acceptsRequests(const ControlState& state, const rpc::WorkerReport& worker)
    {
        return worker.services_size() > 0 && !worker.leaving() && !state.drained().count(WorkerId(worker.worker()));
    }
} // namespace

GrantManager::GrantManager(GrantOptions options, const ControlState& state, TimePoint now)
    : m_options(options)
    , m_policy({})
    , m_nextEpoch(state.nextGrantEpoch())
{
    for (const auto& [key, grant] : state.grants())
        m_renewedAt[key] = now;
}

bool GrantManager::renewLeases(const InstanceId& entry, const ControlState& state, TimePoint now)
{
    for (const auto& [key, epoch] : m_expiring) {
        const auto grant = state.grants().find(key);
        if (key.second == entry && grant != state.grants().end() && grant->second.epoch() == epoch)
            return false;
    }
    for (const auto& [key, grant] : state.grants()) {
        if (key.second == entry)
            m_renewedAt[key] = now;
    }
    return true;
}

bool GrantManager::isExpiring(const log::Grant& grant) const
{
    const auto found = m_expiring.find({ WorkerId(grant.worker()), InstanceId(grant.entry()) });
    return found != m_expiring.end() && found->second == grant.epoch();
}

std::vector<log::Grant> GrantManager::findConfirmedReductions(
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
    const auto renewed = m_renewedAt.find({ WorkerId(grant.worker()), InstanceId(grant.entry()) });
    if (renewed == m_renewedAt.end())
        return false;
    return now > renewed->second + std::chrono::milliseconds(grant.lease_ms()) + m_options.clockSkewBound;
}

std::vector<log::Grant> GrantManager::expireGrants(const ControlState& state, TimePoint now)
{
    std::vector<log::Grant> changes;
    const auto isGone = [&](const auto& item) { return !state.grants().count(item.first); };
    std::erase_if(m_renewedAt, isGone); // A later grant to the same entry must not inherit an old lease.
    std::erase_if(m_expiring, isGone);
    for (const auto& [key, grant] : state.grants()) {
        m_renewedAt.try_emplace(key, now);
        if (!hasExpired(grant, now))
            continue;
        m_expiring[key] = grant.epoch();
        changes.push_back(grant);
        changes.back().set_slots(0);
        changes.back().set_connections(0);
        changes.back().set_held_slots(0);
        changes.back().set_held_connections(0);
    }
    return changes;
}

decision::GrantInput GrantManager::buildPolicyInput(
    const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now) const
{
    decision::GrantInput input;
    for (const auto& [id, worker] : state.workers()) {
        decision::GrantWorker item { id, DataCentreId(worker.data_centre()), RegionId(worker.region()), {},
            worker.slots(), worker.connections(), !acceptsRequests(state, worker) };
        for (const auto& service : worker.services())
            item.services.emplace_back(service);
        input.workers.push_back(std::move(item));
    }
    for (const auto& [id, entry] : entries) {
        const bool isLive = !entry.isDraining && now - entry.lastHeartbeat <= m_options.entryTimeout;
        input.entries.push_back({ id, entry.dataCentre, entry.region, isLive, entry.demand });
    }
    for (const auto& [key, grant] : state.grants()) {
        const auto entry = entries.find(key.second);
        uint32_t inUse = 0;
        if (entry != entries.end()) {
            const auto used = entry->second.slotsInUse.find(key.first);
            inUse = used == entry->second.slotsInUse.end() ? 0 : used->second;
        }
        input.grants.push_back({ key.first, key.second, Epoch { grant.epoch() }, grant.slots(), grant.connections(),
            grant.held_slots(), grant.held_connections(), inUse });
    }
    return input;
}

log::Grant GrantManager::buildGrant(
    const ControlState& state, const EntryInfo* entry, const decision::GrantChange& change)
{
    log::Grant grant;
    const auto existing = state.grants().find({ change.worker, change.entry });
    if (existing != state.grants().end())
        grant = existing->second;
    grant.set_worker(change.worker.str());
    grant.set_entry(change.entry.str());
    grant.set_epoch(m_nextEpoch.value);
    m_nextEpoch = m_nextEpoch.next();
    grant.set_slots(change.slots);
    grant.set_connections(change.connections);
    grant.set_held_slots(std::max(grant.held_slots(), change.slots));
    grant.set_held_connections(std::max(grant.held_connections(), change.connections));
    const bool isLocal = entry && entry->region.str() == state.workers().at(change.worker).region();
    const auto lease = isLocal ? m_options.inRegionLease : m_options.crossRegionLease;
    if (entry)
        grant.set_lease_ms(static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(lease).count()));
    return grant;
}

std::vector<log::Grant> GrantManager::plan(
    const ControlState& state, const std::map<InstanceId, EntryInfo>& entries, TimePoint now)
{
    auto changes = expireGrants(state, now);
    if (!changes.empty())
        return changes;
    for (const auto& change : m_policy.plan(buildPolicyInput(state, entries, now), now)) {
        const auto entry = entries.find(change.entry);
        changes.push_back(buildGrant(state, entry == entries.end() ? nullptr : &entry->second, change));
    }
    return changes;
}

} // namespace turmericpier::control
