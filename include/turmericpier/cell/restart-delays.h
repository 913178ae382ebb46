#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

/// Delays before tasks that keep ending start again.
namespace turmericpier::cell {

/// Delays the restarts of tasks that end soon after each start. The first restart is made at once; the delays before
/// the next ones double, and stay below the time for which a task that lasts may be away.
///
///     RestartDelays delays;
///     delays.recordEnd(task, age, now);
///     for (const auto& [index, until] : delays.delayedTasks(stepOf(task), now))
///         leaveOut(index, until);
class RestartDelays {
public:
    /// Records that a run has ended by itself after `age`.
    void recordEnd(const TaskKey& task, Duration age, TimePoint now);
    /// Returns the indexes of the tasks that must not start yet, with the time of their next start.
    std::vector<std::pair<uint32_t, TimePoint>> delayedTasks(const StepKey& step, TimePoint now) const;
    void forgetJob(const std::string& job);
    /// Removes the tasks whose last end is so long ago that the next one is the first of its kind again.
    void forgetOld(TimePoint now);
    bool isEmpty() const { return m_steps.empty(); }
    void clear() { m_steps.clear(); }

private:
    struct Entry {
        uint32_t ends = 0; ///< Consecutive ends soon after a start.
        TimePoint lastEndAt;
        TimePoint retryAt;
    };

    std::map<StepKey, std::unordered_map<uint32_t, Entry>> m_steps; ///< By step and index of the task.
    TimePoint m_nextCleanupAt;
};

} // namespace turmericpier::cell
