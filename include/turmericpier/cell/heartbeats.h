#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <map>
#include <optional>
#include <vector>

/// Heartbeats of workers at a replica that does not lead. Those that change nothing are answered there and reported to
/// the leader together, so that the leader's load does not grow with each heartbeat.
namespace turmericpier::cell {

/// Returns true if a heartbeat of a worker would leave its record as it is. A worker that drains never becomes ready
/// again in the same incarnation, so a heartbeat that says so changes nothing.
bool isUnchanged(const record::WorkerT& known, const record::WorkerT& reported);

/// Age at which a heartbeat that could not be reported is dropped. The leader must not take an old one for a sign of
/// life.
constexpr std::chrono::milliseconds maxHeartbeatAge { 1'000 };

/// Collects the serials of workers that have sent a heartbeat. At most one report is on its way at a time.
class HeartbeatCollector {
public:
    /// Records a heartbeat. Returns true if it may be answered here: it changes nothing, and the leader has accepted a
    /// report recently, so that it will learn of this heartbeat too.
    bool collect(const State& state, const record::WorkerT& reported, TimePoint now);
    /// Returns the serials for the next report, in ascending order, without heartbeats older than maxHeartbeatAge.
    std::vector<uint32_t> take(TimePoint now);
    /// Records the answer of the leader to the last report, which was sent at `sentAt`. If it was not accepted, its
    /// serials are reported again.
    void onReported(TimePoint sentAt, bool accepted);

private:
    using Heartbeats = std::map<uint32_t, TimePoint>; ///< Times of the last heartbeats by the serials of the workers.
    Heartbeats m_collected;
    Heartbeats m_reported; ///< Part of the last report, until it is answered.
    std::optional<TimePoint> m_acceptedAt; ///< Sending time of the last report that the leader has accepted.
};

} // namespace turmericpier::cell
