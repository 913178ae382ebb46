#pragma once

#include "consensus/core.h"

/// Log lines that say why a group has no leader that serves.
namespace turmericpier::consensus {

class QuorumLog {
public:
    explicit QuorumLog(GroupId group)
        : m_group(std::move(group))
    {
    }

    /// Writes the report, at most once a second. The next line holds the number of reports left out.
    void write(const QuorumReport& report, TimePoint now);

private:
    const GroupId m_group;
    TimePoint m_nextLineAt;
    uint64_t m_leftOut = 0;
};

} // namespace turmericpier::consensus
