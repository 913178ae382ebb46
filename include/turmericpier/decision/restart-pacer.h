#pragma once

#include "turmericpier/decision/model.h"

#include <absl/container/btree_map.h>
#include <tuple>
#include <vector>

/// Paces the restarts after the loss of a rack, switch or data centre, so that they do not overload what is left.
///
///     RestartPacer pacer({});
///     pacer.setWorkers(live, now);
///     pacer.add({ task, priority, belowFloor });
///     for (const TaskId& task : pacer.take(now))
///         queue(task);
namespace turmericpier::decision {

struct RestartPacerOptions {
    /// Restarts per second for each live worker. 8,500 workers take 1,700 starts/s, the peak designed for.
    double ratePerWorker = 0.2;
    /// Restarts at once for each live worker. Losses of a few tasks are not delayed.
    double burstPerWorker = 0.5;
    /// Critical restarts go beyond the burst by up to this many for each live worker; the others then wait until the
    /// rate has made up for it.
    double criticalPerWorker = 4;
};

struct RestartItem {
    TaskId task;
    uint32_t priority = 0;
    bool belowFloor = false; ///< Of a service with fewer running replicas than its floor.
};

/// Releases urgent tasks and services below their floor first, then by priority, then in order of arrival.
class RestartPacer {
public:
    explicit RestartPacer(RestartPacerOptions options);

    /// Number of live workers; sets the rate.
    void setWorkers(size_t workers, TimePoint now);
    /// Queues a task, or changes its place if it waits already.
    void add(const RestartItem& item);
    /// Drops a task that no longer needs its restart. Returns false if it does not wait.
    bool remove(const TaskId& task);

    /// Tasks to restart now.
    std::vector<TaskId> take(TimePoint now);
    /// When take() will next release a task; only meaningful if some wait.
    TimePoint nextRelease(TimePoint now) const;
    size_t waiting() const { return m_queue.size(); }

private:
    /// Not critical, inverse priority, order of arrival.
    using Key = std::tuple<bool, uint32_t, uint64_t>;

    void refill(TimePoint now);
    double rate() const;
    double burst() const;
    /// Tokens that must be there to release the first task.
    double needed() const;

    RestartPacerOptions m_options;
    absl::btree_map<Key, TaskId> m_queue;
    absl::btree_map<TaskId, Key> m_keys;
    size_t m_workers = 0;
    double m_tokens = 0;
    TimePoint m_refilled;
    uint64_t m_sequence = 0;
};

} // namespace turmericpier::decision
