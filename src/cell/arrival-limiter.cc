#include "turmericpier/cell/arrival-limiter.h"

#include <algorithm>

namespace turmericpier::cell {

namespace {
    constexpr Duration minRetry = std::chrono::seconds(1);
    // Callers wait a few seconds for an answer; those told to wait longer would not return.
    constexpr Duration maxRetry = std::chrono::seconds(8);
    constexpr Duration maxInterval = std::chrono::hours(1); // Also of a tenant without a rate.

    /// Returns the time between two tokens.
    Duration intervalOf(double rate)
    {
        constexpr double nanosecondsPerSecond = 1e9;
        const auto maxNanoseconds = static_cast<double>(maxInterval.count());
        return Duration(
            static_cast<int64_t>(rate > 0 ? std::min(nanosecondsPerSecond / rate, maxNanoseconds) : maxNanoseconds));
    }
} // namespace

bool ArrivalLimiter::take(const std::string& tenant, double rate, TimePoint now)
{
    const auto interval = intervalOf(rate);
    auto& bucket = m_buckets[tenant];
    const auto fullAt = std::max(bucket.fullAt, now) + interval;
    if (fullAt - now > std::max(m_window, interval)) // A bucket holds one token at least.
        return false;
    bucket.fullAt = fullAt;
    return true;
}

Duration ArrivalLimiter::promise(const std::string& tenant, double rate, TimePoint now)
{
    const auto interval = intervalOf(rate);
    auto& bucket = m_buckets[tenant];
    const auto nextToken = bucket.fullAt + interval - std::max(m_window, interval);
    const auto promised = std::max({ bucket.promisedUntil + interval, nextToken, now });
    bucket.promisedUntil = std::min(promised, now + maxRetry);
    return std::clamp(promised - now, minRetry, maxRetry);
}

void ArrivalLimiter::removeUnless(const std::function<bool(const std::string&)>& kept)
{
    std::erase_if(m_buckets, [&](const auto& item) { return !kept(item.first); });
}

} // namespace turmericpier::cell
