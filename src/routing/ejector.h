#pragma once

#include "turmericpier/base/clock.h"

#include <algorithm>
#include <cstdint>

/// Tells workers that fail everything, ejects them for a growing time and returns them after successful probes.
namespace turmericpier::routing {

/// Share of failures among recent results; older results weigh less.
class FailureShare {
public:
    explicit FailureShare(uint32_t window)
        : m_window(window)
    {
    }

    void add(bool failed)
    {
        ++m_total;
        m_failed += failed ? 1 : 0;
        if (m_total >= m_window) {
            m_total /= 2;
            m_failed /= 2;
        }
    }

    uint32_t total() const { return m_total; }
    double share() const { return m_total == 0 ? 0.0 : double(m_failed) / m_total; }

private:
    uint32_t m_window;
    uint32_t m_total = 0;
    uint32_t m_failed = 0;
};

enum class Result {
    Success,
    Failure,
    Timeout, ///< Counts for the share alone: under overload all workers time out, and ejecting some adds to it.
};

/// Health of one worker as seen by this entry.
class Health {
public:
    enum class State {
        Normal,
        Ejected, ///< Until `until()`; then it waits for a probe.
        Probing, ///< Takes one repeatable request at a time.
    };

    static constexpr uint32_t failuresInARow = 5;
    static constexpr uint32_t minResults = 20; // Fewer results say little about the share.
    static constexpr double minShare = 0.5;
    static constexpr double marginOverPeers = 0.25;
    static constexpr uint32_t probeSuccesses = 3;
    static constexpr Duration baseEjection = std::chrono::seconds(1);
    static constexpr Duration maxEjection = std::chrono::seconds(60);

    State state() const { return m_state; }
    TimePoint until() const { return m_until; }
    bool probeInFlight() const { return m_probeInFlight; }

    /// Records a result. Returns true if the worker should be ejected; the caller decides, and calls eject().
    bool record(Result result, double peersShare)
    {
        m_recent.add(result != Result::Success);
        m_consecutive += result == Result::Failure ? 1 : 0;
        if (result == Result::Success) {
            m_consecutive = 0;
            if (m_state == State::Normal && ++m_goodRun % goodRunPerLevel == 0 && m_level > 0)
                --m_level;
        }
        if (m_state != State::Normal || result == Result::Success)
            return false;
        const bool worse = m_recent.total() >= minResults && m_recent.share() >= minShare
            && m_recent.share() >= peersShare + marginOverPeers;
        return m_consecutive >= failuresInARow || worse;
    }

    /// Ejects for twice the time of the last ejection.
    void eject(TimePoint now)
    {
        m_state = State::Ejected;
        m_until = now + std::min<Duration>(maxEjection, baseEjection * (1 << std::min(m_level, 6U)));
        ++m_level;
        m_good = 0;
        m_probeInFlight = false;
    }

    void beginProbing() { m_state = State::Probing; }
    void probeStarted() { m_probeInFlight = true; }
    /// The probe ended without telling anything about the worker.
    void probeDropped() { m_probeInFlight = false; }

    /// Result of a probe; returns true if the worker is back to normal.
    bool probeSucceeded()
    {
        m_probeInFlight = false;
        if (++m_good < probeSuccesses)
            return false;
        restore();
        return true;
    }

    void restore()
    {
        m_state = State::Normal;
        m_recent = FailureShare(window);
        m_consecutive = 0;
        m_probeInFlight = false;
    }

private:
    static constexpr uint32_t window = 64;
    static constexpr uint32_t goodRunPerLevel = 100; // Successes that halve the next ejection time.

    State m_state = State::Normal;
    FailureShare m_recent { window };
    uint32_t m_consecutive = 0;
    uint32_t m_level = 0;
    uint32_t m_good = 0;
    uint32_t m_goodRun = 0;
    bool m_probeInFlight = false;
    TimePoint m_until;
};

} // namespace turmericpier::routing
