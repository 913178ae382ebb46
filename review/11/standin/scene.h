#pragma once

#include "client.h"
#include "worker.h"

#include <memory>
#include <stdexcept>
#include <vector>

/// A small deployment with its workers, and what the cases have in common.
namespace review {

/// Ends a case that cannot run.
struct CannotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct SceneOptions {
    ClusterOptions cluster;
    int workers = 8;
    int64_t workerCpu = 16'000;
};

class Scene {
public:
    /// Makes a scene that is never destroyed, because the threads of its workers use it until the process ends.
    static Scene& make(Record& record, SceneOptions options) { return *new Scene(record, std::move(options)); }

    /// Starts the processes and the workers, and waits until the configuration is acknowledged, every worker is
    /// registered, and a first job is done.
    void start(boost::json::array queues);
    /// Waits until the condition holds; returns false at the time-out.
    bool waitFor(double seconds, const std::function<bool()>& condition);
    /// Waits until a worker that is up runs the task, and returns it; null at the time-out.
    Worker* waitForRun(const std::string& task, double seconds);
    Worker* findRunning(const std::string& task);

    Record& record;
    History history;
    Cluster cluster;
    Client client;
    std::vector<std::unique_ptr<Worker>> workers;

private:
    Scene(Record& record, SceneOptions options);
};

} // namespace review
