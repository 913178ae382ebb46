#include "turmericpier/decision/size-estimator.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <span>
#include <xxhash.h>

namespace turmericpier::decision {

namespace {

    using std::chrono::duration;

    constexpr size_t samplesPerFamily = 32;
    constexpr size_t cappedPerFamily = 8;
    // From this ratio of usage to limit on, the limit may restrict the task.
    constexpr double cappedUsageRatio = 0.99;
    // From this ratio on, the limit is evidently not enforced. A smaller excess may be a measurement error.
    constexpr double exceededUsageRatio = 1.05;
    constexpr double cpuQuantile = 0.9;
    // Memory cannot be throttled, so the largest sample counts.
    constexpr double memoryQuantile = 1;
    constexpr double runTimeQuantile = 0.9;
    // Ratios are stored as integers in millionths.
    constexpr double ratioScale = 1e6;

    uint64_t hashOf(const TaskId& task) { return XXH3_64bits(task.str().data(), task.str().size()); }

    // Returns the smallest of the values that at least a fraction `q` of them does not exceed. Reorders the values.
    int64_t quantile(std::vector<int64_t>& values, double q)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<size_t>(std::ceil(q * static_cast<double>(values.size())));
        auto nth = values.begin() + static_cast<std::ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
        std::nth_element(values.begin(), nth, values.end());
        return *nth;
    }

    // Returns the ratio of the largest value to the median.
    double maxToMedianRatio(std::vector<int64_t> values)
    {
        const int64_t max = quantile(values, 1);
        return static_cast<double>(max) / static_cast<double>(std::max<int64_t>(1, quantile(values, 0.5)));
    }

    int64_t clampToDeclared(double learned, int64_t declared, double maxFactor)
    {
        if (declared <= 0)
            return std::llround(learned);
        const auto base = static_cast<double>(declared);
        return std::llround(std::clamp(learned, base / maxFactor, base * maxFactor));
    }

} // namespace

SizeEstimator::SizeEstimator(SizeEstimatorOptions options)
    : m_options(options)
{
}

SizeEstimator::Family& SizeEstimator::touch(const std::string& family)
{
    auto it = m_families.find(family);
    if (it != m_families.end()) {
        m_byRecentUse.splice(m_byRecentUse.begin(), m_byRecentUse, it->second.recentUse);
        return it->second;
    }
    if (m_families.size() >= m_options.maxFamilies) {
        m_families.erase(m_byRecentUse.back());
        m_byRecentUse.pop_back();
    }
    m_byRecentUse.push_front(family);
    Family& added = m_families[family];
    added.recentUse = m_byRecentUse.begin();
    return added;
}

void SizeEstimator::recordUsage(const std::string& family, const UsageSample& sample)
{
    if (!sample.finished && sample.running < m_options.settleTime)
        return;
    const uint64_t hash = hashOf(sample.task);
    const Resources& peak = sample.peak;
    Sample recorded { hash,
        sampledAmount(peak.cpu.value, sample.limit.cpu.value, sample.declared.cpu.value, m_cpuExceeded),
        sampledAmount(peak.memory.value, sample.limit.memory.value, sample.declared.memory.value, m_memoryExceeded) };
    Family& familyState = touch(family);
    for (auto* ring : { &familyState.usage, &familyState.capped }) {
        auto it = std::find_if(
            ring->items.begin(), ring->items.end(), [&](const Sample& known) { return known.taskHash == hash; });
        if (it == ring->items.end())
            continue;
        recorded.cpu.peak = std::max(it->cpu.peak, recorded.cpu.peak);
        recorded.memory.peak = std::max(it->memory.peak, recorded.memory.peak);
        *it = recorded;
        return;
    }
    if (recorded.cpu.capped || recorded.memory.capped)
        familyState.capped.add(recorded, cappedPerFamily);
    else
        familyState.usage.add(recorded, samplesPerFamily);
}

detail::SampledAmount SizeEstimator::sampledAmount(int64_t peak, int64_t limit, int64_t declared, bool& exceeded) const
{
    const double share = limit > 0 ? static_cast<double>(peak) / static_cast<double>(limit) : 0;
    exceeded = exceeded || share >= exceededUsageRatio;
    return { peak, declared, !exceeded && share >= cappedUsageRatio };
}

template <typename T> void detail::RingBuffer<T>::add(const T& item, size_t capacity)
{
    if (items.size() < capacity) {
        items.push_back(item);
        return;
    }
    items[next] = item;
    next = (next + 1) % capacity;
}

void SizeEstimator::recordRunTime(const std::string& family, Duration runTime)
{
    touch(family).runTimes.add(runTime, samplesPerFamily);
}

