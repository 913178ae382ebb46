#pragma once

#include "cell_generated.h"

#include <cstdint>
#include <set>
#include <vector>

/// Counts of the tasks of a step in each state.
namespace turmericpier::cell {

/// Tells which tasks of a step wait without looking at each of them. It is derived from the records of the tasks and
/// must be told of each change.
///
///     StepProgress progress(tasks);
///     progress.change(4, record::TaskState::Waiting, record::TaskState::Placed);
///     for (const auto index : progress.firstWaiting(10))
///         place(index);
class StepProgress {
public:
    explicit StepProgress(const record::StepTasksT& tasks);

    void change(uint32_t index, record::TaskState from, record::TaskState to);

    uint32_t waiting() const { return static_cast<uint32_t>(m_returned.size()) + m_count - m_firstFresh; }
    uint32_t placed() const { return m_placed; }
    uint32_t done() const { return m_done; }
    bool isDone() const { return m_done == m_count; }
    /// Returns the lowest indexes of waiting tasks, at most `most`, in ascending order.
    std::vector<uint32_t> firstWaiting(size_t most) const;

private:
    uint32_t m_count = 0;
    uint32_t m_placed = 0;
    uint32_t m_done = 0;
    uint32_t m_firstFresh = 0; ///< All tasks from this index on wait and were never placed.
    std::set<uint32_t> m_returned; ///< Waiting tasks before `m_firstFresh`.
};

} // namespace turmericpier::cell
