#include "turmericpier/cell/failure-count.h"

#include <algorithm>
#include <cmath>

namespace turmericpier::cell {

namespace {
    constexpr double halfLifeSeconds = 6;
    // Most that the tasks of one job add. The failures of a second job then take the worker out of use.
    constexpr double maxPerJob = 2;
    // Together these bound the time for which a worker is out of use after its last failure to 13 s.
    constexpr double maxOwn = 2 * maxRecentFailures;
    constexpr size_t maxJobs = 3;
} // namespace

double FailureCount::Decaying::valueAt(TimePoint now) const
{
    return value == 0 ? 0 : value * std::exp2(-std::chrono::duration<double>(now - at).count() / halfLifeSeconds);
}

void FailureCount::Decaying::add(double weight, TimePoint now, double most)
{
    value = std::min(valueAt(now) + weight, most);
    at = now;
}

void FailureCount::record(double weight, TimePoint now)
{
    m_own.add(weight, now, maxOwn);
    m_lastAt = now;
}

void FailureCount::recordTask(const std::string& job, double weight, TimePoint now)
{
    m_lastAt = now;
    auto found = std::ranges::find(m_jobs, job, &JobFailures::job);
    if (found == m_jobs.end()) {
        if (m_jobs.size() == maxJobs)
            m_jobs.erase(std::ranges::min_element(
                m_jobs, {}, [now](const JobFailures& failures) { return failures.count.valueAt(now); }));
        found = m_jobs.insert(m_jobs.end(), { job, {} });
    }
    found->count.add(weight, now, maxPerJob);
}

void FailureCount::recordSuccess(TimePoint now)
{
    m_own.add(-m_own.valueAt(now) / 2, now, maxOwn);
    for (auto& failures : m_jobs)
        failures.count.add(-failures.count.valueAt(now) / 2, now, maxPerJob);
}

void FailureCount::forgetJob(const std::string& job)
{
    std::erase_if(m_jobs, [&](const JobFailures& failures) { return failures.job == job; });
}

double FailureCount::sumAt(TimePoint now) const
{
    auto sum = m_own.valueAt(now);
    for (const auto& failures : m_jobs)
        sum += failures.count.valueAt(now);
    return sum;
}

} // namespace turmericpier::cell
