#include "cases.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

/// LOST: a task that lasts is not started again, although all workers are sound and nearly empty. A job whose tasks fail at
/// each start has come before. Further jobs come once a second, so that the system has a reason to plan.
bool failingService(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr int workers = 16;
    constexpr int failingTasks = 48;
    constexpr double restartSeconds = 6; // From the end of the last run of a task that lasts.
    constexpr double idleSeconds = 3;
    constexpr int longestWait = 40;
    auto& scene = Scene::make(record, { .cluster = { .repository = repository }, .workers = workers });
    const std::string serving = "/sync/";
    const std::string batch = "/close/";
    scene.start({ makeQueue("r-close", batch, 2, 2), makeQueue("r-sync", serving, 1, 4) });
    const auto submit = [&](const std::string& prefix, const std::string& id, const std::string& spec, int count) {
        json::object step { { "count", count }, { "cpu", 300 }, { "mem-mb", 128 }, { "est-ms", 320 } };
        if (prefix == serving)
            step["long-running"] = true;
        if (!scene.client.submit(prefix, id, { { "spec", spec }, { "steps", json::array { step } } }))
            throw CannotRun("a job is not accepted");
    };
    const std::string id = "1111111111111110";
    const std::string task = id + ".0.0.0";
    submit(serving, id, "lasts", 1);
    if (!scene.waitForRun(task, 10))
        throw CannotRun("the task does not run");
    // Twenty jobs, of which one can never be done.
    constexpr int jobs = 20;
    for (int i = 0; i < jobs; ++i) {
        const bool fails = isDisturbed && i == jobs - 1;
        const auto number = std::to_string(100 + i);
        submit(fails ? serving : batch, "2222222222222" + number, fails ? "fails" : "ms=500", fails ? failingTasks : 1);
        std::this_thread::sleep_for(milliseconds(150));
    }
    // Until the failing tasks have not been started for a second.
    const auto lastStart = [&] {
        SteadyTime latest {};
        for (const auto& run : scene.history.runs())
            latest = std::max(latest, run.startedAt);
        return latest;
    };
    scene.waitFor(30, [&] { return secondsBetween(lastStart(), now()) > 1; });
    record.write("no task has been started for a second; " + std::to_string(scene.history.runs().size()) + " runs so far");
    auto* worker = scene.findRunning(task);
    if (!worker || !worker->fail(task))
        throw CannotRun("the task does not run any more");
    const auto failedAt = now();
    bool runsAgain = false;
    for (int i = 0; i < longestWait && !runsAgain; ++i) {
        submit(batch, "3333333333333" + std::to_string(100 + i), "ms=300", 1);
        runsAgain = scene.waitFor(1, [&] { return secondsBetween(failedAt, now()) > 0.2 && scene.findRunning(task); });
    }
    const auto idle = secondsBetween(failedAt, now());
    record.write("the task that lasts was not running for " + std::to_string(idle) + " s"
        + (runsAgain ? "" : ", and does not run yet"));
    if (scene.cluster.hasEnded())
        throw CannotRun("a process has ended");
    return idle > restartSeconds + idleSeconds;
}

} // namespace review
