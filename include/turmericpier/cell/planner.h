#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"
#include "turmericpier/cell/tickets.h"

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Decides which waiting tasks start on which workers. The planner is a pure function of the state and of what the
/// leader knows about the workers.
namespace turmericpier::cell {

/// What the leader knows about a worker beyond the replicated state.
struct WorkerHealthView {
    bool usable = false; ///< The worker answers, has seen this leader's fencing token and is not about to leave.
    double penalty = 0; ///< Recent failures; workers with a lower penalty are preferred.
    bool recentlySuccessful = false; ///< The last run to end on the worker succeeded, and did so recently.
    uint32_t startRoom = UINT32_MAX; ///< Starts that may be added to those that wait to be sent to the worker.
};

/// A question to the advisor: which of the workers may run the step?
struct AdviceRequest {
    StepKey step;
    std::vector<uint32_t> workers; ///< Serials of the workers to ask about.
    Duration expectedDuration { 0 }; ///< Duration of the call, as computed from the queue's configuration.
};

/// Why a plan has left a waiting task out. docs/design/waiting-tasks.md has the event or the time that ends each.
enum class WaitReason : uint8_t {
    Advice, ///< A question to the advisor is in flight or is part of the plan.
    NoRoom, ///< No usable worker that may run the task has the capacity.
    OrdersQueued, ///< As many starts as may wait to be sent do so for each worker with the capacity.
    PlanLimit, ///< The plan has reached its limit of starts.
    TenantCap, ///< The tenant runs as much as it may.
    GangMembers, ///< Some member of an earlier run of the gang has not ended.
    GangDelay, ///< The next attempt of a gang is delayed.
    GangOrders, ///< Orders of another large gang wait to be sent.
};
inline constexpr size_t waitReasonCount = 8;
std::string_view toString(WaitReason reason);

/// Number of waiting tasks that a plan did not place, by reason.
struct UnplacedTasks {
    std::array<uint32_t, waitReasonCount> counts {};

    uint32_t operator[](WaitReason reason) const { return counts.at(static_cast<size_t>(reason)); }
    uint32_t total() const { return std::accumulate(counts.begin(), counts.end(), 0U); }
    void add(WaitReason reason, uint64_t tasks)
    {
        counts.at(static_cast<size_t>(reason)) += static_cast<uint32_t>(tasks);
    }
    void remove(WaitReason reason, uint32_t tasks) { counts.at(static_cast<size_t>(reason)) -= tasks; }
    UnplacedTasks& operator+=(const UnplacedTasks& other)
    {
        std::ranges::transform(counts, other.counts, counts.begin(), std::plus<>());
        return *this;
    }
};

/// Waiting tasks of one step that a plan did not place.
struct WaitingStep {
    StepKey step;
    WaitReason reason = WaitReason::NoRoom;
    uint32_t tasks = 0;
};

/// The starts to commit and the questions to ask the advisor.
struct Plan {
    std::vector<record::StartT> starts;
    std::vector<AdviceRequest> advice; ///< In order of urgency, the most urgent first.
    /// Due time, in Unix milliseconds, of the earliest occurrence that is not due yet; 0 if there is none.
    int64_t nextDueMs = 0;
    UnplacedTasks unplaced;
    /// Earliest time at which a task that was left out may start because of the time alone, beside `nextDueMs`.
    std::optional<TimePoint> retryAt;
    std::vector<WaitingStep> waiting; ///< The first steps with tasks that were left out, for operators.
    std::set<std::string> waitingTenants; ///< Tenants with tasks that wait for room or for their cap.
};

/// Everything that a plan depends on.
struct PlannerInput {
    const State& state;
    const TicketCache& tickets;
    std::function<WorkerHealthView(uint32_t serial)> health;
    /// Returns true while a call to the advisor about the step is in flight; no second one is requested.
    std::function<bool(const StepKey&)> isAdvicePending;
    TimePoint now; ///< Time at which tickets must be valid.
    int64_t wallMs = 0; ///< Unix time in milliseconds; determines only which occurrences are due.
    /// Limit for one plan, which bounds the size of the log entry and the planning time. One large gang may be added to
    /// it; it is recorded by workers and not by tasks.
    size_t maxStarts = 256;
    bool mayStartLargeGang = true; ///< No orders of another large gang wait to be sent.
    /// Returns the time before which a gang must not start, if that is not past; may be null.
    std::function<std::optional<TimePoint>(const StepKey&)> deferredUntil {};
};

/// Returns a plan for the waiting tasks that may start now, the most urgent queues first. Within one priority, the
/// tenant that uses least relative to its weight comes first, and then the order of acceptance.
Plan plan(const PlannerInput& input);

} // namespace turmericpier::cell
