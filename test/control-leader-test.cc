#include "control-fake-world.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::control;
using namespace turmericpier::control::fakes;

namespace {
void putTeam(Simulation& simulation)
{
    rpc::OperateRequest team;
    team.mutable_put_team()->set_name("t");
    team.mutable_put_team()->mutable_quota()->set_milli_cpu(100'000);
    team.mutable_put_team()->mutable_quota()->set_memory_mib(100'000);
    simulation.operate(team);
}

void advanceBy(Simulation& simulation, Duration span)
{
    for (const auto end = simulation.now + span; simulation.now < end;)
        simulation.advance();
}
} // namespace

TEST_CASE("jobs complete if there are no faults")
{
    Simulation simulation(1);
    putTeam(simulation);
    advanceBy(simulation, milliseconds(500));
    simulation.submit("j", 4, 800, milliseconds(1'000));
    advanceBy(simulation, std::chrono::seconds(20));
    INFO((simulation.leader ? simulation.leader->explain(JobId("j")) : ""));
    CHECK(simulation.errors == std::vector<std::string> {});
    CHECK(simulation.allEnded());
    CHECK(simulation.starts == 4);
}

TEST_CASE("reports of a restarted worker are accepted although their sequence restarts")
{
    Simulation simulation(2);
    putTeam(simulation);
    advanceBy(simulation, std::chrono::seconds(10));
    simulation.workers[0].restart();
    advanceBy(simulation, std::chrono::seconds(5));
    CHECK_FALSE(simulation.leader->isLost(WorkerId("w0")));
    CHECK(simulation.errors == std::vector<std::string> {});
}

TEST_CASE("a lost start is not sent again after the job is cancelled")
{
    Simulation simulation(3);
    putTeam(simulation);
    advanceBy(simulation, milliseconds(500));
    simulation.submit("j", 1, 800, milliseconds(5'000));
    simulation.onStep = [&](Step step) {
        if (step == Step::Start)
            simulation.loseCommands = 1;
        if (step == Step::Commit)
            simulation.pendingFaults.emplace_back([&] { simulation.cancel("j"); });
    };
    advanceBy(simulation, std::chrono::seconds(60));
    CHECK(simulation.errors == std::vector<std::string> {});
    CHECK(simulation.allEnded());
    CHECK(simulation.starts == 0);
}

TEST_CASE("a placement on a drained worker is refused, and a placed job does not end as NOT_RUN")
{
    ControlState state;
    uint64_t index = 0;
    const auto apply = [&](const log::ControlCommand& command) {
        return state.apply(Index { ++index }, command.SerializeAsString());
    };
    log::ControlCommand team, worker, job, placement, drain, end;
    team.mutable_operate()->set_request_id("1");
    team.mutable_operate()->mutable_put_team()->set_name("t");
    worker.mutable_workers()->add_workers()->set_worker("w");
    job.mutable_operate()->set_request_id("2");
    job.mutable_operate()->mutable_submit_job()->set_name("j");
    job.mutable_operate()->mutable_submit_job()->set_team("t");
    job.mutable_operate()->mutable_submit_job()->set_partner("p");
    job.mutable_operate()->mutable_submit_job()->set_tasks(1);
    auto& item = *placement.mutable_placements()->add_placements();
    item.set_task("j.0");
    item.set_worker("w");
    item.set_epoch(1);
    for (const auto& command : { team, worker, job })
        apply(command);
    CHECK_FALSE(apply(placement).empty());
    drain.mutable_operate()->set_request_id("3");
    drain.mutable_operate()->set_drain_worker("w");
    apply(drain);
    item.set_epoch(2);
    CHECK(apply(placement).empty());
    auto& jobEnd = *end.mutable_job_ends()->add_ends();
    jobEnd.set_job("j");
    jobEnd.set_outcome(rpc::NOT_RUN);
    apply(end);
    CHECK(state.jobs().at(JobId("j")).outcome == rpc::UNKNOWN);
}
