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
    // Above this share of its limit a task may be held back by it.
    constexpr double cappedShare = 0.95;
    constexpr double cpuQuantile = 0.9;
    constexpr double runTimeQuantile = 0.9;

    uint64_t hashOf(const TaskId& task) { return XXH3_64bits(task.str().data(), task.str().size()); }

    int64_t uncap(int64_t peak, int64_t limit, double factor)
    {
        const bool capped = limit > 0 && static_cast<double>(peak) >= cappedShare * static_cast<double>(limit);
        return capped ? std::llround(static_cast<double>(peak) * factor) : peak;
    }

    // The value that a share `q` of the sorted values does not exceed.
    int64_t quantile(std::vector<int64_t>& values, double q)
    {
        if (values.empty())
            return 0;
        const auto rank = static_cast<size_t>(std::ceil(q * static_cast<double>(values.size())));
        auto nth = values.begin() + static_cast<std::ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
        std::nth_element(values.begin(), nth, values.end());
        return *nth;
    }

    int64_t bounded(double learned, int64_t declared, double maxFactor)
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
        m_recent.splice(m_recent.begin(), m_recent, it->second.recent);
        return it->second;
    }
    if (m_families.size() >= m_options.maxFamilies) {
        m_families.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(family);
    Family& added = m_families[family];
    added.recent = m_recent.begin();
    return added;
}

void SizeEstimator::recordUsage(const std::string& family, const UsageSample& sample)
{
    if (!sample.finished && sample.running < m_options.settleTime)
        return;
    const uint64_t hash = hashOf(sample.task);
    const Sample taken { hash,
        MilliCpu { uncap(sample.peak.cpu.value, sample.limit.cpu.value, m_options.cappedFactor) },
        MemoryMib { uncap(sample.peak.memory.value, sample.limit.memory.value, m_options.cappedFactor) } };
    Family& state = touch(family);
    auto it = std::find_if(
        state.usage.begin(), state.usage.end(), [&](const Sample& known) { return known.taskHash == hash; });
    if (it != state.usage.end()) {
        it->cpu = std::max(it->cpu, taken.cpu);
        it->memory = std::max(it->memory, taken.memory);
    } else if (state.usage.size() < samplesPerFamily) {
        state.usage.push_back(taken);
    } else {
        state.usage[state.nextUsage] = taken;
        state.nextUsage = (state.nextUsage + 1) % samplesPerFamily;
    }
}

void SizeEstimator::recordRunTime(const std::string& family, Duration runTime)
{
    Family& state = touch(family);
    if (state.runTimes.size() < samplesPerFamily) {
        state.runTimes.push_back(runTime);
    } else {
        state.runTimes[state.nextRunTime] = runTime;
        state.nextRunTime = (state.nextRunTime + 1) % samplesPerFamily;
    }
}

SizeEstimate SizeEstimator::estimate(
    const std::string& family, const Resources& declared, Duration declaredRunTime) const
{
    const auto marginFor = [this](size_t samples) {
        return m_options.margin + m_options.firstMargin / std::sqrt(static_cast<double>(samples));
    };
    SizeEstimate result { .size = declared };
    auto it = m_families.find(family);
    const bool known = it != m_families.end();
    if (known && !it->second.usage.empty()) {
        std::vector<int64_t> cpu;
        int64_t memory = 0;
        for (const Sample& sample : it->second.usage) {
            cpu.push_back(sample.cpu.value);
            memory = std::max(memory, sample.memory.value);
        }
        result.sizeSamples = static_cast<uint32_t>(cpu.size());
        result.margin = marginFor(cpu.size());
        const double factor = 1 + result.margin;
        result.size.cpu.value = bounded(
            factor * static_cast<double>(quantile(cpu, cpuQuantile)), declared.cpu.value, m_options.maxFactor);
        // Memory cannot be throttled, so that the largest sample counts.
        result.size.memory.value
            = bounded(factor * static_cast<double>(memory), declared.memory.value, m_options.maxFactor);
        if (result.sizeSamples < m_options.minSamples) {
            result.size.cpu = std::max(result.size.cpu, declared.cpu);
            result.size.memory = std::max(result.size.memory, declared.memory);
        }
    }
    // Nobody learned yet whether the declared time holds: the bound is taken.
    result.runTime = Duration(std::llround(static_cast<double>(declaredRunTime.count()) * m_options.maxFactor));
    if (known && !it->second.runTimes.empty()) {
        std::vector<int64_t> times;
        times.reserve(it->second.runTimes.size());
        for (Duration time : it->second.runTimes)
            times.push_back(time.count());
        result.runTimeSamples = static_cast<uint32_t>(times.size());
        const double learned = (1 + marginFor(times.size())) * static_cast<double>(quantile(times, runTimeQuantile));
        const int64_t time = bounded(learned, declaredRunTime.count(), m_options.maxFactor);
        result.runTime
            = Duration(result.runTimeSamples < m_options.minSamples ? std::max(time, declaredRunTime.count()) : time);
    }
    return result;
}

