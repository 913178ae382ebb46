#include "scene.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

Scene::Scene(Record& sceneRecord, SceneOptions options)
    : record(sceneRecord)
    , cluster(record, options.cluster)
    , client(record, cluster)
{
    constexpr int workersPerRack = 8;
    for (int i = 0; i < options.workers; ++i) {
        WorkerOptions worker;
        worker.id = "i-" + std::to_string(1000 + i);
        worker.ip = "127." + std::to_string(cluster.network()) + ".2." + std::to_string(i + 1);
        worker.labels = { "a", "r1-" + std::to_string(i / workersPerRack + 1) };
        worker.cpu = options.workerCpu;
        worker.controls = cluster.controlAddresses();
        workers.push_back(std::make_unique<Worker>(record, history, worker));
    }
}

void Scene::start(json::array queues)
{
    const auto prefix = std::string(queues.at(0).at("path-prefix").as_string());
    cluster.start();
    if (!client.putConfig(makeConfig(1, std::move(queues))))
        throw CannotRun("the first configuration is not acknowledged");
    for (const auto& worker : workers) {
        if (!worker->start())
            throw CannotRun("a worker cannot listen");
    }
    if (!waitFor(15, [&] {
            return std::ranges::all_of(workers, [](const auto& worker) { return worker->isRegistered(); });
        }))
        throw CannotRun("a worker is not registered");
    const std::string id = "00000000000000aa";
    const json::object job { { "spec", "ms=300" },
        { "steps", json::array { json::object { { "count", 1 }, { "cpu", 500 }, { "mem-mb", 256 }, { "est-ms", 300 } } } } };
    if (!client.submit(prefix, id, job) || !waitFor(10, [&] { return client.state(prefix, id) == "done"; }))
        throw CannotRun("the first job is not done");
    std::this_thread::sleep_for(milliseconds(1'000));
}

bool Scene::waitFor(double seconds, const std::function<bool()>& condition)
{
    const auto start = now();
    while (!condition()) {
        if (secondsBetween(start, now()) > seconds)
            return false;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return true;
}

Worker* Scene::findRunning(const std::string& task)
{
    for (const auto& worker : workers) {
        if (worker->isUp() && worker->running().contains(task))
            return worker.get();
    }
    return nullptr;
}

Worker* Scene::waitForRun(const std::string& task, double seconds)
{
    Worker* found = nullptr;
    waitFor(seconds, [&] { return (found = findRunning(task)) != nullptr; });
    return found;
}

} // namespace review
