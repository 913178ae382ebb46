#include "cases.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

/// LOST: a job whose task fills unused capacity never starts, although each worker has most of its room free. The one
/// worker without a task that serves is emptied and taken away.
bool fillingTasks(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr int workers = 16;
    constexpr double finishSeconds = 14; // finish_s
    constexpr double idleSeconds = 3;
    auto& scene = Scene::make(record, { .cluster = { .repository = repository }, .workers = workers });
    const std::string serving = "/sync/";
    const std::string batch = "/close/";
    scene.start({ makeQueue("r-close", batch, 2, 2), makeQueue("r-sync", serving, 1, 4) });
    const json::object service { { "spec", "lasts" },
        { "steps",
            json::array { json::object { { "count", workers - 1 }, { "cpu", 2000 }, { "mem-mb", 2048 },
                { "est-ms", 320 }, { "long-running", true }, { "max-per-server", 1 }, { "image", "sync" },
                { "target-ms", 250 }, { "may-miss", 1 } } } } };
    if (!scene.client.submit(serving, "1111111111111111", service))
        throw CannotRun("the service is not accepted");
    const auto runningWorkers = [&] {
        return std::ranges::count_if(
            scene.workers, [](const auto& worker) { return worker->isUp() && !worker->running().empty(); });
    };
    if (!scene.waitFor(15, [&] { return runningWorkers() == workers - 1; }))
        throw CannotRun("the service does not run");
    std::this_thread::sleep_for(milliseconds(1'000));
    if (isDisturbed) {
        const auto free
            = std::ranges::find_if(scene.workers, [](const auto& worker) { return worker->running().empty(); });
        (*free)->drain();
        if (!scene.waitFor(10, [&] { return (*free)->drainAcknowledgedAt().has_value(); }))
            throw CannotRun("the drain is not acknowledged");
        std::this_thread::sleep_for(milliseconds(4'000));
        (*free)->leave();
        std::this_thread::sleep_for(milliseconds(3'000));
    }
    const std::string id = "2222222222222222";
    const json::object fill { { "spec", "ms=1000" },
        { "steps",
            json::array { json::object { { "count", 1 }, { "cpu", 1000 }, { "mem-mb", 1024 }, { "est-ms", 1000 },
                { "image", "close" }, { "fills", true } } } } };
    if (!scene.client.submit(batch, id, fill))
        throw CannotRun("the job is not accepted");
    const auto hasRun = [&] {
        return std::ranges::any_of(scene.history.runs(), [&](const auto& run) { return run.task == id + ".0.0.0"; });
    };
    scene.waitFor(finishSeconds + idleSeconds, hasRun);
    const auto state = scene.client.state(batch, id);
    record.write("workers with a task that serves: " + std::to_string(runningWorkers()) + " of "
        + std::to_string(std::ranges::count_if(scene.workers, [](const auto& worker) { return worker->isUp(); }))
        + "; each has 14000 of 16000 cpu and 30720 of 32768 mem-mb free; the job is shown as '" + state + "'");
    if (scene.cluster.hasEnded())
        throw CannotRun("a process has ended");
    return !hasRun() && state != "done";
}

} // namespace review
