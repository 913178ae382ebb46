#include "control-fake-world.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::control;
using namespace turmericpier::control::fakes;

namespace {
void putTeam(World& world)
{
    rpc::OperateRequest team;
    team.mutable_put_team()->set_name("t");
    team.mutable_put_team()->mutable_quota()->set_milli_cpu(100'000);
    team.mutable_put_team()->mutable_quota()->set_memory_mib(100'000);
    world.operate(team);
}

void pass(World& world, Duration span)
{
    for (const auto end = world.now + span; world.now < end;)
        world.advance();
}
} // namespace

TEST_CASE("jobs run to their end without faults")
{
    World world(1);
    putTeam(world);
    pass(world, milliseconds(500));
    world.submit("j", 4, 800, milliseconds(1'000));
    pass(world, std::chrono::seconds(20));
    INFO((world.leader ? world.leader->explain(JobId("j")) : ""));
    CHECK(world.errors == std::vector<std::string> {});
    CHECK(world.allEnded());
    CHECK(world.starts == 4);
}

TEST_CASE("reports of a restarted worker count although its sequence starts again")
{
    World world(2);
    putTeam(world);
    pass(world, std::chrono::seconds(10));
    world.workers[0].restart();
    pass(world, std::chrono::seconds(5));
    CHECK_FALSE(world.leader->isLost(WorkerId("w0")));
    CHECK(world.errors == std::vector<std::string> {});
}

TEST_CASE("a lost start is not sent again after the job is cancelled")
{
    World world(3);
    putTeam(world);
    pass(world, milliseconds(500));
    world.submit("j", 1, 800, milliseconds(5'000));
    world.onStep = [&](Step step) {
        if (step == Step::Start)
            world.loseCommands = 1;
        if (step == Step::Commit)
            world.due.emplace_back([&] { world.cancel("j"); });
    };
    pass(world, std::chrono::seconds(60));
    CHECK(world.errors == std::vector<std::string> {});
    CHECK(world.allEnded());
    CHECK(world.starts == 0);
}

TEST_CASE("a placement on a drained worker is refused, and a placed job does not end as not run")
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
