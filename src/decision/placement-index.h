#pragma once

#include "decision/packed-resources.h"
#include "decision/tables.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace turmericpier::decision {

/// Which workers are looked at first.
enum class SearchOrder {
    LeastFree,
    MostFree,
    BothEnds,
};

/// Workers by the level of their free resources, so that a decision looks at a bounded number of workers. A level is
/// half a power of two. Each data centre has a grid of its own beside that of all workers.
class PlacementIndex {
public:
    /// Adds the worker or moves it to the cell of its free resources.
    void update(WorkerIndex worker, uint16_t dataCentre, const PackedResources& free);
    void remove(WorkerIndex worker);
    bool contains(WorkerIndex worker) const;

    const PackedResources& freeOn(WorkerIndex worker) const { return m_entries[raw(worker)].free; }
    size_t size() const { return m_all.count; }
    uint16_t dataCentres() const { return static_cast<uint16_t>(m_dataCentres.size()); }
    size_t sizeOf(uint16_t dataCentre) const { return m_dataCentres[dataCentre].count; }
    const Resources& freeOf(uint16_t dataCentre) const { return m_dataCentres[dataCentre].free; }
    const Resources& free() const { return m_all.free; }

    /// Fills `out` with up to `limit` workers into which the request fits. It is empty only if there is none.
    void find(const PackedResources& request, SearchOrder order, size_t limit, std::vector<WorkerIndex>& out) const;
    /// The same in one data centre.
    void findIn(uint16_t dataCentre, const PackedResources& request, SearchOrder order, size_t limit,
        std::vector<WorkerIndex>& out) const;

private:
    static constexpr uint32_t cpuLevels = 32;
    static constexpr uint32_t memoryLevels = 24;
    static constexpr uint32_t acceleratorLevels = 5;
    static constexpr uint32_t rows = memoryLevels * acceleratorLevels;
    static constexpr uint32_t cells = rows * cpuLevels;

    struct Link {
        WorkerIndex previous = WorkerIndex::None;
        WorkerIndex next = WorkerIndex::None;
    };
    /// Lists of workers by cell.
    struct Grid {
        std::array<WorkerIndex, cells> heads;
        std::array<uint32_t, rows> cpuMasks {}; ///< Bit set for each cell of the row that has workers.
        std::vector<Link> links;
        Resources free;
        size_t count = 0;

        Grid() { heads.fill(WorkerIndex::None); }
        void insert(WorkerIndex worker, uint32_t cell);
        void erase(WorkerIndex worker, uint32_t cell);
    };
    struct Entry {
        PackedResources free;
        uint16_t cell = noCell;
        uint16_t dataCentre = 0;
    };
    static constexpr uint16_t noCell = 0xffff;

    struct Levels {
        uint32_t cpu;
        uint32_t memory;
        uint32_t accelerators;
    };
    static Levels levelsOf(const PackedResources& resources);
    static uint32_t cellOf(const Levels& levels);
    void findInGrid(const Grid& grid, const PackedResources& request, SearchOrder order, size_t limit,
        std::vector<WorkerIndex>& out) const;
    void scan(const Grid& grid, const PackedResources& request, bool descending, size_t limit, uint32_t probesPerCell,
        std::vector<WorkerIndex>& out) const;
    bool scanCell(const Grid& grid, uint32_t cell, const PackedResources& request, size_t limit, uint32_t probesPerCell,
        std::vector<WorkerIndex>& out) const;

    std::vector<Entry> m_entries;
    Grid m_all;
    std::vector<Grid> m_dataCentres;
};

} // namespace turmericpier::decision
