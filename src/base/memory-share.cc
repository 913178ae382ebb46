#include "turmericpier/base/memory-share.h"

#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace turmericpier {

MemoryShare::MemoryShare(std::string_view name, size_t limit, Metrics& metrics)
    : m_name(name)
    , m_limit(limit)
    , m_usedGauge(metrics.gauge(absl::StrCat("memory_", m_name, "_bytes")))
    , m_refused(metrics.counter(absl::StrCat("memory_", m_name, "_refused_total")))
{
}

void MemoryShare::recordRefusal(std::string_view source, size_t held, size_t wanted)
{
    m_refused.increment();
    logDecision("memory", "memory", source, "refused",
        { { "inputs",
            absl::StrCat(
                "share=", m_name, " limit=", m_limit, " used=", m_used, " held=", held, " wanted=", wanted) } });
}

size_t MemoryShare::usedBy(const std::string& source) const
{
    const auto found = m_usedBySource.find(source);
    return found == m_usedBySource.end() ? 0 : found->second;
}

bool MemoryShare::tryResize(const std::string& source, size_t from, size_t to)
{
    const auto ofSource = usedBy(source);
    if (to > from && (m_used - from + to > m_limit || ofSource - from + to > limitPerSource()))
        return false;
    m_used = m_used - from + to;
    m_usedGauge.set(static_cast<int64_t>(m_used));
    if (ofSource == from && to == 0)
        m_usedBySource.erase(source);
    else
        m_usedBySource[source] = ofSource - from + to;
    return true;
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryShare> share, std::string source)
    : m_share(std::move(share))
    , m_source(std::move(source))
{
}

MemoryReservation::~MemoryReservation() { tryResize(0); }

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : m_share(std::move(other.m_share))
    , m_source(std::move(other.m_source))
    , m_size(std::exchange(other.m_size, 0))
{
}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept
{
    if (this != &other) {
        tryResize(0);
        m_share = std::move(other.m_share);
        m_source = std::move(other.m_source);
        m_size = std::exchange(other.m_size, 0);
    }
    return *this;
}

bool MemoryReservation::isSourceFull(size_t bytes) const
{
    return m_share && m_share->usedBy(m_source) - m_size + bytes > m_share->limitPerSource();
}

bool MemoryReservation::tryResize(size_t bytes)
{
    if (m_share && bytes != m_size && !m_share->tryResize(m_source, m_size, bytes))
        return false;
    m_size = bytes;
    return true;
}

LargestHolder::LargestHolder(const MemoryReservation& wanting, size_t bytes)
    : m_source(wanting.source())
    , m_isSourceFull(wanting.isSourceFull(bytes))
    , m_largest(bytes)
{
}

bool LargestHolder::helps(const MemoryReservation& other) const
{
    return !m_isSourceFull || other.source() == m_source;
}

bool LargestHolder::consider(const MemoryReservation& other)
{
    if (!helps(other) || other.size() <= m_largest)
        return false;
    m_largest = other.size();
    return true;
}

} // namespace turmericpier
