#pragma once

#include "decision/tables.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace turmericpier::decision {

enum class TimerKind : uint8_t {
    StartTimeout, ///< The start of a placed task was not confirmed in time.
    RestoredTimeout, ///< A placement restored after a leader change was not confirmed in time.
    CheckpointTimeout, ///< The checkpoint before a stop took too long.
    StopExpired, ///< The lease of a task whose stop was not confirmed has ended.
    Backoff, ///< The backoff of a failed task is over.
};

/// Timer of a task. Timers are never cancelled; a timer whose epoch is no longer the epoch of the task is ignored.
struct Timer {
    TimePoint at;
    Epoch epoch;
    TaskIndex task = TaskIndex::None;
    TimerKind kind = TimerKind::StartTimeout;
};

/// Min-heap of timers, ordered by time. Ties are broken by epoch and kind, which keeps the order deterministic.
class Timers {
public:
    void add(TimePoint at, TimerKind kind, TaskIndex task, Epoch epoch)
    {
        m_heap.push_back({ at, epoch, task, kind });
        std::push_heap(m_heap.begin(), m_heap.end(), isLater);
    }
    /// Removes the next timer that is due and stores it in `out`. Returns false if none is due.
    bool pop(TimePoint now, Timer& out)
    {
        if (m_heap.empty() || m_heap.front().at > now)
            return false;
        std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
        out = m_heap.back();
        m_heap.pop_back();
        return true;
    }
    size_t size() const { return m_heap.size(); }

private:
    static bool isLater(const Timer& a, const Timer& b)
    {
        return std::tuple(a.at, a.epoch, a.kind) > std::tuple(b.at, b.epoch, b.kind);
    }

    std::vector<Timer> m_heap;
};

} // namespace turmericpier::decision
