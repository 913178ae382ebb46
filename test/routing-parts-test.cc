#include "routing/ejector.h"
#include "routing/request-queue.h"
#include "routing/share-budget.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <set>

using namespace turmericpier;
using namespace turmericpier::routing;

namespace {

// rapidcheck reads RC_PARAMS before its first property. Without a seed every run would use another one.
const bool fixedSeed = setenv("RC_PARAMS", "seed=1", 0) == 0;

} // namespace

// Guards against retries that exceed their percentage of the requests.
TEST_CASE("A share budget limits tokens taken to the burst plus a percentage of deposits", "[routing]")
{
    REQUIRE(fixedSeed);
    rc::prop("taken <= burst + deposits * percent / 100", [](const std::vector<bool>& takes) {
        ShareBudget budget(3);
        uint64_t deposits = 0;
        uint64_t taken = 0;
        for (const bool take : takes) {
            if (take) {
                taken += budget.tryTake() ? 1 : 0;
            } else {
                budget.deposit(10);
                ++deposits;
            }
        }
        RC_ASSERT(taken <= 3 + deposits / 10);
    });
}

// Guards against a wrong rank, which would refuse requests that can meet their deadline.
TEST_CASE("The queue is ordered by deadline and returns ranks", "[routing]")
{
    rc::prop("behaves like a sorted set", [](const std::vector<uint8_t>& deadlines) {
        RequestQueue queue;
        std::set<std::pair<TimePoint, Ticket>> model;
        for (size_t i = 0; i < deadlines.size(); ++i) {
            const std::pair key(TimePoint { Duration(deadlines[i]) }, Ticket { i });
            queue.insert(key.first, key.second);
            model.insert(key);
        }
        size_t rank = 0;
        for (const auto& [deadline, ticket] : model)
            RC_ASSERT(queue.rank(deadline, ticket) == rank++);
        for (const auto& [deadline, ticket] : model) {
            RC_ASSERT(queue.front() == ticket);
            queue.erase(deadline, ticket);
        }
        RC_ASSERT(queue.empty());
    });
}

// Guards against ejection of a worker that is no worse than its peers, and against a failing worker that is not
// detected.
TEST_CASE("Health detects consecutive failures and a failure rate above that of the peers", "[routing]")
{
    Health consecutive;
    for (uint32_t i = 1; i < Health::maxConsecutiveFailures; ++i)
        REQUIRE_FALSE(consecutive.record(Result::Failure, 0.0));
    REQUIRE(consecutive.record(Result::Failure, 0.0));

    Health timeouts;
    Health likeItsPeers;
    bool ejected = false;
    for (uint32_t i = 0; i < Health::minResults; ++i) {
        ejected = timeouts.record(Result::Timeout, 0.1) || ejected;
        REQUIRE_FALSE(likeItsPeers.record(Result::Timeout, 0.9));
    }
    REQUIRE(ejected);
}

// Guards against a constant ejection time, by which a failing worker would receive requests again and again.
TEST_CASE("Ejection times double, and successful probes restore the worker", "[routing]")
{
    Health health;
    const TimePoint now { std::chrono::seconds(1) };
    Duration last { 0 };
    for (int i = 0; i < 10; ++i) {
        health.eject(now);
        REQUIRE((health.until() - now >= last * 2 || health.until() - now == Health::maxEjection));
        last = health.until() - now;
    }
    health.beginProbing();
    for (uint32_t i = 1; i < Health::probeSuccesses; ++i)
        REQUIRE_FALSE(health.recordProbeSuccess());
    REQUIRE(health.recordProbeSuccess());
    REQUIRE(health.state() == Health::State::Normal);
}
