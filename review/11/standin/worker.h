#pragma once

#include "http.h"
#include "record.h"

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <set>
#include <thread>
#include <vector>

/// Stand-in for a worker: heartbeats, start and stop orders, polls, leases and fencing tokens, as the pages describe
/// them.
namespace review {

struct WorkerOptions {
    std::string id;
    std::string ip;
    int port = 8080;
    std::string service = "svc";
    std::vector<std::string> labels { "a", "r1-1" };
    int64_t cpu = 16000;
    int64_t memory = 32768;
    std::vector<std::string> controls;
};

/// A run that the worker has begun.
struct RunLog {
    std::string worker;
    std::string task;
    int64_t run = 0;
    SteadyTime startedAt;
    SteadyTime endedAt;
    std::string end; ///< Empty while it runs; "lost" if it has ended with the worker.
};

/// What all workers have run.
class History {
public:
    size_t add(RunLog log)
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back(std::move(log));
        return m_runs.size() - 1;
    }
    void end(size_t index, const std::string& how)
    {
        std::lock_guard lock(m_mutex);
        m_runs[index].end = how;
        m_runs[index].endedAt = now();
    }
    std::vector<RunLog> runs() const
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RunLog> m_runs;
};

class Worker {
public:
    Worker(Record& record, History& history, WorkerOptions options);
    ~Worker();

    bool start();
    /// Ends at once: all connections and all that runs are lost.
    void crash();
    /// Cuts the worker off: it sends and answers nothing until `until`, and runs on.
    void cutOff(SteadyTime until);
    /// Reports `draining` from now on.
    void drain();
    /// Takes leave and ends, as after a drain.
    void leave();
    bool isUp() const { return m_up; }
    bool isDraining() const { return m_draining; }
    /// Time of the first acknowledgement of a heartbeat with `draining`.
    std::optional<SteadyTime> drainAcknowledgedAt() const;
    bool isRegistered() const { return m_acknowledged; }
    const std::string& id() const { return m_options.id; }
    /// Ends the task as failed. Returns false if it does not run here.
    bool fail(const std::string& task);
    /// Names of the tasks that run here.
    std::set<std::string> running() const;

    /// Returns the time from the begin of a run to the answer to its order; none if it is not set.
    std::function<std::chrono::milliseconds()> startAnswerDelay;

private:
    struct Life;
    void serve(const std::shared_ptr<Life>& life);
    void serveConnection(const std::shared_ptr<Life>& life, int socket);
    std::string handle(Life& life, const Message& request);
    std::string startRun(Life& life, const boost::json::object& body);
    std::string stopRun(Life& life, const boost::json::object& body);
    std::string poll(Life& life, std::unique_lock<std::mutex>& lock, const boost::json::object& body);
    void tick(const std::shared_ptr<Life>& life);
    void beat(const std::shared_ptr<Life>& life);
    void awaitLink() const;

    Record& m_record;
    History& m_history;
    const WorkerOptions m_options;
    std::shared_ptr<Life> m_life;
    std::atomic<bool> m_up { false };
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_acknowledged { false };
    std::atomic<SteadyTime> m_cutOffUntil { SteadyTime {} };
    mutable std::mutex m_drainMutex;
    std::optional<SteadyTime> m_drainAcknowledgedAt;
};

} // namespace review
