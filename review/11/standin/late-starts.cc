#include "cases.h"

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {
    constexpr milliseconds answerTime { 50 };
    constexpr double slowFactor = 6.5;
} // namespace

/// DRAIN: a worker is told to start tasks later than drain-ms after its draining was acknowledged. Its answer to a start
/// order takes 50 ms, and 6.5 times as long for the seconds in which it is slow.
bool lateStarts(Record& record, const std::filesystem::path& repository, bool isDisturbed)
{
    constexpr double drainSeconds = 2.5; // drain-ms
    constexpr milliseconds slowTime { 7'000 };
    auto& scene = Scene::make(record, { .cluster = { .repository = repository }, .workers = 16 });
    const std::string batch = "/close/";
    const std::string serving = "/sync/";
    scene.start({ makeQueue("r-close", batch, 2, 2), makeQueue("r-sync", serving, 1, 4) });
    const auto submit = [&](const std::string& prefix, const std::string& id, const std::string& spec, int count,
                            bool lasts) {
        json::object step { { "count", count }, { "cpu", 150 }, { "mem-mb", 128 }, { "est-ms", 6000 } };
        if (lasts)
            step["long-running"] = true;
        if (!scene.client.submit(prefix, id, { { "spec", spec }, { "steps", json::array { step } } }))
            throw CannotRun("a job is not accepted");
    };
    // Further tasks go to the worker that is fullest.
    const std::string first = "1111111111111110";
    submit(serving, first, "lasts", 1, true);
    auto* worker = scene.waitForRun(first + ".0.0.0", 10);
    if (!worker)
        throw CannotRun("the first task does not run");
    std::this_thread::sleep_for(milliseconds(1'000));
    const auto slowUntil = now() + (isDisturbed ? slowTime : milliseconds(0));
    worker->startAnswerDelay = [slowUntil]() -> milliseconds {
        const auto factor = now() < slowUntil ? slowFactor : 1;
        return std::chrono::duration_cast<milliseconds>(answerTime * factor);
    };
    if (isDisturbed)
        record.write("from now on " + worker->id() + " is slow");
    for (const char* id : { "1111111111111111", "1111111111111112", "1111111111111113" })
        submit(batch, id, "ms=6000", 36, false);
    worker->drain();
    if (!scene.waitFor(10, [&] { return worker->drainAcknowledgedAt().has_value(); }))
        throw CannotRun("the drain is not acknowledged");
    std::this_thread::sleep_for(milliseconds(8'000));
    const auto acknowledgedAt = *worker->drainAcknowledgedAt();
    int late = 0;
    for (const auto& run : scene.history.runs()) {
        const auto after = secondsBetween(acknowledgedAt, run.startedAt);
        if (run.worker != worker->id() || after <= drainSeconds)
            continue;
        ++late;
        record.write(run.task + " run " + std::to_string(run.run) + " began on " + run.worker + " "
            + std::to_string(after) + " s after its draining was acknowledged");
    }
    if (scene.cluster.hasEnded())
        throw CannotRun("a process has ended");
    return late > 0;
}

} // namespace review
