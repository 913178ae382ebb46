#pragma once

#include <algorithm>
#include <cstdint>

/// Token bucket that is filled by requests: bounds retries, and use of the paid link, to a share of all requests.
///
///     ShareBudget retries(10);  // ten
///     retries.deposit(10);      // each request adds a tenth of a token
///     if (retries.tryTake())
///         retry();
namespace turmericpier::routing {

class ShareBudget {
public:
    /// Starts full. `burst` tokens can be spent at once, so that a service with few requests can retry at all.
    explicit ShareBudget(uint32_t burst)
        : m_capacity(uint64_t(burst) * tokenCost)
        , m_level(m_capacity)
    {
    }

    /// Adds `percent` hundredths of a token.
    void deposit(uint32_t percent) { m_level = std::min(m_capacity, m_level + percent); }

    bool tryTake()
    {
        if (m_level < tokenCost)
            return false;
        m_level -= tokenCost;
        return true;
    }

    void giveBack() { m_level = std::min(m_capacity, m_level + tokenCost); }
    uint64_t tokens() const { return m_level / tokenCost; }

private:
    static constexpr uint64_t tokenCost = 100; // Percent.
    uint64_t m_capacity;
    uint64_t m_level;
};

} // namespace turmericpier::routing
