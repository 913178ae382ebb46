#include "turmericpier/decision/grant-policy.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cmath>
#include <queue>
#include <set>
#include <string_view>
#include <tuple>

namespace turmericpier::decision {

namespace {

    using std::chrono::duration;

    // Network distance between an entry and a pool, nearest first.
    enum Tier : size_t {
        SameDataCentre,
        SameRegion,
        PaidLink,
        tierCount,
    };

    struct WorkerState {
        const GrantWorker* worker = nullptr;
        int64_t free = 0; ///< Slots that no entry may use.
        int64_t freeConnections = 0;
        int64_t connectionsPerSlot = 1;
        size_t pool = 0;
    };

    // Index of a worker that is not in the input, or of an entry that is not in the input or not alive.
    constexpr size_t unknownIndex = SIZE_MAX;

    // An existing or new grant during planning.
    struct GrantState {
        const StandingGrant* standing = nullptr; ///< Null for a new grant.
        size_t worker = unknownIndex;
        size_t entry = unknownIndex;
        uint32_t slots = 0; ///< Planned number.
        uint32_t occupied = 0; ///< Slots that the entry may use at present.
    };

    // Workers of one data centre that accept the same services.
    struct Pool {
        DataCentreId dataCentre;
        RegionId region;
        std::vector<ServiceId> services;
        std::vector<size_t> workers;
        int64_t slots = 0;
        int64_t unallocated = 0; ///< Slots not yet allocated to any claim.
    };

    // Passes of the allocation: every claim gets its floor before any claim gets more.
    enum class Goal {
        Floor,
        GrowThreshold,
        Desired,
    };

    // The slots that an entry should have for a service.
    struct Claim {
        size_t entry = 0;
        ServiceId service;
        int64_t demand = 0;
        int64_t desired = 0; ///< Demand with headroom, at least the floor.
        int64_t floor = 0;
        int64_t growThreshold = 0; ///< Grants grow when the entry has fewer slots.
        int64_t allocated = 0;

        int64_t slotsFor(Goal goal) const
        {
            return goal == Goal::Floor ? floor : goal == Goal::GrowThreshold ? growThreshold : desired;
        }
    };

    // Slots of one entry in one pool.
    struct EntryPool {
        int64_t growThreshold = 0;
        int64_t needed = 0; ///< Slots for the floors and for demand with headroom.
        int64_t target = 0; ///< Needed slots and the entry's part of the spare slots.
        int64_t granted = 0; ///< Planned slots of all grants of the entry in this pool.
        bool shrunk = false; ///< Set when this call has withdrawn slots, so that they are not granted again at once.
        std::vector<size_t> grants; ///< Indexes into Planner::m_grants, ordered by worker.
    };

    // Splits `amount` in proportion to the weights (largest remainder method). No part exceeds its weight.
    std::vector<int64_t> splitByWeight(int64_t amount, const std::vector<int64_t>& weights)
    {
        int64_t total = 0;
        for (int64_t weight : weights)
            total += weight;
        if (total <= amount)
            return weights;
        std::vector<int64_t> parts(weights.size());
        std::vector<std::pair<int64_t, size_t>> remainders;
        int64_t remaining = amount;
        for (size_t i = 0; i < weights.size(); ++i) {
            parts[i] = amount * weights[i] / total;
            remaining -= parts[i];
            remainders.emplace_back(-(amount * weights[i] % total), i);
        }
        std::sort(remainders.begin(), remainders.end());
        for (size_t i = 0; i < remainders.size() && remaining > 0; ++i, --remaining)
            ++parts[remainders[i].second];
        return parts;
    }

    // Computes the changes of one GrantPolicy::plan() call.
    class Planner {
    public:
        Planner(const GrantPolicyOptions& options, const GrantInput& input)
            : m_options(options)
            , m_input(input)
        {
            indexWorkers();
            indexEntries();
            indexGrants();
        }

        void addClaim(size_t entry, const ServiceId& service, double demand)
        {
            m_claims.push_back({ entry, service, std::llround(std::ceil(demand)),
                std::llround(std::ceil(demand * m_options.headroom)) });
        }
        const std::vector<const GrantEntry*>& entries() const { return m_entries; }
        std::vector<GrantChange> run();

