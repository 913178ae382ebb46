#include "turmericpier/cell/step-progress.h"

#include <algorithm>

namespace turmericpier::cell {

using record::TaskState;

StepProgress::StepProgress(const record::StepTasksT& tasks)
    : m_count(static_cast<uint32_t>(tasks.tasks.size()))
{
    for (uint32_t i = 0; i < m_count; ++i)
        change(i, TaskState::Waiting, tasks.tasks[i]->state);
}

void StepProgress::change(uint32_t index, TaskState from, TaskState to)
{
    if (from == to)
        return;
    const auto counterOf = [this](TaskState state) { return state == TaskState::Placed ? &m_placed : &m_done; };
    if (from == TaskState::Waiting) {
        for (; m_firstFresh <= index; ++m_firstFresh)
            m_returned.insert(m_returned.end(), m_firstFresh);
        m_returned.erase(index);
    } else {
        --*counterOf(from);
    }
    if (to == TaskState::Waiting)
        m_returned.insert(index);
    else
        ++*counterOf(to);
}

std::vector<uint32_t> StepProgress::firstWaiting(size_t most) const
{
    std::vector<uint32_t> found;
    found.reserve(std::min<size_t>(most, waiting()));
    for (auto it = m_returned.begin(); it != m_returned.end() && found.size() < most; ++it)
        found.push_back(*it);
    for (auto i = m_firstFresh; i < m_count && found.size() < most; ++i)
        found.push_back(i);
    return found;
}

} // namespace turmericpier::cell
