#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"
#include "turmericpier/cell/tickets.h"

#include <functional>
#include <vector>

/// Decides which waiting tasks start where. Pure: reads the state and what the leader knows of the workers.
namespace turmericpier::cell {

/// What the leader knows of a worker beside the state.
struct WorkerHealthView {
    bool usable = false; ///< Answers, has seen this leader's token, and is not about to leave.
    double penalty = 0; ///< Recent failures; workers with less are taken first.
    bool recentlySuccessful = false; ///< The last run that ended there was successful, and is recent.
};

struct AdviceRequest {
    StepKey step;
    std::vector<uint32_t> workers; ///< Serials to ask about.
    Duration expectedDuration { 0 }; ///< Time of the call by the queue's figures.
};

struct Plan {
    std::vector<record::StartT> starts;
    std::vector<AdviceRequest> advice; ///< Most urgent first.
    /// Due time of the next occurrence that is not due yet, Unix milliseconds; 0 if there is none.
    int64_t nextDueMs = 0;
};

struct PlannerInput {
    const State& state;
    const TicketCache& tickets;
    std::function<WorkerHealthView(uint32_t serial)> health;
    /// True while a call to the advisor about the step is under way, so that no other one is wanted.
    std::function<bool(const StepKey&)> isAdvicePending;
    TimePoint now;
    int64_t wallMs = 0; ///< Unix time; decides only which occurrences are due.
    size_t maxStarts = 256; ///< Of one plan; bounds the size of a log entry and the time of a round.
};

Plan plan(const PlannerInput& input);

} // namespace turmericpier::cell
