#include "consensus/quorum-log.h"

#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace turmericpier::consensus {

namespace {
    constexpr std::chrono::milliseconds lineInterval { 1'000 };

    std::string join(const std::vector<InstanceId>& ids)
    {
        return absl::StrJoin(ids, ",", [](std::string* out, const InstanceId& id) { out->append(id.str()); });
    }
} // namespace

void QuorumLog::write(const QuorumReport& report, TimePoint now)
{
    if (now < m_nextLineAt) {
        ++m_leftOut;
        return;
    }
    m_nextLineAt = now + lineInterval;
    logDecision("consensus", "quorum", m_group.str(), report.reason,
        { { "role", std::string(toString(report.role)) }, { "term", absl::StrCat(report.term.value) },
            { "voters", join(report.voters) }, { "heard", join(report.heard) }, { "refused", join(report.refused) },
            { "needed", absl::StrCat(report.needed) }, { "not_written", absl::StrCat(m_leftOut) } });
    m_leftOut = 0;
}

} // namespace turmericpier::consensus
