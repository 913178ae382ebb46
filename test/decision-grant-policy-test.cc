#include "turmericpier/decision/grant-policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace turmericpier;
using namespace turmericpier::decision;
using namespace std::chrono_literals;
using Kind = GrantChange::Kind;

namespace {

const ServiceId tillService("till");

// Simulates the control state: applies each change, and confirms a shrink after `confirmRounds` rounds.
struct Cell {
    Cell(const std::vector<std::tuple<std::string, std::string, int, int>>& dataCentres)
    {
        for (const auto& [region, dataCentre, workers, entries] : dataCentres) {
            for (int i = 0; i < workers; ++i)
                input.workers.push_back({ WorkerId(dataCentre + "w" + std::to_string(i)), DataCentreId(dataCentre),
                    RegionId(region), { tillService } });
            for (int i = 0; i < entries; ++i)
                input.entries.push_back({ InstanceId(dataCentre + "e" + std::to_string(i)), DataCentreId(dataCentre),
                    RegionId(region), true, { { tillService } } });
        }
    }

    std::vector<GrantChange> runRound()
    {
        now = now + 200ms;
        for (StandingGrant& grant : input.grants) {
            if (roundsSinceChange[grant.epoch] < confirmRounds && grant.heldSlots > grant.slots) {
                ++roundsSinceChange[grant.epoch];
                continue;
            }
            grant.heldSlots = grant.slots;
            grant.heldConnections = grant.connections;
            grant.inUse = std::min(grant.inUse, grant.slots);
        }
        std::erase_if(input.grants, [](const StandingGrant& grant) { return grant.heldSlots == 0; });
        auto changes = policy.plan(input, now);
        for (const GrantChange& change : changes)
            apply(change);
        checkLimits();
        return changes;
    }

    void apply(const GrantChange& change)
    {
        const Epoch epoch = change.kind == Kind::New ? Epoch { ++lastEpoch } : change.epoch;
        auto it = std::find_if(input.grants.begin(), input.grants.end(), [&](const StandingGrant& grant) {
            return grant.worker == change.worker && grant.entry == change.entry && grant.epoch == epoch;
        });
        REQUIRE((it == input.grants.end()) == (change.kind == Kind::New));
        if (it == input.grants.end())
            it = input.grants.insert(it, { change.worker, change.entry, epoch });
        it->slots = change.slots;
        it->connections = change.connections;
        it->heldSlots = std::max(it->heldSlots, it->slots);
        it->heldConnections = std::max(it->heldConnections, it->connections);
        roundsSinceChange[epoch] = 0;
    }

    // Checks that the slots and connections that entries may use never exceed those of a worker.
    void checkLimits() const
    {
        std::map<WorkerId, std::pair<uint32_t, uint32_t>> sums;
        for (const StandingGrant& grant : input.grants) {
            sums[grant.worker].first += grant.heldSlots;
            sums[grant.worker].second += grant.heldConnections;
            REQUIRE(grant.connections >= grant.slots);
        }
        for (const GrantWorker& worker : input.workers) {
            REQUIRE(sums[worker.worker].first <= worker.slots);
            REQUIRE(sums[worker.worker].second <= worker.connections);
        }
    }

    void runRounds(int rounds = 20)
    {
        for (int i = 0; i < rounds; ++i)
            runRound();
    }
    GrantEntry& entry(const std::string& id)
    {
        return *std::find_if(input.entries.begin(), input.entries.end(),
            [&](const GrantEntry& entry) { return entry.entry == InstanceId(id); });
    }
    void setDemand(const std::string& id, uint32_t waiting) { entry(id).demand = { { tillService, waiting, 0 } }; }
    uint32_t slots(const std::string& entry, const std::string& dataCentre = "") const
    {
        uint32_t sum = 0;
        for (const StandingGrant& grant : input.grants) {
            if (grant.entry == InstanceId(entry) && grant.worker.str().starts_with(dataCentre))
                sum += grant.slots;
        }
        return sum;
    }

    GrantPolicy policy { {} };
    GrantInput input;
    TimePoint now;
    std::map<Epoch, int> roundsSinceChange;
    int confirmRounds = 2;
    uint64_t lastEpoch = 0;
};

Cell threeDataCentres()
{
    return Cell({ { "east", "vienna", 20, 3 }, { "east", "graz", 16, 2 }, { "west", "innsbruck", 14, 2 } });
}

} // namespace

// Guards against granting more slots than a worker has while demand, workers and entries change and withdrawals are
// unconfirmed.
TEST_CASE("grants never exceed a worker's slots or connections", "[decision]")
{
    std::mt19937_64 random(20);
    Cell cell = threeDataCentres();
    for (int i = 0; i < 600; ++i) {
        GrantEntry& entry = cell.input.entries[random() % cell.input.entries.size()];
        entry.demand = { { tillService, static_cast<uint32_t>(random() % 300), static_cast<uint32_t>(random() % 20) } };
        if (random() % 10 == 0)
            entry.alive = !entry.alive;
        GrantWorker& worker = cell.input.workers[random() % cell.input.workers.size()];
        if (random() % 5 == 0)
            worker.leaving = !worker.leaving;
        for (StandingGrant& grant : cell.input.grants)
            grant.inUse = random() % (grant.heldSlots + 1);
        cell.confirmRounds = static_cast<int>(random() % 6);
        for (const GrantChange& change : cell.runRound()) {
            const auto& changed = *std::find_if(cell.input.workers.begin(), cell.input.workers.end(),
                [&](const GrantWorker& known) { return known.worker == change.worker; });
            REQUIRE((!changed.leaving || change.kind == Kind::Release));
        }
    }
}

