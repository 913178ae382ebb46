#pragma once

#include "soak/cluster.h"
#include "soak/worker-links.h"
#include "soak/worker.h"
#include "soak/world.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Disturbances of workers: they restart, hang, act late and are cut off, alone, together and behind one another.
namespace turmericpier::soak {

/// A disturbance by its name.
using Fault = std::pair<std::string, std::function<void()>>;

class WorkerFaults {
public:
    WorkerFaults(World& world, Cluster& cluster, WorkerLinks& links, std::vector<std::unique_ptr<Worker>>& workers);

    std::vector<Fault> all();
    /// Calls the function with the control process that leads; with any one if none says so.
    void withLeader(std::function<void(Process&)> function);

private:
    enum class Load { Any, Idle, Busy };

    /// Returns a worker that is up, with such a load if there is one.
    Worker& anyWorker(Load load);
    /// Restarts the worker. While it is down its address refuses connections, or nothing is heard of it.
    void restart(Worker& worker, milliseconds downTime, bool dark);
    void cutOff(Worker& worker, Time until);
    void restartShare();
    void restartAndCutOff();
    void restartBehindCut();
    void hang();

    World& m_world;
    Cluster& m_cluster;
    WorkerLinks& m_links;
    std::vector<std::unique_ptr<Worker>>& m_workers;
    http::Client m_http;
};

} // namespace turmericpier::soak