    private:
        void indexWorkers();
        void indexEntries();
        void indexGrants();
        Tier tierOf(size_t entry, const Pool& pool) const;
        void setFloors();
        void allocate(Goal goal);
        void allocateTier(Goal goal, Tier tier);
        void distributeSpare();
        int64_t shortageIn(size_t pool) const;
        void shrinkPool(size_t pool);
        void shrink(EntryPool& entryPool, int64_t count);
        void growPool(size_t pool);
        void resize(GrantState& grant, uint32_t slots);
        GrantState& grantFor(size_t entry, size_t worker);
        std::vector<GrantChange> changes() const;

        const GrantPolicyOptions& m_options;
        const GrantInput& m_input;
        std::vector<WorkerState> m_workers;
        // The hash maps are used for lookups only and never iterated: their order differs between processes.
        absl::flat_hash_map<std::string_view, size_t> m_workerIndex;
        std::vector<Pool> m_pools;
        std::vector<const GrantEntry*> m_entries;
        absl::flat_hash_map<std::string_view, size_t> m_entryIndex;
        std::vector<GrantState> m_grants; ///< Existing grants by worker, entry and epoch, then new ones.
        /// Index of the grant that may change, by entry and worker.
        absl::flat_hash_map<std::pair<size_t, size_t>, size_t> m_grantIndex;
        std::vector<std::vector<EntryPool>> m_entryPools; ///< By pool and entry.
        std::vector<Claim> m_claims;
    };

    void Planner::indexWorkers()
    {
        m_workers.resize(m_input.workers.size());
        for (size_t i = 0; i < m_workers.size(); ++i)
            m_workers[i].worker = &m_input.workers[i];
        std::sort(m_workers.begin(), m_workers.end(),
            [](const WorkerState& a, const WorkerState& b) { return a.worker->worker < b.worker->worker; });
        // A worker that is listed twice counts once.
        const auto same
            = [](const WorkerState& a, const WorkerState& b) { return a.worker->worker == b.worker->worker; };
        m_workers.erase(std::unique(m_workers.begin(), m_workers.end(), same), m_workers.end());
        const auto before = [](const GrantWorker* a, const GrantWorker* b) {
            return std::tie(a->region, a->dataCentre, a->services) < std::tie(b->region, b->dataCentre, b->services);
        };
        std::map<const GrantWorker*, size_t, decltype(before)> pools(before);
        m_workerIndex.reserve(m_workers.size());
        for (size_t i = 0; i < m_workers.size(); ++i) {
            WorkerState& state = m_workers[i];
            const GrantWorker& worker = *state.worker;
            m_workerIndex.emplace(worker.worker.str(), i);
            // A slot without a connection cannot be used.
            state.free = std::min(worker.slots, worker.connections);
            state.freeConnections = worker.connections;
            state.connectionsPerSlot = state.free > 0 ? state.freeConnections / state.free : 1;
            auto [it, added] = pools.try_emplace(&worker, m_pools.size());
            if (added) {
                m_pools.push_back({ worker.dataCentre, worker.region, worker.services, {}, 0, 0 });
                std::sort(m_pools.back().services.begin(), m_pools.back().services.end());
            }
            state.pool = it->second;
            if (worker.leaving)
                continue;
            m_pools[state.pool].workers.push_back(i);
            m_pools[state.pool].slots += state.free;
        }
    }

    void Planner::indexEntries()
    {
        for (const GrantEntry& entry : m_input.entries) {
            if (entry.alive)
                m_entries.push_back(&entry);
        }
        std::sort(m_entries.begin(), m_entries.end(),
            [](const GrantEntry* a, const GrantEntry* b) { return a->entry < b->entry; });
        for (size_t i = 0; i < m_entries.size(); ++i)
            m_entryIndex.emplace(m_entries[i]->entry.str(), i);
        m_entryPools.assign(m_pools.size(), std::vector<EntryPool>(m_entries.size()));
    }

