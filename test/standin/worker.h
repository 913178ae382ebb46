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

/// A stand-in for a worker, for tests and the quick start.
namespace turmericpier::standin {

/// How the worker misbehaves.
struct Faults {
    bool failAll = false; ///< Every task and request fails.
    uint32_t stallMs = 0; ///< Added to each request.
    uint32_t loseAnswersPercent = 0; ///< Requests that run, but whose answer is cut off.
    double sizeFactor = 1; ///< Reported usage as a multiple of the limit.
};

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
    uint32_t serviceTimeMs = 2; ///< Of one request.
    uint32_t taskTimeMs
        = 500; ///< Of a task with an empty command; "forever" runs until it is stopped, a number that long.
    uint32_t reportMs = 300;
    std::string executionLog; ///< File with a line for each execution that begins or ends; empty for none.
    Faults faults;
    uint64_t seed = 1;
};

/// Requests: slots, fences and answers kept by (key, attempt). Thread-safe.
class RequestTable {
public:
    RequestTable(const WorkerOptions& options, uint64_t incarnation);

    grpc::Status execute(const rpc::ExecuteRequest& request, rpc::ExecuteReply& reply);
    rpc::QueryReply query(const rpc::QueryRequest& request);
    void fence(const rpc::Fence& fence);
    std::vector<rpc::Fence> settledFences() const; ///< Those under which no older request runs any more.
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

    rpc::QueryReply queryUpTo(const rpc::QueryRequest& request, rpc::QueryReply reply);
    grpc::Status admit(const rpc::ExecuteRequest& request);
    void writeLog(const char* event, const rpc::ExecuteRequest& request);

    const WorkerOptions& m_options;
    const uint64_t m_incarnation;
    mutable std::mutex m_mutex;
    std::map<AttemptKey, Attempt> m_attempts;
    std::map<std::string, uint64_t> m_fences; ///< By entry.
    std::map<std::string, uint32_t> m_fencedAttempts; ///< Highest fenced attempt of each key.
    uint32_t m_running = 0;
    uint64_t m_executed = 0;
    std::ofstream m_log;
};

/// Tasks under leases with fencing epochs. Thread-safe.
class TaskTable {
public:
    TaskTable(const WorkerOptions& options, uint64_t incarnation, const Clock& clock);

    void apply(const rpc::WorkerCommand& command);
    /// The time at which a report is sent, the start of the leases that its acknowledgement renews.
    void reportSent(uint64_t sequence);
    std::vector<rpc::TaskReport> reports();
    bool isIdle();

private:
    struct Task {
        rpc::StartTask start;
        rpc::TaskState state = rpc::TASK_RUNNING;
        TimePoint ends; ///< On its own.
        TimePoint leaseEnds;
        bool runsForever = false;
        uint64_t checkpoint = 0;
        std::string message;
    };

    void start(const rpc::StartTask& start);
    void stop(const rpc::StopTask& stop, Task* running);
    void renew(const rpc::RenewLeases& renew);
    void advance();

    const WorkerOptions& m_options;
    const uint64_t m_incarnation;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::map<std::string, Task> m_tasks;
    std::map<std::string, uint64_t> m_newestEpoch; ///< Seen of each task; older or equal starts are ignored.
    std::map<uint64_t, TimePoint> m_sentAt; ///< By report sequence.
};

} // namespace turmericpier::standin
