#include "turmericpier/cell/tickets.h"

#include "cell/step-map.h"

namespace turmericpier::cell {

void TicketCache::record(const StepKey& step, const std::vector<uint32_t>& asked,
    const std::map<uint32_t, std::string>& fit, TimePoint validUntil)
{
    auto& entries = m_steps[step];
    for (const auto worker : asked) {
        const auto found = fit.find(worker);
        if (found == fit.end())
            entries[worker] = {};
        else
            entries[worker] = { true, found->second, validUntil };
    }
}

const TicketCache::Entry* TicketCache::find(const StepKey& step, uint32_t worker) const
{
    const auto entries = m_steps.find(step);
    if (entries == m_steps.end())
        return nullptr;
    const auto found = entries->second.find(worker);
    return found == entries->second.end() ? nullptr : &found->second;
}

Fitness TicketCache::fitnessOf(const StepKey& step, uint32_t worker, TimePoint now) const
{
    const auto* entry = find(step, worker);
    return entry ? fitnessOf(*entry, now) : Fitness::Unknown;
}

Fitness TicketCache::fitnessOf(const Entry& entry, TimePoint now)
{
    if (!entry.fit)
        return Fitness::Unfit;
    return now < entry.validUntil ? Fitness::Fit : Fitness::Expired;
}

std::vector<std::pair<uint32_t, Fitness>> TicketCache::askedWorkers(const StepKey& step, TimePoint now) const
{
    std::vector<std::pair<uint32_t, Fitness>> asked;
    const auto entries = m_steps.find(step);
    if (entries == m_steps.end())
        return asked;
    for (const auto& [worker, entry] : entries->second)
        asked.emplace_back(worker, fitnessOf(entry, now));
    return asked;
}

std::vector<uint32_t> TicketCache::fitWorkers(const StepKey& step, TimePoint now) const
{
    std::vector<uint32_t> workers;
    const auto entries = m_steps.find(step);
    if (entries == m_steps.end())
        return workers;
    for (const auto& [worker, entry] : entries->second) {
        if (fitnessOf(entry, now) == Fitness::Fit)
            workers.push_back(worker);
    }
    return workers;
}

const std::string* TicketCache::ticketFor(const StepKey& step, uint32_t worker, TimePoint now) const
{
    const auto* entry = find(step, worker);
    return entry && fitnessOf(*entry, now) == Fitness::Fit ? &entry->ticket : nullptr;
}

void TicketCache::expire(const StepKey& step, uint32_t worker)
{
    const auto entries = m_steps.find(step);
    if (entries == m_steps.end())
        return;
    const auto found = entries->second.find(worker);
    if (found != entries->second.end())
        found->second.validUntil = {};
}

void TicketCache::forgetWorker(uint32_t worker)
{
    for (auto& [step, entries] : m_steps)
        entries.erase(worker);
}

void TicketCache::forgetJob(const std::string& job) { detail::eraseJob(m_steps, job); }

} // namespace turmericpier::cell