    void Planner::indexGrants()
    {
        const auto indexOf = [](const auto& index, const std::string& id) {
            auto it = index.find(id);
            return it == index.end() ? unknownIndex : it->second;
        };
        m_grants.reserve(m_input.grants.size());
        for (const StandingGrant& grant : m_input.grants)
            m_grants.push_back(
                { &grant, indexOf(m_workerIndex, grant.worker.str()), indexOf(m_entryIndex, grant.entry.str()),
                    grant.slots, std::max({ grant.slots, grant.heldSlots, grant.inUse }) });
        std::stable_sort(m_grants.begin(), m_grants.end(), [](const GrantState& a, const GrantState& b) {
            return std::tie(a.worker, a.entry, a.standing->epoch) < std::tie(b.worker, b.entry, b.standing->epoch);
        });
        m_grantIndex.reserve(m_grants.size());
        for (size_t i = 0; i < m_grants.size(); ++i) {
            GrantState& grant = m_grants[i];
            if (grant.worker == unknownIndex) {
                grant.slots = 0;
                continue;
            }
            WorkerState& worker = m_workers[grant.worker];
            worker.free -= grant.occupied;
            worker.freeConnections -= std::max(grant.standing->connections, grant.standing->heldConnections);
            if (grant.entry == unknownIndex || worker.worker->leaving) {
                // The slots of a lost entry cannot be allocated until its lease has expired.
                if (!worker.worker->leaving)
                    m_pools[worker.pool].slots -= grant.occupied;
                grant.slots = 0;
            } else if (grant.slots > 0) {
                auto [it, added] = m_grantIndex.try_emplace({ grant.entry, grant.worker }, i);
                if (!added) { // Only the grant of the latest epoch is kept.
                    m_grants[it->second].slots = 0;
                    it->second = i;
                }
            }
        }
        for (size_t i = 0; i < m_grants.size(); ++i) {
            const GrantState& grant = m_grants[i];
            if (grant.slots == 0)
                continue;
            EntryPool& entryPool = m_entryPools[m_workers[grant.worker].pool][grant.entry];
            entryPool.granted += grant.slots;
            entryPool.grants.push_back(i);
        }
    }

    Tier Planner::tierOf(size_t entry, const Pool& pool) const
    {
        const GrantEntry& state = *m_entries[entry];
        if (state.region != pool.region)
            return PaidLink;
        return state.dataCentre == pool.dataCentre ? SameDataCentre : SameRegion;
    }

    void Planner::setFloors()
    {
        int64_t slots = 0;
        for (Pool& pool : m_pools) {
            pool.unallocated = pool.slots;
            slots += pool.slots;
        }
        // An entry that has no demand at present but still keeps its floor counts like an entry with one request.
        std::vector<int64_t> desiredOfEntry(m_entries.size());
        int64_t totalDesired = 0;
        for (const Claim& claim : m_claims) {
            desiredOfEntry[claim.entry] += std::max<int64_t>(1, claim.desired);
            totalDesired += std::max<int64_t>(1, claim.desired);
        }
        for (Claim& claim : m_claims) {
            const auto weight = static_cast<double>(std::max<int64_t>(1, claim.desired));
            const double part = weight / static_cast<double>(desiredOfEntry[claim.entry]);
            const double share
                = m_options.floorShare * static_cast<double>(slots) * weight / static_cast<double>(totalDesired);
            claim.floor = std::llround(std::ceil(m_options.floorSlots * part));
            claim.floor = std::max(claim.floor, std::min<int64_t>(claim.desired, std::llround(share)));
            claim.desired = std::max(claim.desired, claim.floor);
            const auto growThreshold
                = std::llround(std::ceil(m_options.growMargin * static_cast<double>(claim.demand)));
            claim.growThreshold = std::clamp<int64_t>(growThreshold, claim.floor, claim.desired);
        }
    }

    void Planner::allocate(Goal goal)
    {
        for (size_t tier = 0; tier < tierCount; ++tier)
            allocateTier(goal, static_cast<Tier>(tier));
    }

