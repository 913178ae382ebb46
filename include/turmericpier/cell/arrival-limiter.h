#pragma once

#include "turmericpier/base/clock.h"

#include <functional>
#include <map>
#include <string>

/// Limits the rate of the jobs that each tenant sends.
///
///     ArrivalLimiter limiter(std::chrono::seconds(5));
///     if (!limiter.take("tenant", 31, clock.now()))
///         refuse(limiter.promise("tenant", 31, clock.now()));
namespace turmericpier::cell {

/// A token bucket for each tenant.
class ArrivalLimiter {
public:
    /// `window` is the time whose tokens a bucket holds.
    explicit ArrivalLimiter(Duration window)
        : m_window(window)
    {
    }

    /// Takes a token from the tenant's bucket, which fills with `rate` tokens per second. Returns false if there is
    /// none.
    bool take(const std::string& tenant, double rate, TimePoint now);
    /// Returns after how long the next token is there that no earlier caller was told to wait for, from 1 s to 8 s.
    Duration promise(const std::string& tenant, double rate, TimePoint now);
    /// Removes the buckets of tenants that are not `kept`.
    void removeUnless(const std::function<bool(const std::string&)>& kept);
    void clear() { m_buckets.clear(); }

private:
    struct Bucket {
        TimePoint fullAt; ///< Time at which the bucket is full again.
        TimePoint promisedUntil; ///< Tokens up to this time are promised.
    };

    const Duration m_window;
    std::map<std::string, Bucket> m_buckets;
};

} // namespace turmericpier::cell