// Guards against grants over the paid link or in another data centre while nearer slots are free.
TEST_CASE("slots in the same data centre come first and the paid link last", "[decision]")
{
    Cell cell = threeDataCentres();
    cell.setDemand("viennae0", 60);
    cell.runRounds();
    CHECK(cell.slots("viennae0", "vienna") >= 90); // With headroom.
    CHECK(cell.slots("viennae0", "vienna") == cell.slots("viennae0"));
    cell.setDemand("viennae0", 150); // 225 with headroom; Vienna has 160 slots and Graz 128.
    cell.runRounds();
    CHECK(cell.slots("viennae0", "vienna") == 160);
    CHECK(cell.slots("viennae0", "graz") >= 65);
    CHECK(cell.slots("viennae0", "innsbruck") == 0);
    cell.setDemand("viennae0", 320);
    cell.runRounds();
    CHECK(cell.slots("viennae0", "graz") == 128);
    CHECK(cell.slots("viennae0", "innsbruck") == 32); // Demand without headroom.
    cell.setDemand("viennae0", 60);
    cell.runRounds(200); // 40 s, four half-lives.
    CHECK(cell.slots("viennae0", "innsbruck") == 0);
}

// Guards against starvation of an entry by one with high demand, and against slots that are not shared by demand.
TEST_CASE("every entry with demand keeps a floor on a full cell", "[decision]")
{
    Cell cell = threeDataCentres();
    cell.setDemand("viennae0", 5'000);
    cell.runRounds();
    CHECK(cell.slots("viennae0") == 400);
    cell.setDemand("viennae1", 1);
    cell.setDemand("innsbrucke0", 2'500);
    cell.runRounds();
    CHECK(cell.slots("viennae1", "vienna") >= 4);
    CHECK(cell.slots("innsbrucke0") >= 100); // Its share of the local slots; the floor alone would be 33.
    CHECK(cell.slots("viennae0") + cell.slots("viennae1") + cell.slots("innsbrucke0") == 400);
}

// Guards against waiting for a new grant with the first request after each idle period.
TEST_CASE("the floor is kept for a while after the last demand", "[decision]")
{
    Cell cell = threeDataCentres();
    cell.setDemand("graze0", 1);
    cell.runRound();
    CHECK(cell.slots("graze0") >= 4);
    cell.setDemand("graze0", 0);
    cell.runRounds(5 * 300);
    CHECK(cell.slots("graze0") >= 4);
    cell.runRounds(5 * 360);
    CHECK(cell.slots("graze0") == 0);
}

// Guards against filling the log with grant changes while demand only fluctuates.
TEST_CASE("fluctuating demand changes few grants", "[decision]")
{
    std::mt19937_64 random(21);
    Cell cell = threeDataCentres();
    const auto fluctuate = [&] {
        for (GrantEntry& entry : cell.input.entries)
            entry.demand = { { tillService, static_cast<uint32_t>(16 + random() % 9), 0 } };
    };
    for (int i = 0; i < 50; ++i) {
        fluctuate();
        cell.runRound();
    }
    size_t changes = 0;
    for (int i = 0; i < 300; ++i) { // One minute.
        fluctuate();
        changes += cell.runRound().size();
    }
    CHECK(changes <= 20);
}

// Guards against sending work to a leaving worker, and against granting the slots of a lost entry before its lease has
// expired.
TEST_CASE("grants of leaving workers and lost entries are released", "[decision]")
{
    Cell cell({ { "east", "vienna", 2, 2 } });
    cell.setDemand("viennae0", 3);
    cell.setDemand("viennae1", 3);
    cell.runRounds();
    cell.input.workers[0].leaving = true;
    const auto changes = cell.runRound();
    CHECK(std::count_if(changes.begin(), changes.end(), [&](const GrantChange& change) {
        return change.worker == cell.input.workers[0].worker && change.kind == Kind::Release;
    }) == 2);
    cell.confirmRounds = 1'000'000;
    cell.setDemand("viennae0", 100);
    cell.entry("viennae1").alive = false;
    cell.runRounds();
    CHECK(cell.slots("viennae1") == 0);
    CHECK(cell.slots("viennae0") < 8); // The other slots are held until the lease ends.
    cell.confirmRounds = 0;
    cell.runRounds();
    CHECK(cell.slots("viennae0") == 8);
}

// Guards against granting an entry slots on few workers only, where one bad worker would fail most of its requests.
TEST_CASE("the slots of an entry are spread over workers", "[decision]")
{
    Cell cell = threeDataCentres();
    cell.setDemand("viennae0", 12);
    cell.runRounds();
    const auto most = std::max_element(cell.input.grants.begin(), cell.input.grants.end(),
        [](const StandingGrant& a, const StandingGrant& b) { return a.slots < b.slots; });
    CHECK(most->slots <= 6);
    CHECK(cell.input.grants.size() == 20);
}
