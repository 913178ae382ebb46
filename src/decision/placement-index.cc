#include "decision/placement-index.h"

#include <bit>

namespace turmericpier::decision {

namespace {

    // A level is half a power of two above the base: 250 mCPU up to 5,800 cores, and 128 MiB up to 370 GiB.
    constexpr uint32_t cpuBase = 250;
    constexpr uint32_t memoryBase = 128;
    // Workers looked at in one cell before the next cell is tried; a cell at the level of the request may be full of
    // workers that are slightly too small.
    constexpr uint32_t fewProbesPerCell = 6;
    constexpr uint32_t allProbes = 0xffffffff;

    uint32_t halfLogLevel(int32_t value, uint32_t base, uint32_t levels)
    {
        if (value <= 0)
            return 0;
        const uint64_t scaled = (uint64_t(value) << 8) / base;
        if (scaled < 256)
            return 1;
        const auto log = static_cast<uint32_t>(std::bit_width(scaled) - 9);
        // The upper half of an octave begins at 1.5 times its start.
        const bool upper = (scaled >> (log + 7) & 1) != 0;
        return std::min(levels - 1, 2 + 2 * log + (upper ? 1 : 0));
    }

} // namespace

void PlacementIndex::Grid::insert(WorkerIndex worker, uint32_t cell)
{
    if (links.size() <= raw(worker))
        links.resize(raw(worker) + 1);
    auto& head = heads[cell];
    links[raw(worker)] = { WorkerIndex::None, head };
    if (head != WorkerIndex::None)
        links[raw(head)].previous = worker;
    head = worker;
    cpuMasks[cell / cpuLevels] |= 1U << (cell % cpuLevels);
}

void PlacementIndex::Grid::erase(WorkerIndex worker, uint32_t cell)
{
    const auto link = links[raw(worker)];
    if (link.next != WorkerIndex::None)
        links[raw(link.next)].previous = link.previous;
    if (link.previous != WorkerIndex::None) {
        links[raw(link.previous)].next = link.next;
        return;
    }
    heads[cell] = link.next;
    if (link.next == WorkerIndex::None)
        cpuMasks[cell / cpuLevels] &= ~(1U << (cell % cpuLevels));
}

PlacementIndex::Levels PlacementIndex::levelsOf(const PackedResources& r)
{
    const auto accelerators = r.accelerators <= 0
        ? 0U
        : std::min<uint32_t>(acceleratorLevels - 1, std::bit_width(static_cast<uint32_t>(r.accelerators)));
    return { halfLogLevel(r.cpu, cpuBase, cpuLevels), halfLogLevel(r.memory, memoryBase, memoryLevels), accelerators };
}

uint32_t PlacementIndex::cellOf(const Levels& levels)
{
    return (levels.accelerators * memoryLevels + levels.memory) * cpuLevels + levels.cpu;
}

bool PlacementIndex::contains(WorkerIndex worker) const
{
    return raw(worker) < m_entries.size() && m_entries[raw(worker)].cell != noCell;
}

void PlacementIndex::update(WorkerIndex worker, uint16_t dataCentre, const PackedResources& free)
{
    if (m_entries.size() <= raw(worker))
        m_entries.resize(raw(worker) + 1);
    if (m_dataCentres.size() <= dataCentre)
        m_dataCentres.resize(dataCentre + 1U);
    auto& entry = m_entries[raw(worker)];
    if (entry.cell != noCell && entry.dataCentre != dataCentre)
        remove(worker);
    auto& own = m_dataCentres[dataCentre];
    const auto cell = static_cast<uint16_t>(cellOf(levelsOf(free)));
    for (auto* grid : { &m_all, &own }) {
        if (entry.cell == noCell) {
            ++grid->count;
        } else {
            grid->free -= entry.free.unpack();
            if (entry.cell != cell)
                grid->erase(worker, entry.cell);
        }
        grid->free += free.unpack();
        if (entry.cell != cell)
            grid->insert(worker, cell);
    }
    entry = { free, cell, dataCentre };
}

void PlacementIndex::remove(WorkerIndex worker)
{
    if (!contains(worker))
        return;
    auto& entry = m_entries[raw(worker)];
    for (auto* grid : { &m_all, &m_dataCentres[entry.dataCentre] }) {
        grid->erase(worker, entry.cell);
        grid->free -= entry.free.unpack();
        --grid->count;
    }
    entry.cell = noCell;
}

bool PlacementIndex::scanCell(const Grid& grid, uint32_t cell, const PackedResources& request, size_t limit,
    uint32_t probesPerCell, std::vector<WorkerIndex>& out) const
{
    auto worker = grid.heads[cell];
    for (uint32_t probe = 0; worker != WorkerIndex::None && probe < probesPerCell; ++probe) {
        if (request.fitsInto(m_entries[raw(worker)].free)) {
            out.push_back(worker);
            if (out.size() >= limit)
                return true;
        }
        worker = grid.links[raw(worker)].next;
    }
    return false;
}

void PlacementIndex::scan(const Grid& grid, const PackedResources& request, bool descending, size_t limit,
    uint32_t probesPerCell, std::vector<WorkerIndex>& out) const
{
    const auto least = levelsOf(request);
    const uint32_t cpuMask = ~0U << least.cpu;
    const uint32_t memoryCount = memoryLevels - least.memory;
    // Workers with the fewest accelerators come first in both orders, so that accelerators stay free for jobs that
    // need them.
    for (auto accelerators = least.accelerators; accelerators < acceleratorLevels; ++accelerators) {
        for (uint32_t step = 0; step < memoryCount; ++step) {
            const auto memory = descending ? memoryLevels - 1 - step : least.memory + step;
            const auto row = accelerators * memoryLevels + memory;
            for (auto mask = grid.cpuMasks[row] & cpuMask; mask != 0;) {
                const auto cpu = descending ? 31U - std::countl_zero(mask) : std::countr_zero(mask);
                mask &= ~(1U << cpu);
                if (scanCell(grid, row * cpuLevels + cpu, request, limit, probesPerCell, out))
                    return;
            }
        }
    }
}

void PlacementIndex::findInGrid(const Grid& grid, const PackedResources& request, SearchOrder order, size_t limit,
    std::vector<WorkerIndex>& out) const
{
    out.clear();
    if (grid.count == 0)
        return;
    if (order == SearchOrder::BothEnds) {
        scan(grid, request, false, (limit + 1) / 2, fewProbesPerCell, out);
        scan(grid, request, true, limit, fewProbesPerCell, out);
    } else {
        scan(grid, request, order == SearchOrder::MostFree, limit, fewProbesPerCell, out);
    }
    // Only cells at the level of the request can hide a worker that fits; without this pass a task could wait although
    // there is room.
    if (out.empty())
        scan(grid, request, false, 1, allProbes, out);
}

void PlacementIndex::find(
    const PackedResources& request, SearchOrder order, size_t limit, std::vector<WorkerIndex>& out) const
{
    findInGrid(m_all, request, order, limit, out);
}

void PlacementIndex::findIn(uint16_t dataCentre, const PackedResources& request, SearchOrder order, size_t limit,
    std::vector<WorkerIndex>& out) const
{
    findInGrid(m_dataCentres[dataCentre], request, order, limit, out);
}

} // namespace turmericpier::decision
