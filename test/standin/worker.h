#pragma once

#include "turmericpier/base/clock.h"
#include "worker.grpc.pb.h"

#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/// Stand-in worker for tests and the quick start.
namespace turmericpier::standin {

/// Faults that the worker simulates.
struct Faults {
    bool failAll = false; ///< Every task and request fails.
    uint32_t stallMs = 0; ///< Added to the duration of each request.
    uint32_t loseAnswersPercent = 0; ///< Percentage of requests that run but whose answer is lost.
    double sizeFactor = 1; ///< Reported usage as a multiple of the limit.
};

/// Settings of the worker, taken from the flags.
struct WorkerOptions {
    std::string id;
    std::string dataCentre;
    std::string region;
    std::string rack;
    std::vector<std::string> services;
    std::vector<std::string> entries; ///< Addresses tried in turn for the announce stream.
    int64_t milliCpu = 16'000;
    int64_t memoryMib = 32'768;
    int64_t accelerators = 0;
    uint32_t slots = 8;
    uint32_t connections = 64;
    uint32_t serviceTimeMs = 2; ///< Duration of one request.
    /// Duration of a task whose command is not a number. A number is the duration in milliseconds; a task with the
    /// command "forever" runs until it is stopped.
    uint32_t taskTimeMs = 500;
    uint32_t reportMs = 300; ///< Time between two reports.
    std::string executionLog; ///< File to which a line is appended when an execution begins or ends; empty for none.
    Faults faults;
    uint64_t seed = 1;
};

/// Executes requests and keeps the state and answer of every attempt, the fences and the number of used slots.
/// Thread-safe.
class RequestTable {
public:
    RequestTable(const WorkerOptions& options, uint64_t incarnation);

    /// Executes a request within this call, or refuses it with NOT_RUN.
    grpc::Status execute(const rpc::ExecuteRequest& request, rpc::ExecuteReply& reply);
    /// Returns the state of an attempt and fences it if it has not been seen.
    rpc::QueryReply query(const rpc::QueryRequest& request);
    /// Refuses requests of the entry with a lower grant epoch from now on.
    void fence(const rpc::Fence& fence);
    /// Returns the fences for which no request with a lower grant epoch is running any more.
    std::vector<rpc::Fence> completedFences() const;
    /// Number of requests that are running.
    uint32_t running() const;

private:
    enum class State {
        Running,
        Done,
        Fenced,
    };
    struct Attempt {
        State state = State::Running;
        std::string answer;
        bool hasFailed = false;
        std::string entry;
        uint64_t grantEpoch = 0;
    };
    using AttemptKey = std::pair<std::string, uint32_t>;

    /// Returns the state of all attempts up to the given one, and fences them if none is running.
    rpc::QueryReply queryUpTo(const rpc::QueryRequest& request, rpc::QueryReply reply);
    /// Returns the reason to refuse a request, or OK.
    grpc::Status admit(const rpc::ExecuteRequest& request);
    void writeLog(const char* event, const rpc::ExecuteRequest& request);

    const WorkerOptions& m_options;
    const uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    std::map<AttemptKey, Attempt> m_attempts;
    std::map<std::string, uint64_t> m_fences; ///< Lowest accepted grant epoch, by entry.
    std::map<std::string, uint32_t> m_fencedAttempts; ///< Highest fenced attempt of each key.
    uint32_t m_running = 0;
    uint64_t m_executed = 0;
    std::ofstream m_log;
};

/// Simulates tasks with leases and fencing epochs. Thread-safe.
class TaskTable {
public:
    TaskTable(const WorkerOptions& options, uint64_t incarnation, const Clock& clock);

    /// Executes a command other than a fence.
    void apply(const rpc::WorkerCommand& command);
    /// Stores the current time as the send time of a report. Leases that refer to the report start at this time.
    void recordReportSent(uint64_t sequence);
    /// Returns a report for each task whose end has not been acknowledged.
    std::vector<rpc::TaskReport> reports();
    /// Returns true if no task is running.
    bool isIdle();

private:
    struct Task {
        rpc::StartTask start;
        rpc::TaskState state = rpc::TASK_RUNNING;
        TimePoint finishesAt; ///< Time at which the task finishes if it is not stopped.
        TimePoint leaseExpiresAt;
        bool runsForever = false;
        uint64_t checkpoint = 0;
        std::string message;
    };

    void start(const rpc::StartTask& start);
    void stop(const rpc::StopTask& stop, Task* running);
    void renew(const rpc::RenewLeases& renew);
    /// Updates the state of tasks that have finished, have failed or have lost their lease.
    void updateStates();

    const WorkerOptions& m_options;
    const uint64_t m_incarnation;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, uint64_t> m_newestEpoch; ///< By task; a start with this or a lower epoch is ignored.
    std::map<uint64_t, TimePoint> m_sentAt; ///< Send times of reports, by sequence number.
};

} // namespace turmericpier::standin