    void Planner::allocateTier(Goal goal, Tier tier)
    {
        // In each round a claim requests slots from the pools in proportion to their unallocated slots. What one pool
        // could not provide is requested from the others in the next round; after three rounds the rest is negligible.
        constexpr int rounds = 3;
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::vector<std::pair<size_t, int64_t>>> requested(m_pools.size());
            for (size_t i = 0; i < m_claims.size(); ++i) {
                const Claim& claim = m_claims[i];
                // Over the paid link a claim gets its floor and its demand, but no headroom.
                const int64_t goalSlots = tier == PaidLink
                    ? std::min(claim.slotsFor(goal), std::max(claim.floor, claim.demand))
                    : claim.slotsFor(goal);
                const int64_t missing = goalSlots - claim.allocated;
                if (missing <= 0)
                    continue;
                std::vector<int64_t> available(m_pools.size());
                for (size_t p = 0; p < m_pools.size(); ++p) {
                    const Pool& pool = m_pools[p];
                    if (pool.unallocated > 0 && tierOf(claim.entry, pool) == tier
                        && std::binary_search(pool.services.begin(), pool.services.end(), claim.service))
                        available[p] = pool.unallocated;
                }
                const auto parts = splitByWeight(missing, available);
                for (size_t p = 0; p < m_pools.size(); ++p) {
                    if (parts[p] > 0)
                        requested[p].emplace_back(i, parts[p]);
                }
            }
            for (size_t p = 0; p < m_pools.size(); ++p) {
                std::vector<int64_t> weights;
                for (const auto& [claim, amount] : requested[p])
                    weights.push_back(amount);
                const auto parts = splitByWeight(m_pools[p].unallocated, weights);
                for (size_t i = 0; i < parts.size(); ++i) {
                    Claim& claim = m_claims[requested[p][i].first];
                    claim.allocated += parts[i];
                    m_pools[p].unallocated -= parts[i];
                    EntryPool& entryPool = m_entryPools[p][claim.entry];
                    entryPool.needed += parts[i];
                    if (goal != Goal::Desired)
                        entryPool.growThreshold += parts[i];
                }
            }
        }
    }

    void Planner::distributeSpare()
    {
        for (size_t p = 0; p < m_pools.size(); ++p) {
            const Pool& pool = m_pools[p];
            std::vector<int64_t> weights(m_entries.size());
            for (const Claim& claim : m_claims) {
                // splitByWeight() limits each part to its weight; the factor makes the weights too large for that.
                if (tierOf(claim.entry, pool) == SameDataCentre
                    && std::binary_search(pool.services.begin(), pool.services.end(), claim.service))
                    weights[claim.entry] += std::max<int64_t>(1, claim.desired) * pool.slots;
            }
            const auto spare = std::llround(std::floor(m_options.spareShare * static_cast<double>(pool.unallocated)));
            const auto parts = splitByWeight(spare, weights);
            for (size_t entry = 0; entry < m_entries.size(); ++entry)
                m_entryPools[p][entry].target = m_entryPools[p][entry].needed + parts[entry];
        }
    }

    int64_t Planner::shortageIn(size_t pool) const
    {
        // No slots need to be withdrawn for what is free now or will be once pending withdrawals are confirmed.
        int64_t shortage = 0;
        for (size_t worker : m_pools[pool].workers)
            shortage -= std::max<int64_t>(0, m_workers[worker].free);
        for (const EntryPool& entryPool : m_entryPools[pool]) {
            if (entryPool.granted < entryPool.growThreshold)
                shortage += entryPool.needed - entryPool.granted;
            for (size_t index : entryPool.grants) {
                const StandingGrant& grant = *m_grants[index].standing;
                shortage -= std::max(grant.heldSlots, grant.slots) - grant.slots;
            }
        }
        return shortage;
    }

    void Planner::shrinkPool(size_t pool)
    {
        int64_t shortage = shortageIn(pool);
        for (size_t entry = 0; entry < m_entries.size(); ++entry) {
            EntryPool& entryPool = m_entryPools[pool][entry];
            const bool paid = tierOf(entry, m_pools[pool]) == PaidLink;
            const auto bound = paid
                ? entryPool.target
                : std::llround(m_options.shrinkFactor * static_cast<double>(entryPool.target)) + m_options.shrinkSlack;
            // For a shortage of other entries, only slots above the entry's own need are withdrawn, and no more than
            // the shortage.
            const int64_t count = entryPool.granted > bound ? entryPool.granted - entryPool.target
                                                            : std::min(entryPool.granted - entryPool.needed, shortage);
            if (count <= 0)
                continue;
            shrink(entryPool, count);
            entryPool.shrunk = true;
            shortage -= count;
        }
    }

