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

/// Table of the workers with their grants and slots in use, indexed so that selecting a worker takes O(log n).
namespace turmericpier::routing {

/// Network distance of a worker from this entry: same data centre, same region, or reached over the paid link.
enum class Distance : uint8_t { DataCentre, Region, PaidLink };
constexpr size_t distanceCount = 3;

struct Worker;

/// Orders workers by load, then least recently used first, so that equally loaded workers are used in turn.
using WorkerOrder = std::tuple<uint32_t, uint64_t, Worker*>;
using WorkerSet = absl::btree_set<WorkerOrder>;

/// Queue, worker indexes and budgets of one service.
struct Service {
    static constexpr uint32_t retryBurst = 10;
    static constexpr uint32_t paidLinkBurst = 10;
    static constexpr uint32_t resultWindow = 1'024;

    ServiceInfo info;
    bool listed = false;
    bool dirty = false; ///< A slot, a worker or a request was added; waiting requests may be dispatched.
    RequestQueue queue;
    uint32_t backingOff = 0; ///< Requests that wait for a retry; they count towards the queue limit.
    uint32_t running = 0;
    std::array<WorkerSet, distanceCount> free; ///< Workers in state Normal with a free slot.
    std::array<WorkerSet, distanceCount> probes; ///< Workers in state Probing with a free slot and no probe in flight.
    std::array<uint32_t, distanceCount> slots {}; ///< Granted slots of workers in state Normal, in use or free.
    std::array<uint32_t, distanceCount> members {}; ///< Listed workers that are not leaving.
    absl::btree_set<Worker*> ejected; ///< Members that are ejected or probing.
    ShareBudget retries { retryBurst };
    ShareBudget paidLink { paidLinkBurst };
    FailureRate results { resultWindow };
    Duration serviceTime { 0 }; ///< Moving average; 0 until the first answer.
    uint32_t arrivals = 0;
    uint32_t arrivalsPerSecond = 0;

    uint32_t memberCount() const { return members[0] + members[1] + members[2]; }
    bool hasLocalMember() const { return members[0] + members[1] > 0; }
    /// Returns the estimated time until a request with `rank` requests ahead of it ends; 0 if there is no data.
    Duration estimate(size_t rank) const;
    /// Adds the service time of one request to the moving average.
    void observe(Duration time);
};

/// One worker with its grant and health, and its state in the indexes of its services.
struct Worker {
    WorkerInfo info;
    Grant grant;
    Distance distance = Distance::PaidLink;
    bool listed = false;
    uint32_t inUse = 0; ///< Slots with a request in flight or reserved for a claim, over all epochs.
    absl::InlinedVector<std::pair<Epoch, uint32_t>, 2> inUseByEpoch;
    std::vector<Service*> services;
    Health health;
    uint64_t lastUse = 0;
    uint64_t workersUpdate = 0; ///< Number of the last update of the worker list that had this worker.
    uint64_t grantsUpdate = 0; ///< Number of the last update of the grants that had this worker.

    // State of this worker in the indexes of its services, as of the last reindex().
    bool member = false;
    bool indexedFree = false;
    bool indexedProbe = false;
    bool indexedEjected = false;
    uint32_t indexedSlots = 0;
    WorkerOrder order;
};

/// Slot reserved for one attempt.
struct SlotReservation {
    Worker* worker = nullptr;
    Epoch epoch;
    Incarnation incarnation;
    bool probe = false; ///< The attempt is a probe of an ejected worker.
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

    /// Returns the nearest, least loaded worker with a free slot, or null. Repeatable requests prefer workers that wait
    /// for a probe. Workers in `avoid` were tried before: they come last among the local workers, and last among those
    /// over the paid link. Using the paid link takes a token of its budget.
    Worker* selectWorker(
        Service& service, bool repeatable, const absl::InlinedVector<Worker*, 4>& avoid, TimePoint now);
    /// Reserves a slot of a worker returned by selectWorker().
    SlotReservation reserve(Worker& worker, TimePoint now);
    /// Frees the slot. Does nothing if the reservation was released before.
    void release(SlotReservation& reservation, TimePoint now);
    /// True if a request may still be sent in a slot that was reserved earlier.
    bool mayDispatch(const SlotReservation& reservation, TimePoint now) const;
    /// Moves the reservation to the epoch of the current grant, before dispatch.
    void refreshEpoch(SlotReservation& reservation);

    /// Records the result of one attempt, and ejects or restores the worker if needed.
    void record(SlotReservation& reservation, Service& service, Result result, TimePoint now);
    /// Handles expired grants and elapsed ejections, removes unlisted workers, and refills the paid link budgets. To be
    /// called every `sweepInterval`.
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
    Worker* firstUsable(WorkerSet& set, const absl::InlinedVector<Worker*, 4>* avoid, TimePoint now);
    bool mayEject(const Worker& worker) const;
    void enforceEjectionLimit(Service& service, TimePoint now);

    const RouterOptions& m_options;
    std::map<ServiceId, std::unique_ptr<Service>> m_services;
    absl::flat_hash_map<ServiceId, Service*> m_serviceIndex;
    absl::flat_hash_map<WorkerId, std::unique_ptr<Worker>> m_workers;
    std::vector<Service*> m_dirty;
    uint64_t m_uses = 0;
    uint64_t m_updates = 0; ///< Number of calls of setWorkers() and setGrants().
};

} // namespace turmericpier::routing
