#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// What the advisor has said about the steps of queues whose policy allows only some workers.
namespace turmericpier::cell {

/// Names a step of one occurrence; `index` of the key is 0.
using StepKey = TaskKey;

inline StepKey stepOf(const TaskKey& task) { return { task.job, task.occurrence, task.step, 0 }; }

enum class Fitness {
    Unknown, ///< The advisor was not asked.
    Unfit,
    Fit, ///< The ticket is valid.
    Expired, ///< Fit, but the ticket has to be renewed.
};

class TicketCache {
public:
    /// Records an answer about the workers that were asked. `validUntil` is counted from the sending of the call.
    void record(const StepKey& step, const std::vector<uint32_t>& asked, const std::map<uint32_t, std::string>& fit,
        TimePoint validUntil);
    Fitness fitnessOf(const StepKey& step, uint32_t worker, TimePoint now) const;
    /// Serials of the workers with a valid ticket, in rising order.
    std::vector<uint32_t> fitWorkers(const StepKey& step, TimePoint now) const;
    /// Null unless the ticket is valid.
    const std::string* ticketFor(const StepKey& step, uint32_t worker, TimePoint now) const;
    /// A worker has refused the ticket.
    void expire(const StepKey& step, uint32_t worker);
    void forgetWorker(uint32_t worker);
    void forgetJob(const std::string& job);

private:
    struct Entry {
        bool fit = false;
        std::string ticket;
        TimePoint validUntil;
    };
    const Entry* find(const StepKey& step, uint32_t worker) const;

    std::map<StepKey, std::map<uint32_t, Entry>> m_steps; ///< By step and serial of the worker.
};

} // namespace turmericpier::cell
