#pragma once

#include "turmericpier/consensus/message.h"

#include <deque>

namespace turmericpier::consensus {

/// The voters that are effective from the entry at `index` on.
struct VoterSet {
    Index index;
    std::vector<InstanceId> voters;
};

/// Encodes voters as the data of a membership entry, one id per line.
std::string encodeVoters(const std::vector<InstanceId>& voters);
/// Decodes the data of a membership entry.
std::vector<InstanceId> decodeVoters(std::string_view data);

/// The part of a replicated log that is kept in memory: all entries after the last compacted one.
class MemoryLog {
public:
    /// Discards all entries. The last compacted entry then has the given index and term.
    void reset(Index baseIndex, Term baseTerm, VoterSet voters);

    /// Index of the last compacted entry.
    Index base() const { return m_base; }
    Term baseTerm() const { return m_baseTerm; }
    Index last() const { return Index { m_base.value + m_entries.size() }; }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    /// Returns the term of an entry, or nullopt if the entry is compacted or does not exist.
    std::optional<Term> termAt(Index index) const;
    /// Returns the entry at `index`, which must be above base() and at most last().
    const LogEntry& at(Index index) const { return m_entries[index.value - m_base.value - 1]; }

    void append(LogEntry entry);
    /// Removes the entries after `index`.
    void truncateAfter(Index index);
    /// Removes the entries up to `index`.
    void compactTo(Index index);
    /// Returns copies of the entries from `from` on: at least one, and as many as fit into `maxBytes`.
    std::vector<LogEntry> slice(Index from, size_t maxBytes) const;

    /// Returns the latest voters in the log, whether committed or not.
    const VoterSet& voters() const { return m_voterSets.back(); }
    /// Returns the voters that are effective at `index`.
    VoterSet votersAt(Index index) const;

private:
    Index m_base;
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    std::vector<VoterSet> m_voterSets { VoterSet {} };
};

} // namespace turmericpier::consensus
