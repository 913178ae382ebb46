#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Answers of the advisor about the steps of queues whose policy allows only some workers.
namespace turmericpier::cell {

/// What is known about whether a worker may run a step.
enum class Fitness {
    Unknown, ///< The advisor was not asked.
    Unfit,
    Fit, ///< The worker may run the step, and its ticket is valid.
    Expired, ///< The worker may run the step, but its ticket must be renewed.
};

/// Stores the advisor's answers with their tickets until the job or the worker is removed.
class TicketCache {
public:
    /// Stores an answer about the workers in `asked`. `validUntil` must be computed from the time at which the call was
    /// sent.
    void record(const StepKey& step, const std::vector<uint32_t>& asked, const std::map<uint32_t, std::string>& fit,
        TimePoint validUntil);
    Fitness fitnessOf(const StepKey& step, uint32_t worker, TimePoint now) const;
    /// Returns the workers that the advisor was asked about, with their fitness, in ascending order of the serials.
    std::vector<std::pair<uint32_t, Fitness>> askedWorkers(const StepKey& step, TimePoint now) const;
    /// Returns the serials of the workers with a valid ticket, in ascending order.
    std::vector<uint32_t> fitWorkers(const StepKey& step, TimePoint now) const;
    /// Returns null unless there is a valid ticket.
    const std::string* ticketFor(const StepKey& step, uint32_t worker, TimePoint now) const;
    /// Marks the ticket as expired; for a ticket that a worker has refused.
    void expire(const StepKey& step, uint32_t worker);
    void forgetWorker(uint32_t worker);
    void forgetJob(const std::string& job);

private:
    struct Entry {
        bool fit = false;
        std::string ticket;
        TimePoint validUntil;
    };
    static Fitness fitnessOf(const Entry& entry, TimePoint now);
    const Entry* find(const StepKey& step, uint32_t worker) const;

    std::map<StepKey, std::map<uint32_t, Entry>> m_steps; ///< Entries by step and serial of the worker.
};

} // namespace turmericpier::cell