int64_t SizeEstimator::learnedSize(
    const std::vector<detail::SampledAmount>& samples, double q, double margin, int64_t declared) const
{
    const auto uncapped = std::count_if(
        samples.begin(), samples.end(), [](const detail::SampledAmount& sample) { return !sample.capped; });
    std::vector<int64_t> amounts;
    std::vector<int64_t> ratios;
    for (const detail::SampledAmount& sample : samples) {
        const bool raise = sample.capped && uncapped < m_options.minSamples;
        const double peak = static_cast<double>(sample.peak) * (raise ? m_options.cappedFactor : 1);
        amounts.push_back(std::llround(peak));
        if (sample.declared > 0 && declared > 0)
            ratios.push_back(std::llround(peak * ratioScale / static_cast<double>(sample.declared)));
    }
    const bool byRatio = ratios.size() == samples.size() && maxToMedianRatio(ratios) <= maxToMedianRatio(amounts);
    const int64_t learned = byRatio
        ? std::llround(static_cast<double>(quantile(ratios, q)) / ratioScale * static_cast<double>(declared))
        : quantile(amounts, q);
    // Samples raised by the factor need no additional margin.
    const bool raised = static_cast<size_t>(uncapped) < std::min<size_t>(m_options.minSamples, samples.size());
    const int64_t size
        = clampToDeclared((raised ? 1 : 1 + margin) * static_cast<double>(learned), declared, m_options.maxFactor);
    // With too few samples the size is at least the declared one. If no sample needed more than declared, the margin
    // does not raise the size above it.
    if (samples.size() < m_options.minSamples)
        return std::max(size, declared);
    return declared > 0 && learned <= declared ? std::min(size, declared) : size;
}

SizeEstimate SizeEstimator::estimate(
    const std::string& family, const Resources& declared, Duration declaredRunTime) const
{
    const auto marginFor = [this](size_t samples) {
        return m_options.margin + m_options.firstSampleMargin / static_cast<double>(samples);
    };
    SizeEstimate result { .size = declared };
    auto it = m_families.find(family);
    const bool known = it != m_families.end();
    std::vector<detail::SampledAmount> cpu;
    std::vector<detail::SampledAmount> memory;
    if (known) {
        for (const auto* ring : { &it->second.usage, &it->second.capped }) {
            for (const Sample& sample : ring->items) {
                cpu.push_back(sample.cpu);
                memory.push_back(sample.memory);
                cpu.back().capped &= !m_cpuExceeded;
                memory.back().capped &= !m_memoryExceeded;
            }
        }
    }
    if (!cpu.empty()) {
        result.sizeSamples = static_cast<uint32_t>(cpu.size());
        result.margin = marginFor(cpu.size());
        result.size.cpu.value = learnedSize(cpu, cpuQuantile, result.margin, declared.cpu.value);
        result.size.memory.value = learnedSize(memory, memoryQuantile, result.margin, declared.memory.value);
    }
    // Without samples a declared run time is not trusted: the upper bound is used.
    result.runTime = Duration(std::llround(static_cast<double>(declaredRunTime.count()) * m_options.maxFactor));
    if (known && !it->second.runTimes.items.empty()) {
        std::vector<int64_t> times;
        times.reserve(it->second.runTimes.items.size());
        for (Duration time : it->second.runTimes.items)
            times.push_back(time.count());
        result.runTimeSamples = static_cast<uint32_t>(times.size());
        const double learned = (1 + marginFor(times.size())) * static_cast<double>(quantile(times, runTimeQuantile));
        const int64_t time = clampToDeclared(learned, declaredRunTime.count(), m_options.maxFactor);
        result.runTime
            = Duration(result.runTimeSamples < m_options.minSamples ? std::max(time, declaredRunTime.count()) : time);
    }
    return result;
}

Duration SizeEstimator::remainingRunTime(const std::string& family, Duration declaredRunTime, Duration elapsed) const
{
    auto it = m_families.find(family);
    if (it == m_families.end() || it->second.runTimes.items.empty()) {
        const Duration expected = declaredRunTime > Duration { 0 } ? declaredRunTime : m_options.defaultRunTime;
        return std::max(expected - elapsed, elapsed);
    }
    std::vector<int64_t> longer;
    for (Duration time : it->second.runTimes.items) {
        if (time > elapsed)
            longer.push_back(time.count());
    }
    return longer.empty() ? elapsed : Duration(quantile(longer, 0.5)) - elapsed;
}

namespace {

    int64_t projectedMemory(const TaskLoad& task, Duration horizon)
    {
        const auto growth = static_cast<double>(std::max<int64_t>(0, task.memoryGrowthPerSecond.value));
        return task.usage.memory.value + std::llround(growth * duration<double>(horizon).count());
    }

    // A task with its projected usage.
    struct ProjectedLoad {
        const TaskLoad* task = nullptr;
        int64_t memory = 0; ///< Usage in MiB, projected to the horizon.
        bool memoryExceeds = false;
        bool cpuExceeds = false;
        bool moved = false;
    };

