#pragma once

#include "decision/packed-resources.h"
#include "decision/tables.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace turmericpier::decision {

/// Order in which a search visits the workers.
enum class SearchOrder {
    LeastFree, ///< Least free resources first.
    MostFree, ///< Most free resources first.
    BothEnds, ///< Half of the results from each end.
};

/// Indexes workers by their free resources, so that a placement decision looks at a bounded number of workers. Workers
/// are kept in buckets by the level of each resource; two levels span a factor of two. One grid of buckets holds all
/// workers, and each data centre has another one for its own.
class PlacementIndex {
public:
    /// Adds the worker or moves it to the bucket of its free resources.
    void update(WorkerIndex worker, uint16_t dataCentre, const PackedResources& free);
    void remove(WorkerIndex worker);
    bool contains(WorkerIndex worker) const;

    /// Free resources of a worker that was added.
    const PackedResources& freeOn(WorkerIndex worker) const { return m_entries[raw(worker)].free; }
    /// Number of workers in the index.
    size_t size() const { return m_all.count; }
    /// One more than the highest data centre number that was added.
    uint16_t dataCentres() const { return static_cast<uint16_t>(m_dataCentres.size()); }
    /// Number of workers in the data centre.
    size_t sizeOf(uint16_t dataCentre) const { return m_dataCentres[dataCentre].count; }
    /// Sum of the free resources in the data centre.
    const Resources& freeOf(uint16_t dataCentre) const { return m_dataCentres[dataCentre].free; }
    /// Sum of the free resources of all workers.
    const Resources& free() const { return m_all.free; }

    /// Fills `out` with up to `limit` workers on which the request fits. `out` is empty only if there is no such
    /// worker.
    void find(const PackedResources& request, SearchOrder order, size_t limit, std::vector<WorkerIndex>& out) const;
    /// Like find(), for the workers of one data centre.
    void findIn(uint16_t dataCentre, const PackedResources& request, SearchOrder order, size_t limit,
        std::vector<WorkerIndex>& out) const;

private:
    static constexpr uint32_t cpuLevels = 32;
    static constexpr uint32_t memoryLevels = 24;
    static constexpr uint32_t acceleratorLevels = 5;
    static constexpr uint32_t rowCount = memoryLevels * acceleratorLevels;
    static constexpr uint32_t bucketCount = rowCount * cpuLevels;

    struct Link {
        WorkerIndex previous = WorkerIndex::None;
        WorkerIndex next = WorkerIndex::None;
    };
    /// Linked lists of workers, one per bucket.
    struct Grid {
        std::array<WorkerIndex, bucketCount> heads;
        std::array<uint32_t, rowCount> cpuMasks {}; ///< Per row, one bit for each bucket that is not empty.
        std::vector<Link> links;
        Resources free;
        size_t count = 0;

        Grid() { heads.fill(WorkerIndex::None); }
        void insert(WorkerIndex worker, uint32_t bucket);
        void erase(WorkerIndex worker, uint32_t bucket);
    };
    struct Entry {
        PackedResources free;
        uint16_t bucket = noBucket;
        uint16_t dataCentre = 0;
    };
    static constexpr uint16_t noBucket = 0xffff;

    struct Levels {
        uint32_t cpu;
        uint32_t memory;
        uint32_t accelerators;
    };
    static Levels levelsOf(const PackedResources& resources);
    static uint32_t bucketOf(const Levels& levels);
    void findInGrid(const Grid& grid, const PackedResources& request, SearchOrder order, size_t limit,
        std::vector<WorkerIndex>& out) const;
    /// Visits up to `probesPerBucket` workers in each bucket at or above the levels of the request, and appends those
    /// on which the request fits until `out` holds `limit` workers.
    void scan(const Grid& grid, const PackedResources& request, bool descending, size_t limit, uint32_t probesPerBucket,
        std::vector<WorkerIndex>& out) const;
    /// Does the same for one bucket. Returns true if `out` has reached `limit`.
    bool scanBucket(const Grid& grid, uint32_t bucket, const PackedResources& request, size_t limit,
        uint32_t probesPerBucket, std::vector<WorkerIndex>& out) const;

    std::vector<Entry> m_entries;
    Grid m_all;
    std::vector<Grid> m_dataCentres;
};

} // namespace turmericpier::decision
