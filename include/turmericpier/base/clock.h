#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

/// The runtime's clock, which tests pause and advance.
namespace turmericpier {

using Duration = std::chrono::nanoseconds;

/// Time since an arbitrary start of the process's monotonic clock.
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

/// The system's monotonic clock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override
    {
        return TimePoint { std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) };
    }
};

/// A monotonic clock that also counts the time for which the machine was suspended. Leases need it: after a suspension
/// a steady clock would still show them as valid.
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

/// A clock that stands still until a test advances it.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint { Duration(m_now.load()) }; }
    void advance(Duration duration) { m_now += duration.count(); }

private:
    std::atomic<int64_t> m_now { 0 };
};

} // namespace turmericpier
