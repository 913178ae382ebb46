#pragma once

#include "decision/tables.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace turmericpier::decision {

enum class TimerKind : uint8_t {
    StartTimeout, ///< A placed task was not reported as started.
    RestoredTimeout, ///< The same after a leader change.
    CheckpointTimeout, ///< A checkpoint before a stop took too long.
    StopExpired, ///< The lease of a task whose stop was not confirmed has ended.
    Backoff, ///< A failed task may start again.
};

/// Timers of tasks. A timer that no longer applies is not removed but recognised by its epoch when it fires.
struct Timer {
    TimePoint at;
    Epoch epoch;
    TaskIndex task = TaskIndex::None;
    TimerKind kind = TimerKind::StartTimeout;
};

class Timers {
public:
    void add(TimePoint at, TimerKind kind, TaskIndex task, Epoch epoch)
    {
        m_heap.push_back({ at, epoch, task, kind });
        std::push_heap(m_heap.begin(), m_heap.end(), later);
    }
    /// Takes out the next timer that is due.
    bool pop(TimePoint now, Timer& out)
    {
        if (m_heap.empty() || m_heap.front().at > now)
            return false;
        std::pop_heap(m_heap.begin(), m_heap.end(), later);
        out = m_heap.back();
        m_heap.pop_back();
        return true;
    }
    size_t size() const { return m_heap.size(); }

private:
    static bool later(const Timer& a, const Timer& b)
    {
        return std::tuple(a.at, a.epoch, a.kind) > std::tuple(b.at, b.epoch, b.kind);
    }

    std::vector<Timer> m_heap;
};

} // namespace turmericpier::decision
