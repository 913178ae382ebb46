#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <optional>
#include <set>
#include <vector>

/// Heartbeats of workers at a replica that does not lead. Those that change nothing are answered there and reported to
/// the leader together, so that the leader's load does not grow with each heartbeat.
namespace turmericpier::cell {

/// Returns true if a heartbeat of a worker would leave its record as it is. A worker that drains never becomes ready
/// again in the same incarnation, so a heartbeat that says so changes nothing.
bool isUnchanged(const record::WorkerT& known, const record::WorkerT& reported);

/// Collects the serials of workers that have sent a heartbeat.
class HeartbeatCollector {
public:
    /// Records a heartbeat. Returns true if it may be answered here: it changes nothing, and the leader has accepted a
    /// report recently, so that it will learn of this heartbeat too.
    bool collect(const State& state, const record::WorkerT& reported, TimePoint now);
    /// Returns the serials collected since the last call, in ascending order.
    std::vector<uint32_t> take();
    /// Records the answer of the leader to a report that was sent at `sentAt`. The serials of a report that was not
    /// accepted are reported again.
    void onReported(const std::vector<uint32_t>& serials, TimePoint sentAt, bool accepted);

private:
    std::set<uint32_t> m_serials;
    std::optional<TimePoint> m_acceptedAt; ///< Sending time of the last report that the leader has accepted.
};

} // namespace turmericpier::cell
