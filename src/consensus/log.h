#pragma once

#include "turmericpier/consensus/message.h"

#include <deque>

namespace turmericpier::consensus {

/// The voters in force from an index on.
struct VoterSet {
    Index index;
    std::vector<InstanceId> voters;
};

std::string encodeVoters(const std::vector<InstanceId>& voters);
std::vector<InstanceId> decodeVoters(std::string_view data);

/// The part of a replicated log that is kept in memory: all entries after a base index.
class MemoryLog {
public:
    /// An empty log whose last compacted entry has the given index and term.
    void reset(Index baseIndex, Term baseTerm, VoterSet voters);

    Index base() const { return m_base; }
    Term baseTerm() const { return m_baseTerm; }
    Index last() const { return Index { m_base.value + m_entries.size() }; }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    /// The term of an entry, or nothing if it is compacted or not there yet.
    std::optional<Term> termAt(Index index) const;
    const LogEntry& at(Index index) const { return m_entries[index.value - m_base.value - 1]; }

    void append(LogEntry entry);
    void truncateAfter(Index index);
    /// Forgets the entries up to `index`.
    void compactTo(Index index);
    /// Copies entries from `from` on: at least one, then as many as stay within `maxBytes`.
    std::vector<LogEntry> slice(Index from, size_t maxBytes) const;

    /// The latest voters in the log, committed or not.
    const VoterSet& voters() const { return m_voterSets.back(); }
    VoterSet votersAt(Index index) const;

private:
    Index m_base;
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    std::vector<VoterSet> m_voterSets { VoterSet {} };
};

} // namespace turmericpier::consensus
