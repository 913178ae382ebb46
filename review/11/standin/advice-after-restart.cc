#include "advisor.h"
#include "cases.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

/// LOST: tasks that last are not started again after all control processes have been without power, although the leader,
/// all workers and the advisor are there.
bool adviceAfterRestart(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr milliseconds powerOffTime { 6'500 };
    constexpr double recoverSeconds = 12; // recover-s
    constexpr int rounds = 4;
    auto& scene = Scene::make(record, { .cluster = { .repository = repository, .entries = 7 }, .workers = 8 });
    auto* advisor = new Advisor(record, scene.cluster.advisorIp(), Cluster::advisorPort); // Used by its threads.
    if (!advisor->start())
        throw CannotRun("the advisor cannot listen");
    const std::string serving = "/sync/";
    auto queue = makeQueue("r-sync", serving, 1, 4);
    queue["advice"] = json::object { { "decide-ms", 28.0 }, { "each-ms", 0.4 }, { "advice-ttl-ms", 2000 } };
    scene.start({ makeQueue("r-close", "/close/", 2, 2), queue });
    const std::string id = "1111111111111110";
    const json::object step { { "count", 4 }, { "cpu", 1000 }, { "mem-mb", 512 }, { "est-ms", 320 },
        { "long-running", true } };
    if (!scene.client.submit(serving, id, { { "spec", "lasts" }, { "steps", json::array { step } } }))
        throw CannotRun("the job is not accepted");
    const auto runs = [&] { return scene.findRunning(id + ".0.0.0") != nullptr; };
    if (!scene.waitFor(10, runs))
        throw CannotRun("the job does not run");
    bool broken = false;
    for (int round = 0; round < rounds && !broken; ++round) {
        std::this_thread::sleep_for(milliseconds(1'500));
        if (isDisturbed)
            scene.cluster.powerOffControls(powerOffTime);
        const auto backAt = now();
        scene.waitFor(recoverSeconds + 3, [&] {
            return secondsBetween(backAt, now()) > 2 && runs();
        });
        const auto state = scene.client.state(serving, id);
        record.write("round " + std::to_string(round) + ": " + std::to_string(secondsBetween(backAt, now()))
            + " s after the processes are back the task " + (runs() ? "runs" : "does not run") + ", the job is shown as '"
            + state + "'");
        if (scene.cluster.hasEnded())
            throw CannotRun("a process has ended");
        if (state != "running")
            throw CannotRun("the system does not answer");
        broken = !runs();
    }
    return broken;
}

} // namespace review
