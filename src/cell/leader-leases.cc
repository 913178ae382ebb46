#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Clocks of workers and the leases that the leader computes from them.
namespace turmericpier::cell {

using std::chrono::milliseconds;

namespace {
    constexpr double maxClockDrift = 0.02; // Fraction by which a worker's clock may be slow.
} // namespace

/// Assumes that a lease of the longest duration may be granted until `grantedUntil` from now.
void Leader::assumeLongestLease(WorkerSession& session, Duration grantedUntil)
{
    const auto longest = std::chrono::duration<double>(m_options.maxLease) / (1 - maxClockDrift);
    session.leaseEnd
        = std::max(session.leaseEnd, m_clock.now() + std::chrono::duration_cast<Duration>(longest) + grantedUntil);
}

std::optional<int64_t> Leader::leaseUntil(WorkerSession& session)
{
    const auto now = m_clock.now();
    if (!session.clock || session.leaving || session.replaced || session.removalProposed)
        return std::nullopt;
    // The reading was taken between sending and receiving, so counting from the receipt never gives too long a lease.
    const auto sinceReading = std::chrono::duration_cast<milliseconds>(now - session.clock->receivedAt).count();
    const auto until = session.clock->clockMs + sinceReading + m_options.lease.count();
    const auto longest
        = std::chrono::duration<double>(milliseconds(until - session.clock->clockMs)) / (1 - maxClockDrift);
    session.leaseEnd
        = std::max(session.leaseEnd, session.clock->receivedAt + std::chrono::duration_cast<Duration>(longest));
    return until;
}

void Leader::recordClock(WorkerSession& session, int64_t clockMs, TimePoint sentAt)
{
    // A clock that has gone back is that of a later incarnation, which takes the lease of an order for its longest one.
    if (session.clock && sentAt >= session.clock->receivedAt && clockMs < session.clock->clockMs) {
        recordDecision("worker", addressOf(session).id, "clock has gone back",
            absl::StrCat("serial=", session.serial, " clock_ms=", clockMs, " before=", session.clock->clockMs));
        assumeLongestLease(session, Duration::zero());
    }
    if (!session.clock || sentAt >= session.clock->sentAt)
        session.clock = ClockReading { clockMs, sentAt, m_clock.now() };
}

} // namespace turmericpier::cell
