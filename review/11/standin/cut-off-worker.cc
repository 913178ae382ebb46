#include "cases.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

/// LOST: a task that lasts is never started, although an empty worker is there for it. The job has come while this worker
/// was cut off for some seconds.
bool cutOffWorker(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr int workers = 16;
    constexpr milliseconds cutTime { 5'500 };
    constexpr milliseconds timeBeforeJob { 5'200 };
    constexpr double calmSeconds = 7; // The 3 s and the 4 s before them.
    constexpr double longestWait = 40;
    auto& scene = Scene::make(record, { .cluster = { .repository = repository }, .workers = workers });
    const std::string serving = "/sync/";
    scene.start({ makeQueue("r-close", "/close/", 2, 2), makeQueue("r-sync", serving, 1, 4) });
    auto& worker = *scene.workers[workers / 2];
    const auto cutEndsAt = now() + cutTime;
    if (isDisturbed)
        worker.cutOff(cutEndsAt);
    std::this_thread::sleep_for(timeBeforeJob);
    const std::string id = "1111111111111110";
    const json::object step { { "count", workers }, { "cpu", 1000 }, { "mem-mb", 512 }, { "est-ms", 320 },
        { "long-running", true }, { "max-per-server", 1 } };
    if (!scene.client.submit(serving, id, { { "spec", "lasts" }, { "steps", json::array { step } } }))
        throw CannotRun("the job is not accepted");
    const auto running = [&] {
        return std::ranges::count_if(
            scene.workers, [](const auto& candidate) { return !candidate->running().empty(); });
    };
    scene.waitFor(longestWait, [&] { return running() == workers; });
    const auto sinceCut = secondsBetween(cutEndsAt, now());
    record.write(std::to_string(running()) + " of " + std::to_string(workers) + " tasks run "
        + std::to_string(sinceCut) + " s after the cut; " + worker.id() + " runs "
        + std::to_string(worker.running().size()));
    const auto state = scene.client.state(serving, id);
    if (scene.cluster.hasEnded())
        throw CannotRun("a process has ended");
    return running() < workers && sinceCut > calmSeconds && state == "running";
}

} // namespace review
