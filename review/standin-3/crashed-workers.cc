#include "cases.h"

namespace review {

using std::chrono::milliseconds;

/// LOST: a job is shown as failed although no run of its task has ended as failed. Two workers crash one after the other,
/// each while it runs the task.
bool crashedWorkers(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr milliseconds downTime { 4'500 };
    constexpr milliseconds timeBeforeCrash { 2'000 };
    Scene scene(record, { .cluster = { .repository = repository }, .workers = 8 });
    const std::string prefix = "/close/";
    const std::string id = "5c0e7a21d94b36f8";
    const std::string task = id + ".0.0.0";
    scene.start({ makeQueue("r-close", prefix, 2, 2) });
    const boost::json::object job { { "spec", "ms=6000" },
        { "steps",
            boost::json::array {
                boost::json::object { { "count", 1 }, { "cpu", 2700 }, { "mem-mb", 1024 }, { "est-ms", 6000 } } } } };
    if (!scene.client.submit(prefix, id, job))
        throw CannotRun("the job is not accepted");
    for (int crash = 0; isDisturbed && crash < 2; ++crash) {
        auto* worker = scene.waitForRun(task, 20);
        if (!worker)
            throw CannotRun("the task does not run");
        std::this_thread::sleep_for(timeBeforeCrash);
        worker->crash();
        std::this_thread::sleep_for(downTime);
        if (!worker->start())
            throw CannotRun("the worker cannot start again");
    }
    std::string state;
    scene.waitFor(40, [&] {
        state = scene.client.state(prefix, id);
        return state == "done" || state == "failed" || state == "410";
    });
    size_t failed = 0;
    for (const auto& run : scene.history.runs())
        failed += run.task == task && run.end == "failed" ? 1 : 0;
    record.write("the job is shown as '" + state + "'; runs of its task that ended as failed: " + std::to_string(failed));
    if (scene.cluster.hasEnded())
        throw CannotRun("a process has ended");
    return state == "failed" && failed == 0;
}

} // namespace review
