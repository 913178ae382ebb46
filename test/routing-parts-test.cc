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

// Read by rapidcheck before its first property; without it every run has another seed.
const bool fixedSeed = setenv("RC_PARAMS", "seed=1", 0) == 0;

} // namespace

// Guards against retries that exceed their share of the requests.
TEST_CASE("A share budget bounds what is taken to burst plus share", "[routing]")
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

// Guards against a wrong rank, by which requests that can meet their deadline would be refused.
TEST_CASE("The queue keeps deadline order and knows ranks", "[routing]")
{
    rc::prop("as a sorted set", [](const std::vector<uint8_t>& deadlines) {
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

// Guards against ejection of a worker that is no worse than its peers, and against one that is never found.
TEST_CASE("Health tells failures in a row and a share above the peers", "[routing]")
{
    Health inARow;
    for (uint32_t i = 1; i < Health::failuresInARow; ++i)
        REQUIRE_FALSE(inARow.record(Result::Failure, 0.0));
    REQUIRE(inARow.record(Result::Failure, 0.0));

    Health timeouts;
    Health likeItsPeers;
    bool ejected = false;
    for (uint32_t i = 0; i < Health::minResults; ++i) {
        ejected = timeouts.record(Result::Timeout, 0.1) || ejected;
        REQUIRE_FALSE(likeItsPeers.record(Result::Timeout, 0.9));
    }
    REQUIRE(ejected);
}

// Guards against a bad worker that takes requests again and again after a constant time.
TEST_CASE("Ejections grow, and probes return the worker", "[routing]")
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
        REQUIRE_FALSE(health.probeSucceeded());
    REQUIRE(health.probeSucceeded());
    REQUIRE(health.state() == Health::State::Normal);
}
