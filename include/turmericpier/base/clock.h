#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

/// Clocks. Code takes the current time from a Clock, which tests replace by a ManualClock.
namespace turmericpier {

using Duration = std::chrono::nanoseconds;

/// A point in time, counted from the arbitrary epoch of its clock. Time points of different clocks must not be mixed.
struct TimePoint {
    Duration sinceStart { 0 };

    friend bool operator==(TimePoint, TimePoint) = default;
    friend auto operator<=>(TimePoint, TimePoint) = default;
    friend TimePoint operator+(TimePoint t, Duration d) { return TimePoint { t.sinceStart + d }; }
    friend TimePoint operator-(TimePoint t, Duration d) { return TimePoint { t.sinceStart - d }; }
    friend Duration operator-(TimePoint a, TimePoint b) { return a.sinceStart - b.sinceStart; }
};

/// Source of the current time.
class Clock {
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The system's monotonic clock. It stands still while the machine is suspended.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override
    {
        return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) };
    }
};

/// A monotonic clock that also advances while the machine is suspended. Leases need it: after a suspension, a steady
/// clock would still show an expired lease as valid.
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

/// A clock for tests that moves only when advance() is called. It is safe to use from several threads.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint { Duration(m_now.load()) }; }
    void advance(Duration duration) { m_now += duration.count(); }

private:
    std::atomic<int64_t> m_now { 0 };
};

} // namespace turmericpier
