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