    void Planner::shrink(EntryPool& entryPool, int64_t count)
    {
        // Grants with the most idle slots shrink first, then the largest, so that the entry keeps many workers.
        using Item = std::tuple<int64_t, uint32_t, size_t>;
        std::priority_queue<Item> queue;
        const auto push = [&](size_t index) {
            const GrantState& grant = m_grants[index];
            if (grant.slots > 0)
                queue.emplace(int64_t { grant.slots } - grant.standing->inUse, grant.slots, index);
        };
        for (size_t index : entryPool.grants)
            push(index);
        for (; count > 0 && !queue.empty(); --count) {
            const size_t index = std::get<2>(queue.top());
            queue.pop();
            --m_grants[index].slots;
            --entryPool.granted;
            push(index);
        }
    }

    GrantState& Planner::grantFor(size_t entry, size_t worker)
    {
        auto [it, added] = m_grantIndex.try_emplace({ entry, worker }, m_grants.size());
        if (added) {
            m_grants.push_back({ nullptr, worker, entry });
        }
        return m_grants[it->second];
    }

    void Planner::resize(GrantState& grant, uint32_t slots)
    {
        WorkerState& worker = m_workers[grant.worker];
        const auto held = [&](uint32_t count) {
            return grant.standing ? std::max({ count, grant.standing->heldSlots, grant.standing->inUse }) : count;
        };
        const auto heldConnections = [&](uint32_t count) {
            const auto connections = static_cast<uint32_t>(count * worker.connectionsPerSlot);
            return grant.standing
                ? std::max({ connections, grant.standing->heldConnections, grant.standing->connections })
                : connections;
        };
        worker.free -= int64_t { held(slots) } - held(grant.slots);
        worker.freeConnections -= int64_t { heldConnections(slots) } - heldConnections(grant.slots);
        grant.slots = slots;
    }

    void Planner::growPool(size_t pool)
    {
        std::vector<EntryPool>& entries = m_entryPools[pool];
        std::vector<int64_t> goals;
        goals.reserve(entries.size());
        for (const EntryPool& entryPool : entries) {
            if (entryPool.granted < entryPool.growThreshold)
                goals.push_back(entryPool.shrunk ? entryPool.needed : entryPool.target);
            else
                goals.push_back(entryPool.granted);
        }
        // Slots of an unconfirmed shrink are granted again first, since the worker still reserves them for the entry.
        for (size_t entry = 0; entry < entries.size(); ++entry) {
            EntryPool& entryPool = entries[entry];
            for (size_t index : entryPool.grants) {
                GrantState& grant = m_grants[index];
                const uint32_t held = grant.standing->heldSlots;
                if (grant.slots >= held || entryPool.granted >= goals[entry])
                    continue;
                const auto restored = std::min<int64_t>(held - grant.slots, goals[entry] - entryPool.granted);
                resize(grant, grant.slots + static_cast<uint32_t>(restored));
                entryPool.granted += restored;
            }
        }
        // Grants one slot at a time on the worker with the most free slots, to the entries in turn. This spreads the
        // slots of an entry over many workers. Each turn starts with a different entry; otherwise every turn would pair
        // the same entries with the same workers.
        std::set<std::pair<int64_t, size_t>> byFree;
        for (size_t worker : m_pools[pool].workers) {
            if (m_workers[worker].free > 0)
                byFree.emplace(-m_workers[worker].free, worker);
        }
        std::vector<size_t> growing;
        for (size_t entry = 0; entry < entries.size(); ++entry)
            growing.push_back(entry);
        while (!byFree.empty()) {
            std::erase_if(growing, [&](size_t entry) { return entries[entry].granted >= goals[entry]; });
            if (growing.empty())
                break;
            for (size_t entry : growing) {
                if (byFree.empty())
                    break;
                const size_t worker = byFree.begin()->second;
                byFree.erase(byFree.begin());
                if (m_workers[worker].freeConnections < m_workers[worker].connectionsPerSlot)
                    continue;
                GrantState& grant = grantFor(entry, worker);
                resize(grant, grant.slots + 1);
                ++entries[entry].granted;
                if (m_workers[worker].free > 0)
                    byFree.emplace(-m_workers[worker].free, worker);
            }
            std::rotate(growing.begin(), growing.begin() + 1, growing.end());
        }
    }

