#include "decision/placement-index.h"

#include <bit>

namespace turmericpier::decision {

namespace {

    // Levels start at these amounts and rise by half an octave each: 250 mCPU to 5,800 cores, and 128 MiB to 370 GiB.
    constexpr uint32_t cpuBaseMilliCpu = 250;
    constexpr uint32_t memoryBaseMib = 128;
    // Workers visited in one bucket before the search goes on to the next. A bucket at the level of the request may
    // hold many workers that are slightly too small.
    constexpr uint32_t defaultProbesPerBucket = 6;
    constexpr uint32_t unlimitedProbes = 0xffffffff;

    uint32_t halfOctaveLevel(int32_t value, uint32_t base, uint32_t levels)
    {
        if (value <= 0)
            return 0;
        const uint64_t scaled = (uint64_t(value) << 8) / base;
        if (scaled < 256)
            return 1;
        const auto log = static_cast<uint32_t>(std::bit_width(scaled) - 9);
        // The upper half of an octave starts at 1.5 times the lower bound of the octave.
        const bool upper = (scaled >> (log + 7) & 1) != 0;
        return std::min(levels - 1, 2 + 2 * log + (upper ? 1 : 0));
    }

} // namespace

void PlacementIndex::Grid::insert(WorkerIndex worker, uint32_t bucket)
{
    if (links.size() <= raw(worker))
        links.resize(raw(worker) + 1);
    auto& head = heads[bucket];
    links[raw(worker)] = { WorkerIndex::None, head };
    if (head != WorkerIndex::None)
        links[raw(head)].previous = worker;
    head = worker;
    cpuMasks[bucket / cpuLevels] |= 1U << (bucket % cpuLevels);
}

void PlacementIndex::Grid::erase(WorkerIndex worker, uint32_t bucket)
{
    const auto link = links[raw(worker)];
    if (link.next != WorkerIndex::None)
        links[raw(link.next)].previous = link.previous;
    if (link.previous != WorkerIndex::None) {
        links[raw(link.previous)].next = link.next;
        return;
    }
    heads[bucket] = link.next;
    if (link.next == WorkerIndex::None)
        cpuMasks[bucket / cpuLevels] &= ~(1U << (bucket % cpuLevels));
}

PlacementIndex::Levels PlacementIndex::levelsOf(const PackedResources& r)
{
    const auto accelerators = r.accelerators <= 0
        ? 0U
        : std::min<uint32_t>(acceleratorLevels - 1, std::bit_width(static_cast<uint32_t>(r.accelerators)));
    return { halfOctaveLevel(r.cpu, cpuBaseMilliCpu, cpuLevels), halfOctaveLevel(r.memory, memoryBaseMib, memoryLevels),
        accelerators };
}

uint32_t PlacementIndex::bucketOf(const Levels& levels)
{
    return (levels.accelerators * memoryLevels + levels.memory) * cpuLevels + levels.cpu;
}

bool PlacementIndex::contains(WorkerIndex worker) const
{
    return raw(worker) < m_entries.size() && m_entries[raw(worker)].bucket != noBucket;
}

void PlacementIndex::update(WorkerIndex worker, uint16_t dataCentre, const PackedResources& free)
{
    if (m_entries.size() <= raw(worker))
        m_entries.resize(raw(worker) + 1);
    if (m_dataCentres.size() <= dataCentre)
        m_dataCentres.resize(dataCentre + 1U);
    auto& entry = m_entries[raw(worker)];
    if (entry.bucket != noBucket && entry.dataCentre != dataCentre)
        remove(worker);
    auto& ownDataCentre = m_dataCentres[dataCentre];
    const auto bucket = static_cast<uint16_t>(bucketOf(levelsOf(free)));
    for (auto* grid : { &m_all, &ownDataCentre }) {
        if (entry.bucket == noBucket) {
            ++grid->count;
        } else {
            grid->free -= entry.free.unpack();
            if (entry.bucket != bucket)
                grid->erase(worker, entry.bucket);
        }
        grid->free += free.unpack();
        if (entry.bucket != bucket)
            grid->insert(worker, bucket);
    }
    entry = { free, bucket, dataCentre };
}

void PlacementIndex::remove(WorkerIndex worker)
{
    if (!contains(worker))
        return;
    auto& entry = m_entries[raw(worker)];
    for (auto* grid : { &m_all, &m_dataCentres[entry.dataCentre] }) {
        grid->erase(worker, entry.bucket);
        grid->free -= entry.free.unpack();
        --grid->count;
    }
    entry.bucket = noBucket;
}

bool PlacementIndex::scanBucket(const Grid& grid, uint32_t bucket, const PackedResources& request, size_t limit,
    uint32_t probesPerBucket, std::vector<WorkerIndex>& out) const
{
    auto worker = grid.heads[bucket];
    for (uint32_t probe = 0; worker != WorkerIndex::None && probe < probesPerBucket; ++probe) {
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
    uint32_t probesPerBucket, std::vector<WorkerIndex>& out) const
{
    const auto minLevels = levelsOf(request);
    const uint32_t cpuMask = ~0U << minLevels.cpu;
    const uint32_t memoryCount = memoryLevels - minLevels.memory;
    // Both orders visit workers with the fewest accelerators first, so that accelerators stay free for jobs that need
    // them.
    for (auto accelerators = minLevels.accelerators; accelerators < acceleratorLevels; ++accelerators) {
        for (uint32_t step = 0; step < memoryCount; ++step) {
            const auto memory = descending ? memoryLevels - 1 - step : minLevels.memory + step;
            const auto row = accelerators * memoryLevels + memory;
            for (auto mask = grid.cpuMasks[row] & cpuMask; mask != 0;) {
                const auto cpu = descending ? 31U - std::countl_zero(mask) : std::countr_zero(mask);
                mask &= ~(1U << cpu);
                if (scanBucket(grid, row * cpuLevels + cpu, request, limit, probesPerBucket, out))
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
        scan(grid, request, false, (limit + 1) / 2, defaultProbesPerBucket, out);
        scan(grid, request, true, limit, defaultProbesPerBucket, out);
    } else {
        scan(grid, request, order == SearchOrder::MostFree, limit, defaultProbesPerBucket, out);
    }
    // The limit on probes can miss a worker that fits in a bucket at the level of the request. Without this pass a task
    // could wait although a worker has room.
    if (out.empty())
        scan(grid, request, false, 1, unlimitedProbes, out);
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
