#include "turmericpier/cell/heartbeats.h"

namespace turmericpier::cell {

namespace {
    // Reports are sent four times during this time. A heartbeat that is answered here reaches the leader well before
    // the leader takes its worker for silent.
    constexpr std::chrono::milliseconds acceptanceValidity { 1'000 };
} // namespace

bool isUnchanged(const record::WorkerT& known, const record::WorkerT& reported)
{
    return known.id == reported.id && known.born_ms == reported.born_ms && known.address == reported.address
        && (known.draining || !reported.draining) && known.service == reported.service && known.cpu == reported.cpu
        && known.memory == reported.memory && known.accelerators == reported.accelerators
        && known.labels == reported.labels;
}

bool HeartbeatCollector::collect(const State& state, const record::WorkerT& reported, TimePoint now)
{
    const auto* known = state.findWorkerById(reported.id);
    if (!known || !isUnchanged(known->worker, reported))
        return false;
    m_collected[known->worker.serial] = now;
    return m_acceptedAt && now - *m_acceptedAt <= acceptanceValidity;
}

std::vector<uint32_t> HeartbeatCollector::take(TimePoint now)
{
    std::erase_if(m_collected, [&](const auto& entry) { return now - entry.second > maxHeartbeatAge; });
    std::vector<uint32_t> serials;
    for (const auto& [serial, receivedAt] : m_collected) {
        serials.push_back(serial);
        m_reported[serial] = receivedAt;
    }
    m_collected.clear();
    return serials;
}

void HeartbeatCollector::onReported(TimePoint sentAt, bool accepted)
{
    if (accepted)
        m_acceptedAt = sentAt;
    else
        m_collected.merge(m_reported); // Keeps the later heartbeats of workers that have sent another one since.
    m_reported.clear();
}

} // namespace turmericpier::cell