    std::vector<GrantChange> Planner::changes() const
    {
        std::vector<GrantChange> result;
        for (const GrantState& grant : m_grants) {
            const StandingGrant* standing = grant.standing;
            const uint32_t before = standing ? standing->slots : 0;
            if (grant.slots == before)
                continue;
            GrantChange change;
            if (standing) {
                change.worker = standing->worker;
                change.entry = standing->entry;
                change.epoch = standing->epoch;
            } else {
                change.worker = m_workers[grant.worker].worker->worker;
                change.entry = m_entries[grant.entry]->entry;
            }
            using Kind = GrantChange::Kind;
            change.kind = grant.slots == 0 ? Kind::Release
                : !standing                ? Kind::New
                : grant.slots > before     ? Kind::Grow
                                           : Kind::Shrink;
            change.slots = grant.slots;
            if (grant.slots > 0)
                change.connections = static_cast<uint32_t>(grant.slots * m_workers[grant.worker].connectionsPerSlot);
            result.push_back(std::move(change));
        }
        std::sort(result.begin(), result.end(), [](const GrantChange& a, const GrantChange& b) {
            return std::tie(a.worker, a.entry, a.epoch) < std::tie(b.worker, b.entry, b.epoch);
        });
        return result;
    }

    std::vector<GrantChange> Planner::run()
    {
        setFloors();
        allocate(Goal::Floor);
        allocate(Goal::GrowThreshold);
        allocate(Goal::Desired);
        distributeSpare();
        for (size_t pool = 0; pool < m_pools.size(); ++pool) {
            shrinkPool(pool);
            growPool(pool);
        }
        return changes();
    }

} // namespace

GrantPolicy::GrantPolicy(GrantPolicyOptions options)
    : m_options(options)
{
}

double GrantPolicy::recentDemand(const InstanceId& entry, const GrantDemand& demand, TimePoint now)
{
    const auto current = static_cast<double>(uint64_t { demand.waiting } + demand.running);
    auto it = m_peaks.find({ entry, demand.service });
    if (it == m_peaks.end()) {
        if (current <= 0)
            return 0;
        it = m_peaks.try_emplace({ entry, demand.service }).first;
    }
    Peak& peak = it->second;
    const double halfLives = duration<double>(now - peak.at) / duration<double>(m_options.demandHalfLife);
    const double decayed = peak.value * std::exp2(-std::max(0.0, halfLives));
    // A decayed peak below half a request counts as no demand.
    peak = { std::max(current, decayed < 0.5 ? 0.0 : decayed), now, current > 0 ? now : peak.lastDemand };
    return peak.value;
}

std::vector<GrantChange> GrantPolicy::plan(const GrantInput& input, TimePoint now)
{
    Planner planner(m_options, input);
    for (const GrantEntry* entry : planner.entries()) {
        for (const GrantDemand& demand : entry->demand)
            recentDemand(entry->entry, demand, now);
    }
    std::erase_if(m_peaks, [&](const auto& item) { return now - item.second.lastDemand > m_options.floorRetention; });
    for (size_t i = 0; i < planner.entries().size(); ++i) {
        const InstanceId& entry = planner.entries()[i]->entry;
        for (auto it = m_peaks.lower_bound({ entry, {} }); it != m_peaks.end() && it->first.entry == entry; ++it)
            planner.addClaim(i, it->first.service, recentDemand(entry, { it->first.service }, now));
    }
    return planner.run();
}

} // namespace turmericpier::decision
