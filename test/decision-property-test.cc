#include "decision-fake-cell.h"

#include <boost/json.hpp>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace turmericpier::decision::test;

namespace {

constexpr uint32_t workerCount = 6;

std::string workerName(uint32_t i) { return "w" + std::to_string(i); }

Worker randomWorker(FakeCell& cell, uint32_t i)
{
    return makeWorker(workerName(i), 2'000 + 1'000 * cell.random(4), 8'192, "r" + std::to_string(i / 2),
        i % 2 == 0 ? "vienna" : "graz", cell.random(2));
}

Job randomJob(FakeCell& cell, uint32_t number)
{
    const auto kind = std::array { JobKind::Batch, JobKind::Batch, JobKind::Gang, JobKind::Service }[cell.random(4)];
    auto job = makeJob("j" + std::to_string(number), 500 + 500 * cell.random(5), 1 + cell.random(4), kind);
    job.team = TeamId("t" + std::to_string(cell.random(3)));
    job.priority = cell.random(8) == 0 ? urgentPriority : cell.random(3);
    job.family = "f" + std::to_string(cell.random(3));
    if (kind == JobKind::Service)
        job.minAvailable = cell.random(job.tasks + 1);
    return job;
}

TaskEnd randomEnd(FakeCell& cell)
{
    const auto kind = cell.random(10);
    return kind < 7 ? TaskEnd::Finished : kind < 9 ? TaskEnd::Failed : TaskEnd::Stopped;
}

void applyRandomEvent(FakeCell& cell, uint32_t& nextJob)
{
    const auto number = cell.random(workerCount);
    const WorkerId id(workerName(number));
    const bool exists = cell.workers.contains(id);
    switch (cell.random(14)) {
    case 0:
    case 1:
    case 2:
        cell.submit(randomJob(cell, nextJob++));
        break;
    case 3:
        if (!cell.jobs.empty())
            cell.cancel(std::next(cell.jobs.begin(), cell.random(static_cast<uint32_t>(cell.jobs.size())))->first);
        break;
    case 4:
        if (!exists)
            cell.workers[id].worker = randomWorker(cell, number);
        else if (cell.random(3) == 0)
            cell.workers[id].worker.capacity = randomWorker(cell, number).capacity;
        cell.announce(id);
        break;
    case 5:
        if (exists && cell.workers[id].announced)
            cell.disconnect(id);
        break;
    case 6:
        if (exists && cell.random(3) == 0)
            cell.restart(id);
        break;
    case 7:
        if (exists && cell.random(4) == 0)
            cell.remove(id);
        break;
    case 8:
        if (exists && cell.workers[id].announced)
            cell.drain(id, cell.random(2) == 0);
        break;
    case 9:
        if (cell.random(4) == 0)
            cell.changeLeader();
        break;
    case 10:
        if (exists && cell.workers[id].connected && cell.workers[id].announced)
            cell.report(id);
        break;
    default:
        if (exists)
            cell.endTask(id, randomEnd(cell));
    }
}

/// Checks that a cell without jobs has no allocated, reserved or stopping resources and no waiting jobs.
void checkNoCapacityInUse(const FakeCell& cell)
{
    const auto dump = boost::json::parse(cell.engine().dump()).as_object();
    const auto empty = [](const boost::json::value& resources) {
        const auto& r = resources.as_object();
        return r.at("milliCpu") == 0 && r.at("memoryMib") == 0 && r.at("accelerators") == 0;
    };
    for (const auto& worker : dump.at("workers").as_array()) {
        for (const auto* sum : { "used", "reserved", "stopping" })
            CHECK(empty(worker.as_object().at(sum)));
    }
    for (const auto& team : dump.at("teams").as_array()) {
        CHECK(empty(team.as_object().at("usage")));
        CHECK(team.as_object().at("waitingJobs") == 0);
    }
    CHECK(dump.at("reservations").as_array().empty());
    CHECK(dump.at("taskCount") == 0);
    CHECK(dump.at("pacedRestarts") == 0);
}

/// Stops injecting faults and finishes tasks until all jobs have ended.
void runToCompletion(FakeCell& cell)
{
    cell.lossPercent = 0;
    for (uint32_t i = 0; i < workerCount; ++i) {
        const WorkerId id(workerName(i));
        cell.workers[id].worker = makeWorker(workerName(i), 5'000, 8'192, "r1", "vienna", 1);
        cell.announce(id);
        cell.drain(id, false);
    }
    for (const auto& [id, job] : std::map<JobId, Job>(cell.jobs)) {
        if (job.kind == JobKind::Service && cell.jobs.contains(id))
            cell.cancel(id);
    }
    for (int i = 0; i < 1'000 && !cell.jobs.empty(); ++i) {
        cell.step(std::chrono::seconds(2));
        for (uint32_t w = 0; w < workerCount; ++w) {
            cell.report(WorkerId(workerName(w)));
            cell.endTask(WorkerId(workerName(w)), TaskEnd::Finished);
        }
    }
}

} // namespace

// Guards against overcommitted workers, tasks that run twice, partly placed gangs, cancelled jobs that start again, and
// jobs that never end, under any order of events.
TEST_CASE("invariants hold under random events and with delayed and lost messages")
{
    for (uint32_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        FakeCell cell(seed);
        uint32_t nextJob = 0;
        for (const auto* team : { "t0", "t1" })
            cell.changeTeam({ TeamId(team), { { 6'000 }, { 16'000 }, { 1 } } });
        for (int i = 0; i < 300; ++i) {
            applyRandomEvent(cell, nextJob);
            if (cell.random(2) == 0)
                cell.step(std::chrono::milliseconds(cell.random(cell.random(10) == 0 ? 40'000 : 2'000)));
        }
        runToCompletion(cell);
        if (!cell.jobs.empty())
            FAIL("job left: " << cell.engine().explain(cell.jobs.begin()->first) << "\n" << cell.engine().dump());
        CHECK(cell.placed > 20);
        // Restored placements of jobs that the new leader does not know reserve capacity until their leases end.
        cell.step(std::chrono::seconds(60));
        checkNoCapacityInUse(cell);
    }
}
