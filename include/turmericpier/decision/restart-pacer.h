#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <tuple>
#include <vector>

/// Limits the rate of restarts after the loss of a rack, switch or data centre, so that they do not overload the
/// remaining workers.
///
///     RestartPacer pacer({});
///     pacer.setWorkers(live, now);
///     pacer.add({ task, priority, belowFloor });
///     for (const TaskId& task : pacer.take(now))
///         queue(task);
namespace turmericpier::decision {

struct RestartPacerOptions {
    /// Restarts per second and live worker. 8,500 workers give 1,700 starts/s, the peak for which the cell is designed.
    double ratePerWorker = 0.2;
    /// Restarts per live worker that can be released at once, so that the loss of a few tasks causes no delay.
    double burstPerWorker = 0.5;
    /// Restarts per live worker by which critical restarts may exceed the burst. Other restarts then wait until the
    /// tokens have been refilled at the normal rate.
    double criticalBurstPerWorker = 4;
};

/// A task that has to be restarted.
struct RestartItem {
    TaskId task;
    uint32_t priority = 0;
    bool belowFloor = false; ///< The task belongs to a service with fewer running replicas than its floor.
};

/// Queues restarts and releases them with a token bucket. Critical restarts (urgent tasks and services below their
/// floor) come first, then higher priorities, then earlier arrivals.
class RestartPacer {
public:
    explicit RestartPacer(RestartPacerOptions options);

    /// Sets the number of live workers, which determines the rate and the burst.
    void setWorkers(size_t workers, TimePoint now);
    /// Adds a task to the queue, or moves it to its new place if it is queued already.
    void add(const RestartItem& item);
    /// Removes a task that no longer needs a restart. Returns false if it is not queued.
    bool remove(const TaskId& task);

    /// Removes the tasks that may restart now from the queue and returns them.
    std::vector<TaskId> take(TimePoint now);
    /// Returns the next time at which take() releases a task, or the latest time if no task is queued or no worker is
    /// live.
    TimePoint nextRelease(TimePoint now) const;
    /// Number of queued tasks.
    size_t waiting() const { return m_queue.size(); }

private:
    /// Not critical, inverted priority, sequence number.
    using Key = std::tuple<bool, uint32_t, uint64_t>;

    void refill(TimePoint now);
    /// Tokens added per second.
    double rate() const;
    /// Capacity of the token bucket.
    double burst() const;
    /// Tokens required to release the first task; negative for a critical task, which may overdraw the bucket.
    double requiredTokens() const;

    RestartPacerOptions m_options;
    absl::btree_map<Key, TaskId> m_queue;
    absl::btree_map<TaskId, Key> m_keys;
    size_t m_workers = 0;
    double m_tokens = 0;
    TimePoint m_lastRefill;
    uint64_t m_sequence = 0;
};

} // namespace turmericpier::decision
