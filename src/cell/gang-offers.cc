#include "turmericpier/cell/gang-offers.h"

#include "cell/doubling-delay.h"
#include "cell/step-map.h"

#include <algorithm>
#include <utility>

namespace turmericpier::cell {

namespace {
    constexpr std::chrono::milliseconds firstRetryDelay { 1'000 };
    constexpr std::chrono::milliseconds maxRetryDelay { 60'000 };
    // Part of the wait of the members that is left for the way of the last orders.
    constexpr int marginDivisor = 4;
} // namespace

void GangOffers::begin(const StepKey& step, uint32_t run, uint32_t members)
{
    auto& offer = m_offers[step];
    if (offer.run != run) {
        offer.run = run;
        offer.unsent = 0;
        offer.firstSentAt.reset();
    }
    offer.unsent += members;
}

void GangOffers::recordSent(const StepKey& step, uint32_t run, TimePoint now)
{
    const auto found = m_offers.find(step);
    if (found == m_offers.end() || found->second.run != run || found->second.unsent == 0)
        return;
    auto& offer = found->second;
    --offer.unsent;
    if (!offer.firstSentAt)
        offer.firstSentAt = now;
}

std::vector<GangOffers::Late> GangOffers::takeLate(TimePoint now)
{
    std::vector<Late> late;
    for (auto& [step, offer] : m_offers) {
        if (!offer.firstSentAt || offer.unsent == 0
            || now - *offer.firstSentAt < m_gangWait - m_gangWait / marginDivisor)
            continue;
        const auto unsent = std::exchange(offer.unsent, 0);
        if (const auto delay = fail(offer, now))
            late.push_back({ step, offer.run, unsent, *delay });
    }
    return late;
}

std::optional<Duration> GangOffers::recordFailure(const StepKey& step, uint32_t run, TimePoint now)
{
    const auto found = m_offers.find(step);
    if (found == m_offers.end() || found->second.run != run)
        return std::nullopt;
    found->second.unsent = 0;
    return fail(found->second, now);
}

std::optional<Duration> GangOffers::fail(Offer& offer, TimePoint now)
{
    if (std::exchange(offer.failedRun, offer.run) == offer.run)
        return std::nullopt;
    const auto delay = detail::doublingDelay(firstRetryDelay, offer.failures++, maxRetryDelay);
    offer.retryAt = now + delay;
    return delay;
}

std::optional<TimePoint> GangOffers::deferredUntil(const StepKey& step, TimePoint now) const
{
    const auto found = m_offers.find(step);
    if (found == m_offers.end() || now >= found->second.retryAt)
        return std::nullopt;
    return found->second.retryAt;
}

void GangOffers::forgetJob(const std::string& job) { detail::eraseJob(m_offers, job); }

} // namespace turmericpier::cell
