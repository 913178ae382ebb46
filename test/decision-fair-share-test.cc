#include "turmericpier/decision/fair-share.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace turmericpier;
using namespace turmericpier::decision;
using Admission = FairShare::Admission;

namespace {

Resources amounts(int64_t cpu, int64_t memory = 0, int64_t accelerators = 0)
{
    return { MilliCpu { cpu }, MemoryMib { memory }, Accelerators { accelerators } };
}

} // namespace

// Guards against serving a borrower before a team within its quota, or a team without quota before all others.
TEST_CASE("teams within quota are served before borrowers", "[decision]")
{
    FairShare shares;
    shares.setCapacity(amounts(1'000, 1'000));
    shares.setTeam({ TeamId("a"), amounts(100, 100) });
    shares.setTeam({ TeamId("b"), amounts(500, 500) });
    for (const char* team : { "a", "b", "none" })
        shares.setWaiting(TeamId(team), true);
    shares.addUsage(TeamId("a"), amounts(150, 10));
    shares.addUsage(TeamId("b"), amounts(10, 450)); // Its dominant resource is memory: 90% of the quota.
    CHECK(shares.next() == TeamId("b"));
    CHECK(shares.nextAfter(TeamId("b")) == TeamId("none"));
    CHECK(shares.nextAfter(TeamId("none")) == TeamId("a"));
    CHECK(shares.nextAfter(TeamId("a")) == std::nullopt);
    CHECK(shares.dominantShare(TeamId("b")) == Approx(0.45));
    REQUIRE(shares.overQuota().size() == 1);
    CHECK(shares.overQuota()[0].excess == amounts(50));
    CHECK(shares.overQuota()[0].share == Approx(0.05));
}

// Guards against borrowing more than the idle quota, and against refusals because of resources that the request does
// not use.
TEST_CASE("only idle quota can be borrowed", "[decision]")
{
    FairShare shares;
    shares.setCapacity(amounts(1'000, 1'000, 4));
    shares.setTeam({ TeamId("a"), amounts(200, 1'000) });
    shares.setTeam({ TeamId("b"), amounts(800, 0, 4) });
    CHECK(shares.admission(TeamId("a"), amounts(200)) == Admission::Quota);
    CHECK(shares.admission(TeamId("a"), amounts(1'000)) == Admission::Borrowed);
    shares.addUsage(TeamId("b"), amounts(800, 0, 4));
    CHECK(shares.admission(TeamId("a"), amounts(200)) == Admission::Quota);
    CHECK(shares.admission(TeamId("a"), amounts(201)) == Admission::Refused);
    CHECK(shares.admission(TeamId("a"), amounts(200, 0, 1)) == Admission::Refused);
    shares.removeUsage(TeamId("b"), amounts(0, 0, 1));
    CHECK(shares.admission(TeamId("a"), amounts(200, 0, 1)) == Admission::Borrowed);
    CHECK(shares.admission(TeamId("unknown"), amounts(0, 10)) == Admission::Borrowed);
}

// Guards against an incrementally updated order that deviates from the usage: each answer is compared with one computed
// from scratch.
TEST_CASE("order and excess of 170 teams match a computation from scratch", "[decision]")
{
    struct ReferenceTeam {
        Resources quota, usage;
        bool waiting = false;
    };
    std::mt19937_64 random(20'261'204);
    FairShare shares;
    const Resources capacity = amounts(100'000, 200'000, 500);
    shares.setCapacity(capacity);
    std::map<TeamId, ReferenceTeam> teams;
    const auto share = [&](const Resources& r) {
        return std::max(
            { double(r.cpu.value) / 100'000, double(r.memory.value) / 200'000, double(r.accelerators.value) / 500 });
    };
    for (int step = 0; step < 5'000; ++step) {
        const TeamId id("team" + std::to_string(random() % 170));
        ReferenceTeam& team = teams[id];
        const Resources some = amounts(random() % 300, random() % 600, random() % 3);
        if (const auto kind = random() % 5; kind == 0)
            shares.setTeam({ id, team.quota = some + some });
        else if (kind == 1)
            shares.setWaiting(id, team.waiting = !team.waiting);
        else if (kind == 2 && fits(some, team.usage)) {
            shares.removeUsage(id, some);
            team.usage -= some;
        } else if (shares.admission(id, some) != Admission::Refused) {
            shares.addUsage(id, some);
            team.usage += some;
        }
        std::optional<std::tuple<bool, double, TeamId>> first;
        size_t over = 0;
        for (const auto& [name, state] : teams) {
            const bool borrows = state.quota == Resources {} || !fits(state.usage, state.quota);
            over += !fits(state.usage, state.quota);
            std::tuple rank { borrows, share(state.usage) / std::max(share(state.quota), 1e-6), name };
            if (state.waiting && (!first || rank < *first))
                first = rank;
        }
        REQUIRE(shares.next() == (first ? std::optional(std::get<2>(*first)) : std::nullopt));
        REQUIRE(shares.overQuota().size() == over);
    }
}
