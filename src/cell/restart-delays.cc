#include "turmericpier/cell/restart-delays.h"

#include "cell/doubling-delay.h"
#include "cell/step-map.h"

#include <algorithm>

namespace turmericpier::cell {

using std::chrono::milliseconds;

namespace {
    constexpr milliseconds firstDelay { 250 }; // Before the second restart.
    // On the users' platform a task that lasts has to run again 6 s after its last run.
    constexpr milliseconds maxDelay { 4'000 };
    // A run that lasts longer shows that the task can work.
    constexpr milliseconds provenAge { 10'000 };
    constexpr milliseconds cleanupInterval { 1'000 };
} // namespace

void RestartDelays::recordEnd(const TaskKey& task, Duration age, TimePoint now)
{
    auto& entry = m_steps[stepOf(task)][task.index];
    entry.ends = age >= provenAge ? 1 : entry.ends + 1;
    entry.lastEndAt = now;
    const bool isFirst = entry.ends == 1;
    entry.retryAt = isFirst ? now : now + detail::doublingDelay(firstDelay, entry.ends - 2, maxDelay);
}

std::vector<std::pair<uint32_t, TimePoint>> RestartDelays::delayedTasks(const StepKey& step, TimePoint now) const
{
    std::vector<std::pair<uint32_t, TimePoint>> delayed;
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return delayed;
    for (const auto& [index, entry] : found->second) {
        if (now < entry.retryAt)
            delayed.emplace_back(index, entry.retryAt);
    }
    return delayed;
}

void RestartDelays::forgetJob(const std::string& job) { detail::eraseJob(m_steps, job); }

void RestartDelays::forgetOld(TimePoint now)
{
    if (now < m_nextCleanupAt)
        return;
    m_nextCleanupAt = now + cleanupInterval;
    for (auto& [step, tasks] : m_steps)
        std::erase_if(tasks, [now](const auto& entry) { return now - entry.second.lastEndAt > provenAge + maxDelay; });
    std::erase_if(m_steps, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace turmericpier::cell
