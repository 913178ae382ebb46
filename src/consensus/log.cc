#include "consensus/log.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace turmericpier::consensus {

std::string encodeVoters(const std::vector<InstanceId>& voters)
{
    return absl::StrJoin(voters, "\n", [](std::string* out, const InstanceId& id) { out->append(id.str()); });
}

std::vector<InstanceId> decodeVoters(std::string_view data)
{
    std::vector<InstanceId> voters;
    for (auto& id :
        std::vector<std::string>(absl::StrSplit(absl::string_view(data.data(), data.size()), '\n', absl::SkipEmpty())))
        voters.emplace_back(std::move(id));
    return voters;
}

void MemoryLog::reset(Index baseIndex, Term baseTerm, VoterSet voters)
{
    m_base = baseIndex;
    m_baseTerm = baseTerm;
    m_entries.clear();
    m_voterSets = { std::move(voters) };
}

std::optional<Term> MemoryLog::termAt(Index index) const
{
    if (index == m_base)
        return m_baseTerm;
    if (index < m_base || index > last())
        return std::nullopt;
    return at(index).term;
}

void MemoryLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership)
        m_voterSets.push_back({ entry.index, decodeVoters(entry.data) });
    m_entries.push_back(std::move(entry));
}

void MemoryLog::truncateAfter(Index index)
{
    while (last() > index && !m_entries.empty())
        m_entries.pop_back();
    while (m_voterSets.size() > 1 && m_voterSets.back().index > index)
        m_voterSets.pop_back();
}

void MemoryLog::compactTo(Index index)
{
    while (m_base < index && !m_entries.empty()) {
        m_base = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
    }
    while (m_voterSets.size() > 1 && m_voterSets[1].index <= m_base)
        m_voterSets.erase(m_voterSets.begin());
}

std::vector<LogEntry> MemoryLog::slice(Index from, size_t maxBytes) const
{
    // Upper bound for the encoded term, index, kind and offsets of an entry in a frame.
    constexpr size_t entryOverhead = 48;
    std::vector<LogEntry> entries;
    size_t bytes = 0;
    for (Index index = from; index <= last(); index = index.next()) {
        const auto& entry = at(index);
        bytes += entry.data.size() + entryOverhead;
        if (bytes > maxBytes && !entries.empty())
            break;
        entries.push_back(entry);
    }
    return entries;
}

VoterSet MemoryLog::votersAt(Index index) const
{
    auto found = m_voterSets.rbegin();
    while (found->index > index && std::next(found) != m_voterSets.rend())
        ++found;
    return *found;
}

} // namespace turmericpier::consensus
