#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"
#include "turmericpier/cell/tickets.h"
#include "turmericpier/cell/wait-reason.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
    /// Returns the waiting tasks of a step that must not start yet, with the time of their next start; may be null. A
    /// gang is represented by its first member.
    std::function<std::vector<std::pair<uint32_t, TimePoint>>(const StepKey&)> delayedTasks {};
};

/// Returns a plan for the waiting tasks that may start now, the most urgent queues first. Within one priority, the
/// tenant that uses least relative to its weight comes first, and then the order of acceptance.
Plan plan(const PlannerInput& input);

} // namespace turmericpier::cell
