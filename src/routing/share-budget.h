#pragma once

#include <algorithm>
#include <cstdint>

/// Token bucket that is refilled by requests instead of by time. It limits retries, and use of the paid link, to a
/// percentage of all requests.
///
///     ShareBudget retries(10);  // starts with ten tokens
///     retries.deposit(10);      // each request adds a tenth of a token
///     if (retries.tryTake())
///         retry();
namespace turmericpier::routing {

class ShareBudget {
public:
    /// Creates a full bucket with a capacity of `burst` tokens, so that a service with few requests can retry at all.
    explicit ShareBudget(uint32_t burst)
        : m_capacityUnits(uint64_t(burst) * unitsPerToken)
        , m_units(m_capacityUnits)
    {
    }

    /// Adds `percent` hundredths of a token, up to the capacity.
    void deposit(uint32_t percent) { m_units = std::min(m_capacityUnits, m_units + percent); }

    /// Takes one token. Returns false, and takes nothing, if less than one token is left.
    bool tryTake()
    {
        if (m_units < unitsPerToken)
            return false;
        m_units -= unitsPerToken;
        return true;
    }

    /// Returns a token that was taken but not used.
    void refund() { m_units = std::min(m_capacityUnits, m_units + unitsPerToken); }
    uint64_t tokens() const { return m_units / unitsPerToken; }

private:
    static constexpr uint64_t unitsPerToken = 100; // One unit is one percent of a token.
    uint64_t m_capacityUnits;
    uint64_t m_units;
};

} // namespace turmericpier::routing
