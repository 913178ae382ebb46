#include "soak/worker-faults.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace turmericpier::soak {

namespace {
    // Bounds of the deployments: of cuts and of the time for which crashed workers are away, and the share of them.
    constexpr int64_t longestCutMs = 5'500;
    constexpr int64_t longestAbsenceMs = 4'500;
    constexpr double crashedShare = 0.14;
    constexpr milliseconds dumpTimeout { 300 };
} // namespace

WorkerFaults::WorkerFaults(
    World& world, Cluster& cluster, WorkerLinks& links, std::vector<std::unique_ptr<Worker>>& workers)
    : m_world(world)
    , m_cluster(cluster)
    , m_links(links)
    , m_workers(workers)
    , m_http(world.io, {}, world.clock, world.metrics)
{
}

std::vector<Fault> WorkerFaults::all()
{
    std::vector<Fault> faults;
    faults.emplace_back("a worker is cut off",
        [this] { cutOff(anyWorker(Load::Any), m_world.now() + m_world.randomTime(300, longestCutMs)); });
    faults.emplace_back("a busy worker is cut off",
        [this] { cutOff(anyWorker(Load::Busy), m_world.now() + m_world.randomTime(300, longestCutMs)); });
    faults.emplace_back("an idle worker restarts",
        [this] { restart(anyWorker(Load::Idle), m_world.randomTime(10, 900), m_world.chance(0.3)); });
    faults.emplace_back("a busy worker restarts",
        [this] { restart(anyWorker(Load::Busy), m_world.randomTime(10, 900), m_world.chance(0.3)); });
    faults.emplace_back("several workers restart", [this] { restartShare(); });
    faults.emplace_back("a worker restarts and is cut off", [this] { restartAndCutOff(); });
    faults.emplace_back("a worker restarts behind a cut", [this] { restartBehindCut(); });
    faults.emplace_back("a worker hangs", [this] { hang(); });
    faults.emplace_back("a worker acts late",
        [this] { anyWorker(Load::Any).actLate(m_world.now() + m_world.randomTime(1'000, longestCutMs)); });
    return faults;
}

void WorkerFaults::withLeader(std::function<void(Process&)> function)
{
    struct Search {
        std::function<void(Process&)> function;
        size_t unanswered = 0;
        Process* leader = nullptr;
    };
    auto search = std::make_shared<Search>(Search { std::move(function) });
    const auto controls = m_cluster.controls();
    search->unanswered = controls.size();
    for (auto* control : controls) {
        m_http.call(m_cluster.metricsAddress(*control), { "GET", "/dump", "", {} }, dumpTimeout,
            [this, search, control](const http::ClientResponse& response) {
                if (response.body.find("\"active\":true") != std::string::npos)
                    search->leader = control;
                if (--search->unanswered == 0)
                    search->function(search->leader ? *search->leader : m_cluster.anyControl());
            });
    }
}

Worker& WorkerFaults::anyWorker(Load load)
{
    std::vector<Worker*> fit;
    for (const auto& worker : m_workers) {
        if (worker->isUp() && (load == Load::Any || worker->isIdle() == (load == Load::Idle)))
            fit.push_back(worker.get());
    }
    return fit.empty() ? *m_world.pick(m_workers) : *m_world.pick(fit);
}

void WorkerFaults::restart(Worker& worker, milliseconds downTime, bool dark)
{
    if (!worker.isUp())
        return;
    if (dark) {
        m_links.cut(worker.address(), {}, m_world.now() + downTime);
    } else {
        m_links.refuse(worker.address(), true);
        m_world.after(downTime, [this, &worker] { m_links.refuse(worker.address(), false); });
    }
    worker.crash(downTime);
}

/// Cuts both ways, or one of them. Heartbeats reach their receivers while only what goes to the worker is lost, and at
/// times while only some processes cannot be reached.
void WorkerFaults::cutOff(Worker& worker, Time until)
{
    const auto ways = m_world.random(0, 3);
    const Cut cut { ways != 1, ways != 2 };
    m_world.trace(absl::StrCat("worker ", worker.address(), " is cut off", cut.toWorker ? " inwards" : "",
        cut.fromWorker ? " outwards" : "", " until ", until.count()));
    m_links.cut(worker.address(), cut, until);
    if (cut.fromWorker && m_world.chance(0.8))
        worker.loseHeartbeats(until);
}

void WorkerFaults::restartShare()
{
    const auto count = std::max<size_t>(2, static_cast<size_t>(crashedShare * static_cast<double>(m_workers.size())));
    const bool dark = m_world.chance(0.5);
    const auto downTime = m_world.randomTime(50, longestAbsenceMs);
    for (size_t i = 0; i < count; ++i)
        restart(anyWorker(Load::Any), downTime, dark);
}

void WorkerFaults::restartAndCutOff()
{
    auto& worker = anyWorker(Load::Idle);
    const auto downTime = m_world.randomTime(10, 900);
    restart(worker, downTime, m_world.chance(0.3));
    m_world.after(downTime + m_world.randomTime(0, 4'000),
        [this, &worker] { cutOff(worker, m_world.now() + milliseconds(longestCutMs)); });
}

void WorkerFaults::restartBehindCut()
{
    auto& worker = anyWorker(Load::Any);
    const auto cutTime = m_world.randomTime(1'000, longestCutMs);
    m_links.cut(worker.address(), {}, m_world.now() + cutTime);
    worker.loseHeartbeats(m_world.now() + cutTime);
    m_world.after(
        m_world.randomTime(0, cutTime.count()), [this, &worker] { worker.crash(m_world.randomTime(10, 300)); });
}

void WorkerFaults::hang()
{
    auto& worker = anyWorker(Load::Any);
    const auto time = m_world.randomTime(300, longestCutMs);
    worker.hang(m_world.now() + time);
    worker.loseHeartbeats(m_world.now() + time);
    if (m_world.chance(0.4))
        m_world.after(m_world.randomTime(100, time.count()),
            [this, &worker] { restart(worker, m_world.randomTime(10, 500), false); });
}

} // namespace turmericpier::soak
