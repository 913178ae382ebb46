#pragma once

#include "turmericpier/base/clock.h"

#include <algorithm>
#include <cstdint>

/// Outlier ejection: detects failing workers, ejects them with exponential backoff and restores them after successful
/// probes.
namespace turmericpier::routing {

/// Failure rate over recent results. Both counts are halved when `window` results are reached, so older results weigh
/// less.
class FailureRate {
public:
    explicit FailureRate(uint32_t window)
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
    double rate() const { return m_total == 0 ? 0.0 : double(m_failed) / m_total; }

private:
    uint32_t m_window;
    uint32_t m_total = 0;
    uint32_t m_failed = 0;
};

enum class Result {
    Success,
    Failure,
    Timeout, ///< Counts towards the failure rate only: under overload all workers time out, and ejecting some of
             ///< them would increase the load on the others.
};

/// Health of one worker, judged by the results of the requests that this entry sent to it.
class Health {
public:
    enum class State {
        Normal,
        Ejected, ///< Receives no requests until `until()`; then the worker can be probed.
        Probing, ///< Receives one repeatable request at a time.
    };

    static constexpr uint32_t maxConsecutiveFailures = 5;
    static constexpr uint32_t minResults = 20; // With fewer results the failure rate is not significant.
    static constexpr double minFailureRate = 0.5;
    static constexpr double marginOverPeers = 0.25;
    static constexpr uint32_t probeSuccesses = 3;
    static constexpr Duration baseEjection = std::chrono::seconds(1);
    static constexpr Duration maxEjection = std::chrono::seconds(60);

    State state() const { return m_state; }
    TimePoint until() const { return m_until; }
    bool probeInFlight() const { return m_probeInFlight; }

    /// Records a result and returns true if the worker should be ejected. The caller decides whether to call eject().
    bool record(Result result, double peerFailureRate)
    {
        m_failureRate.add(result != Result::Success);
        m_consecutiveFailures += result == Result::Failure ? 1 : 0;
        if (result == Result::Success) {
            m_consecutiveFailures = 0;
            if (m_state == State::Normal && ++m_successes % successesPerLevel == 0 && m_ejectionLevel > 0)
                --m_ejectionLevel;
        }
        if (m_state != State::Normal || result == Result::Success)
            return false;
        const bool worse = m_failureRate.total() >= minResults && m_failureRate.rate() >= minFailureRate
            && m_failureRate.rate() >= peerFailureRate + marginOverPeers;
        return m_consecutiveFailures >= maxConsecutiveFailures || worse;
    }

    /// Ejects the worker. Each ejection lasts twice as long as the one before, up to `maxEjection`.
    void eject(TimePoint now)
    {
        m_state = State::Ejected;
        m_until = now + std::min<Duration>(maxEjection, baseEjection * (1 << std::min(m_ejectionLevel, 6U)));
        ++m_ejectionLevel;
        m_probeSuccesses = 0;
        m_probeInFlight = false;
    }

    void beginProbing() { m_state = State::Probing; }
    void startProbe() { m_probeInFlight = true; }
    /// Ends a probe whose outcome says nothing about the health of the worker.
    void abandonProbe() { m_probeInFlight = false; }

    /// Records a successful probe and returns true if the worker is back in state Normal.
    bool recordProbeSuccess()
    {
        m_probeInFlight = false;
        if (++m_probeSuccesses < probeSuccesses)
            return false;
        restore();
        return true;
    }

    void restore()
    {
        m_state = State::Normal;
        m_failureRate = FailureRate(window);
        m_consecutiveFailures = 0;
        m_probeInFlight = false;
    }

private:
    static constexpr uint32_t window = 64;
    static constexpr uint32_t successesPerLevel = 100; // This many successes halve the next ejection time.

    State m_state = State::Normal;
    FailureRate m_failureRate { window };
    uint32_t m_consecutiveFailures = 0;
    uint32_t m_ejectionLevel = 0;
    uint32_t m_probeSuccesses = 0;
    uint32_t m_successes = 0;
    bool m_probeInFlight = false;
    TimePoint m_until;
};

} // namespace turmericpier::routing