    std::vector<ProjectedLoad> sortForRelief(const std::vector<TaskLoad>& tasks, Duration horizon)
    {
        std::vector<ProjectedLoad> order;
        order.reserve(tasks.size());
        for (const TaskLoad& task : tasks) {
            const int64_t memory = projectedMemory(task, horizon);
            order.push_back(
                { &task, memory, memory > task.limit.memory.value, task.usage.cpu > task.limit.cpu, false });
        }
        std::sort(order.begin(), order.end(), [](const ProjectedLoad& a, const ProjectedLoad& b) {
            const auto rank = [](const ProjectedLoad& load) {
                return std::tuple(!load.memoryExceeds && !load.cpuExceeds, load.task->priority, !load.task->canResume,
                    -load.memory, load.task->task);
            };
            return rank(a) < rank(b);
        });
        return order;
    }

    int64_t share(double part, int64_t capacity) { return std::llround(part * static_cast<double>(capacity)); }

    // Moves tasks until the rest fits within the bound: first those above their limits, then others.
    void relieveMemory(const Resources& capacity, std::vector<ProjectedLoad>& order, const ReliefOptions& options,
        std::vector<Relief>& result)
    {
        int64_t projected = 0;
        int64_t exceeding = 0;
        for (const ProjectedLoad& load : order) {
            projected += load.memory;
            exceeding += load.memoryExceeds;
        }
        const auto bound = [&] { return share(exceeding > 0 ? options.memoryHighShare : 1, capacity.memory.value); };
        const int64_t before = projected;
        const int64_t boundBefore = bound();
        const auto move = [&](ProjectedLoad& load, bool moved) {
            load.moved = moved;
            projected += moved ? -load.memory : load.memory;
            exceeding += (moved ? -1 : 1) * int64_t { load.memoryExceeds };
        };
        for (const bool exceeds : { true, false }) {
            for (ProjectedLoad& load : order) {
                if (projected > bound() && load.memoryExceeds == exceeds && load.task->movable && load.memory > 0)
                    move(load, true);
            }
        }
        // Undoes moves that later ones have made unnecessary, such as that of a small task selected before a large one.
        for (auto it = order.rbegin(); it != order.rend(); ++it) {
            if (!it->moved)
                continue;
            move(*it, false);
            if (projected > bound())
                move(*it, true);
        }
        for (const ProjectedLoad& load : order) {
            if (load.moved)
                result.push_back({ Relief::Kind::Move, load.task->task, {},
                    absl::StrFormat("memory usage projected at %d MiB of %d MiB (bound %d MiB); the task uses %d MiB "
                                    "with a limit of %d MiB",
                        before, capacity.memory.value, boundBefore, load.task->usage.memory.value,
                        load.task->limit.memory.value) });
        }
    }

    // A task throttled below its limit keeps at least the limit divided by this, so that it still makes progress.
    constexpr int64_t minCpuDivisor = 4;

    // Throttles tasks above their limits back to these first. Tasks within their limits are throttled only if that is
    // not enough, that is, if the limits exceed the capacity.
    void relieveCpu(const Resources& capacity, const std::vector<ProjectedLoad>& order, const ReliefOptions& options,
        std::vector<Relief>& result)
    {
        int64_t used = 0;
        int64_t exceeding = 0;
        for (const ProjectedLoad& load : order) {
            used += load.moved ? 0 : load.task->usage.cpu.value;
            exceeding += !load.moved && load.cpuExceeds;
        }
        const int64_t before = used;
        for (const bool exceeds : { true, false }) {
            for (const ProjectedLoad& load : order) {
                const int64_t bound = share(exceeding > 0 ? options.cpuHighShare : 1, capacity.cpu.value);
                if (load.moved || load.cpuExceeds != exceeds || used <= bound)
                    continue;
                const int64_t usage = load.task->usage.cpu.value;
                const int64_t limit = load.task->limit.cpu.value;
                const int64_t cpu = std::max(exceeds ? limit : limit / minCpuDivisor, usage - (used - bound));
                if (cpu >= usage)
                    continue;
                used -= usage - cpu;
                exceeding -= exceeds && cpu == limit;
                result.push_back({ Relief::Kind::Throttle, load.task->task, MilliCpu { cpu },
                    absl::StrFormat("CPU usage is %d m of %d m (bound %d m); the task uses %d m with a limit of %d m",
                        before, capacity.cpu.value, bound, usage, limit) });
            }
        }
    }

} // namespace

std::vector<Relief> planRelief(
    const Resources& capacity, const std::vector<TaskLoad>& tasks, const ReliefOptions& options)
{
    auto order = sortForRelief(tasks, options.horizon);
    std::vector<Relief> result;
    relieveMemory(capacity, order, options, result);
    relieveCpu(capacity, order, options, result);
    return result;
}

} // namespace turmericpier::decision
