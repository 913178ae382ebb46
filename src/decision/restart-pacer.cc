#include "turmericpier/decision/restart-pacer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace turmericpier::decision {

namespace {

    using std::chrono::duration;

    // Compensates for rounding, so that take() does release a task at the time returned by nextRelease().
    constexpr double tokenTolerance = 1e-6;

    bool isCritical(const RestartItem& item) { return item.belowFloor || item.priority >= urgentPriority; }

} // namespace

RestartPacer::RestartPacer(RestartPacerOptions options)
    : m_options(options)
{
}

void RestartPacer::setWorkers(size_t workers, TimePoint now)
{
    refill(now);
    const bool hadNoWorkers = m_workers == 0;
    m_workers = workers;
    m_tokens = hadNoWorkers ? burst() : std::min(m_tokens, burst());
}

void RestartPacer::add(const RestartItem& item)
{
    const Key key { !isCritical(item), std::numeric_limits<uint32_t>::max() - item.priority, ++m_sequence };
    remove(item.task);
    m_keys.emplace(item.task, key);
    m_queue.emplace(key, item.task);
}

bool RestartPacer::remove(const TaskId& task)
{
    auto it = m_keys.find(task);
    if (it == m_keys.end())
        return false;
    m_queue.erase(it->second);
    m_keys.erase(it);
    return true;
}

std::vector<TaskId> RestartPacer::take(TimePoint now)
{
    refill(now);
    std::vector<TaskId> released;
    while (!m_queue.empty() && m_workers > 0 && m_tokens + tokenTolerance >= requiredTokens()) {
        m_tokens -= 1;
        auto it = m_queue.begin();
        m_keys.erase(it->second);
        released.push_back(std::move(it->second));
        m_queue.erase(it);
    }
    return released;
}

TimePoint RestartPacer::nextRelease(TimePoint now) const
{
    if (m_queue.empty() || m_workers == 0)
        return TimePoint { Duration::max() };
    const double missingTokens = requiredTokens() - m_tokens;
    const TimePoint at = m_lastRefill + Duration(std::llround(std::ceil(std::max(0.0, missingTokens) / rate() * 1e9)));
    return std::max(now, at);
}

void RestartPacer::refill(TimePoint now)
{
    if (now > m_lastRefill) {
        m_tokens = std::min(burst(), m_tokens + duration<double>(now - m_lastRefill).count() * rate());
        m_lastRefill = now;
    }
}

double RestartPacer::rate() const { return m_options.ratePerWorker * static_cast<double>(m_workers); }

double RestartPacer::burst() const { return std::max(1.0, m_options.burstPerWorker * static_cast<double>(m_workers)); }

double RestartPacer::requiredTokens() const
{
    const bool critical = !std::get<0>(m_queue.begin()->first);
    return critical ? 1 - m_options.criticalBurstPerWorker * static_cast<double>(m_workers) : 1;
}

} // namespace turmericpier::decision
