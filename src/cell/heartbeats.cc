#include "turmericpier/cell/heartbeats.h"

#include <algorithm>

namespace turmericpier::cell {

namespace {
    // Reports are sent four times during this time. A heartbeat that is answered here reaches the leader well before
    // the leader takes its worker for silent.
    constexpr std::chrono::milliseconds acceptanceValidity { 1'000 };
} // namespace

bool isUnchanged(const record::WorkerT& known, const record::WorkerT& reported)
{
    return known.id == reported.id && known.born_ms == reported.born_ms && known.address == reported.address
        && known.draining == (reported.draining || known.draining) && known.service == reported.service
        && known.cpu == reported.cpu && known.memory == reported.memory && known.accelerators == reported.accelerators
        && known.labels == reported.labels;
}

bool HeartbeatCollector::collect(const State& state, const record::WorkerT& reported, TimePoint now)
{
    const auto* known = state.findWorkerById(reported.id);
    if (!known || !isUnchanged(known->worker, reported))
        return false;
    m_serials.insert(known->worker.serial);
    return m_acceptedAt && now - *m_acceptedAt <= acceptanceValidity;
}

std::vector<uint32_t> HeartbeatCollector::take()
{
    std::vector<uint32_t> serials(m_serials.begin(), m_serials.end());
    m_serials.clear();
    return serials;
}

void HeartbeatCollector::onReported(const std::vector<uint32_t>& serials, TimePoint sentAt, bool accepted)
{
    if (accepted)
        m_acceptedAt = std::max(m_acceptedAt.value_or(sentAt), sentAt);
    else
        m_serials.insert(serials.begin(), serials.end());
}

} // namespace turmericpier::cell