Duration SizeEstimator::remainingRunTime(const std::string& family, Duration declaredRunTime, Duration elapsed) const
{
    auto it = m_families.find(family);
    if (it == m_families.end() || it->second.runTimes.empty()) {
        const Duration expected = declaredRunTime > Duration { 0 } ? declaredRunTime : m_options.unknownRunTime;
        return std::max(expected - elapsed, elapsed);
    }
    std::vector<int64_t> longer;
    for (Duration time : it->second.runTimes) {
        if (time > elapsed)
            longer.push_back(time.count());
    }
    return longer.empty() ? elapsed : Duration(quantile(longer, 0.5)) - elapsed;
}

namespace {

    bool exceedsLimit(const TaskLoad& task)
    {
        return task.usage.memory > task.limit.memory || task.usage.cpu > task.limit.cpu;
    }

    std::vector<const TaskLoad*> inReliefOrder(const std::vector<TaskLoad>& tasks)
    {
        std::vector<const TaskLoad*> order;
        order.reserve(tasks.size());
        for (const TaskLoad& task : tasks)
            order.push_back(&task);
        std::sort(order.begin(), order.end(), [](const TaskLoad* a, const TaskLoad* b) {
            return std::tuple(!exceedsLimit(*a), a->priority, !a->canResume, -a->usage.memory.value, a->task)
                < std::tuple(!exceedsLimit(*b), b->priority, !b->canResume, -b->usage.memory.value, b->task);
        });
        return order;
    }

    int64_t projectedMemory(const TaskLoad& task, Duration horizon)
    {
        const auto growth = static_cast<double>(std::max<int64_t>(0, task.memoryGrowthPerSecond.value));
        return task.usage.memory.value + std::llround(growth * duration<double>(horizon).count());
    }

    void relieveMemory(const Resources& capacity, const std::vector<const TaskLoad*>& order,
        const ReliefOptions& options, std::vector<Relief>& result)
    {
        int64_t projected = 0;
        for (const TaskLoad* task : order)
            projected += projectedMemory(*task, options.horizon);
        const auto high = std::llround(options.memoryHighShare * static_cast<double>(capacity.memory.value));
        int64_t left = projected - high;
        std::vector<const TaskLoad*> chosen;
        for (const TaskLoad* task : order) {
            if (left <= 0)
                break;
            if (!task->movable || task->usage.memory.value <= 0)
                continue;
            chosen.push_back(task);
            left -= projectedMemory(*task, options.horizon);
        }
        // A small task taken early is not needed if a large one was taken after it.
        for (auto it = chosen.rbegin(); it != chosen.rend();) {
            const int64_t memory = projectedMemory(**it, options.horizon);
            if (left + memory > 0) {
                ++it;
                continue;
            }
            left += memory;
            it = std::make_reverse_iterator(chosen.erase(std::next(it).base()));
        }
        for (const TaskLoad* task : chosen) {
            result.push_back({ Relief::Kind::Move, task->task, {},
                absl::StrFormat(
                    "memory projected at %d MiB of %d MiB (bound %d MiB); task uses %d MiB with limit %d MiB",
                    projected, capacity.memory.value, high, task->usage.memory.value, task->limit.memory.value) });
        }
    }

    // A throttled task keeps this part of its limit, so that it still makes progress.
    constexpr int64_t leastCpuDivisor = 4;

    void relieveCpu(const Resources& capacity, const std::vector<const TaskLoad*>& order, const ReliefOptions& options,
        std::vector<Relief>& result)
    {
        int64_t used = 0;
        for (const TaskLoad* task : order) {
            const bool moved = std::any_of(
                result.begin(), result.end(), [&](const Relief& relief) { return relief.task == task->task; });
            used += moved ? 0 : task->usage.cpu.value;
        }
        const auto high = std::llround(options.cpuHighShare * static_cast<double>(capacity.cpu.value));
        int64_t left = used - high;
        const size_t moves = result.size();
        for (const TaskLoad* task : order) {
            if (left <= 0)
                break;
            const auto moved = std::span(result).first(moves);
            if (std::any_of(
                    moved.begin(), moved.end(), [&](const Relief& relief) { return relief.task == task->task; }))
                continue;
            const int64_t usage = task->usage.cpu.value;
            const int64_t least
                = usage > task->limit.cpu.value ? task->limit.cpu.value : task->limit.cpu.value / leastCpuDivisor;
            const int64_t cpu = std::max(least, usage - left);
            if (cpu >= usage)
                continue;
            left -= usage - cpu;
            result.push_back({ Relief::Kind::Throttle, task->task, MilliCpu { cpu },
                absl::StrFormat("processors used %d m of %d m (bound %d m); task uses %d m with limit %d m", used,
                    capacity.cpu.value, high, usage, task->limit.cpu.value) });
        }
    }

} // namespace

std::vector<Relief> planRelief(
    const Resources& capacity, const std::vector<TaskLoad>& tasks, const ReliefOptions& options)
{
    const auto order = inReliefOrder(tasks);
    std::vector<Relief> result;
    relieveMemory(capacity, order, options, result);
    relieveCpu(capacity, order, options, result);
    return result;
}

} // namespace turmericpier::decision
