#pragma once

#include "routing/ejector.h"
#include "routing/request-queue.h"
#include "routing/share-budget.h"
#include "turmericpier/routing/router.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <array>
#include <map>
#include <memory>
#include <tuple>

/// Workers, their grants and slots in use, indexed so that picking a worker takes O(log n).
namespace turmericpier::routing {

/// How far a worker is from the entry.
enum class Distance : uint8_t { DataCentre, Region, PaidLink };
constexpr size_t distances = 3;

struct Worker;

/// Orders workers by load, then by the least recent use, so that equal workers take turns.
using WorkerOrder = std::tuple<uint32_t, uint64_t, Worker*>;
using WorkerSet = absl::btree_set<WorkerOrder>;

struct Service {
    static constexpr uint32_t retryBurst = 10;
    static constexpr uint32_t paidLinkBurst = 10;
    static constexpr uint32_t resultWindow = 1'024;

    ServiceInfo info;
    bool listed = false;
    bool dirty = false; ///< To be pumped: a slot, a worker or a request was added.
    RequestQueue queue;
    uint32_t backingOff = 0; ///< Waiting for a retry; counted against the queue limit.
    uint32_t running = 0;
    std::array<WorkerSet, distances> free; ///< Healthy workers with a free slot.
    std::array<WorkerSet, distances> probes; ///< Ejected workers that wait for a probe.
    std::array<uint32_t, distances> slots {}; ///< Granted slots of healthy workers, free or not.
    std::array<uint32_t, distances> members {}; ///< Listed workers that are not leaving.
    absl::btree_set<Worker*> ejected; ///< Members that are ejected or probing.
    ShareBudget retries { retryBurst };
    ShareBudget paidLink { paidLinkBurst };
    FailureShare results { resultWindow };
    Duration serviceTime { 0 }; ///< Smoothed; 0 until the first answer.
    uint32_t arrivals = 0;
    uint32_t arrivalsPerSecond = 0;

    uint32_t memberCount() const { return members[0] + members[1] + members[2]; }
    bool hasLocalMember() const { return members[0] + members[1] > 0; }
    /// Estimated time to the end of a request with `rank` requests ahead of it; 0 if nothing is known.
    Duration estimate(size_t rank) const;
    void observe(Duration time);
};

struct Worker {
    WorkerInfo info;
    Grant grant;
    Distance distance = Distance::PaidLink;
    bool listed = false;
    uint32_t inUse = 0; ///< Requests in flight and reserved for a claim, under all epochs.
    absl::InlinedVector<std::pair<Epoch, uint32_t>, 2> byEpoch;
    std::vector<Service*> services;
    Health health;
    uint64_t lastUse = 0;
    uint64_t workersRound = 0;
    uint64_t grantsRound = 0;

    // What the services' indexes hold of this worker.
    bool member = false;
    bool indexedFree = false;
    bool indexedProbe = false;
    bool indexedEjected = false;
    uint32_t indexedSlots = 0;
    WorkerOrder order;
};

/// Slot held by one attempt.
struct Hold {
    Worker* worker = nullptr;
    Epoch epoch;
    Incarnation incarnation;
    bool probe = false;
};

class WorkerTable {
public:
    static constexpr Duration sweepInterval = std::chrono::milliseconds(200);

    explicit WorkerTable(const RouterOptions& options);

    Service& service(const ServiceId& id);
    Service* findService(const ServiceId& id);
    void setServices(std::vector<ServiceInfo> services);
    void setWorkers(std::vector<WorkerInfo> workers, TimePoint now);
    void setGrants(std::vector<Grant> grants, TimePoint now);

    /// Best worker with a free slot for a request of the service, or null. `avoid` lists workers tried before.
    Worker* pick(Service& service, bool repeatable, const absl::InlinedVector<Worker*, 4>& avoid, TimePoint now);
    /// Takes a slot of a worker returned by pick().
    Hold take(Worker& worker, TimePoint now);
    void release(Hold& hold, TimePoint now);
    /// True if a request may be sent now in a slot that was taken earlier.
    bool mayUse(const Hold& hold, TimePoint now) const;
    /// Moves the slot to the current grant's epoch before dispatch.
    void refreshEpoch(Hold& hold);

    /// Result of one attempt, for ejection.
    void record(Hold& hold, Service& service, Result result, TimePoint now);
    /// Expired grants, ejections that end, and the paid link's floor. Called every `sweepInterval`.
    void sweep(TimePoint now);

    std::vector<Service*> takeDirty() { return std::exchange(m_dirty, {}); }
    void markDirty(Service& service);

    const std::map<ServiceId, std::unique_ptr<Service>>& services() const { return m_services; }
    const absl::flat_hash_map<WorkerId, std::unique_ptr<Worker>>& workers() const { return m_workers; }

private:
    Worker& worker(const WorkerId& id);
    void reindex(Worker& worker, TimePoint now);
    void unindexMember(Worker& worker);
    void applyInfo(Worker& worker, WorkerInfo info, TimePoint now);
    bool isUsable(const Worker& worker, TimePoint now) const;
    Worker* first(WorkerSet& set, const absl::InlinedVector<Worker*, 4>* avoid, TimePoint now);
    bool mayEject(const Worker& worker) const;
    void enforceEjectionLimit(Service& service, TimePoint now);

    const RouterOptions& m_options;
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    absl::flat_hash_map<ServiceId, Service*> m_serviceIndex;
    absl::flat_hash_map<WorkerId, std::unique_ptr<Worker>> m_workers;
    std::vector<Service*> m_dirty;
    uint64_t m_uses = 0;
    uint64_t m_round = 0;
};

} // namespace turmericpier::routing
