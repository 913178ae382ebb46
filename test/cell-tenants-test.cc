#include "turmericpier/cell/tenants.h"

#include "cell-tenant-fixtures.h"
#include "turmericpier/cell/planner.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <rapidcheck.h>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::EndKind;

namespace {

Plan planFor(const State& state)
{
    static const TicketCache tickets;
    return plan({ state, tickets,
        [](uint32_t) {
            return WorkerHealthView { true, 0, false };
        },
        [](const StepKey&) { return false; }, TimePoint { std::chrono::seconds(100) }, 1'000'000 });
}

/// A cell in which each task takes a whole number of rounds.
struct TenantCell {
    State state;
    std::deque<record::StartT> running; ///< In the order of the starts.
    unsigned jobs = 0;

    /// Adds a worker on which only processors are scarce.
    void addLargeWorker(int64_t cpu)
    {
        auto made = worker("w1", 1, cpu);
        made->memory = 1'000'000;
        addWorker(state, std::move(made));
    }
    void submitTasks(const std::string& tenant, uint32_t tasks, int64_t cpu = 1'000)
    {
        submit(state, jobOf(tenant, jobId(++jobs), step(tasks, cpu)));
    }
    void startPlanned()
    {
        for (const auto& start : planFor(state).starts) {
            test::start(state, taskOf(start), start.run, start.worker);
            running.push_back(start);
        }
    }
    void endOldest(size_t count)
    {
        for (; count > 0 && !running.empty(); --count) {
            const auto start = running.front();
            running.pop_front();
            test::end(state, taskOf(start), start.run, start.worker, EndKind::Done);
        }
    }
    int64_t cpuOf(const std::string& tenant) const { return state.tenants().usage(tenant).cpu.value; }
};

} // namespace

// Guards against calls that are attributed to the wrong tenant, and against keys of an earlier configuration.
TEST_CASE("only the keys of the latest configuration identify tenants", "[cell]")
{
    State state;
    CHECK_FALSE(state.tenants().areConfigured());
    configure(state, configWithTenants(1, tenant("a", { "k1", "k2" }), tenant("b", { "k3" })));
    const auto owner = [&](const std::string& key) {
        const auto* found = state.tenants().findByKey(key);
        return found ? found->name : "";
    };
    CHECK(state.tenants().areConfigured());
    CHECK(owner("k1") == "a");
    CHECK(owner("k2") == "a");
    CHECK(owner("k3") == "b");
    for (const auto* wrong : { "", "k", "k4", "k11", "K1" })
        CHECK(owner(wrong).empty());
    configure(state, configWithTenants(2, tenant("a", {}), tenant("b", { "k3", "k1" })));
    CHECK(owner("k1") == "b");
    CHECK(owner("k2").empty());
    configure(state, config(3));
    CHECK_FALSE(state.tenants().areConfigured());
    CHECK(owner("k1").empty());
}

// Guards against usage, keys or caps that differ after a restart, and against tenants that accumulate.
TEST_CASE("tenants, their keys and their usage survive a snapshot", "[cell]")
{
    State state;
    configure(
        state, configWithTenants(1, tenant("a", { "k1" }, 3, 5'000), tenant("b", { "k2" }), tenant("c", { "k3" })));
    const auto serial = addWorker(state, worker("w1"));
    auto filling = step(1);
    filling->fills = true;
    submit(state, jobOf("a", jobId(1), step(2), std::move(filling)));
    start(state, { jobId(1), 0, 0, 0 }, 1, serial);
    start(state, { jobId(1), 0, 1, 0 }, 1, serial);
    configure(state, configWithTenants(2, tenant("b", { "k4" })));
    State restored;
    REQUIRE(restored.restore(state.snapshot()).ok());
    CHECK(restored.snapshot() == state.snapshot());
    for (const auto* replica : { &state, &restored }) {
        const auto& tenants = replica->tenants();
        CHECK(replica->findJob(jobId(1))->tenant == "a");
        CHECK(tenants.usage("a") == Resources { MilliCpu { 2'000 }, MemoryMib { 1'024 }, {} });
        REQUIRE(tenants.find("a"));
        CHECK(tenants.find("a")->cap_cpu == 5'000);
        CHECK_FALSE(tenants.find("c"));
        CHECK_FALSE(tenants.findByKey("k1"));
        CHECK(tenants.findByKey("k4"));
    }
    end(restored, { jobId(1), 0, 0, 0 }, 1, serial, EndKind::Done);
    end(restored, { jobId(1), 0, 1, 0 }, 1, serial, EndKind::Failed);
    CHECK(restored.tenants().usage("a") == Resources {});
    record::CommandT command;
    command.cancel.push_back(jobId(1));
    command.forget.push_back(jobId(1));
    restored.apply(command);
    // A tenant without jobs is kept until the next configuration, also by a replica that is restored before it.
    State again;
    REQUIRE(again.restore(restored.snapshot()).ok());
    CHECK(again.snapshot() == restored.snapshot());
    CHECK(again.tenants().find("a"));
    configure(restored, configWithTenants(3, tenant("b", { "k4" })));
    CHECK_FALSE(restored.tenants().find("a"));
}

// Guards against a tenant that runs more than its cap, also after the cap was lowered and while runs are in doubt.
TEST_CASE("a tenant never starts work beyond its cap", "[cell]")
{
    TenantCell cell;
    configure(cell.state, configWithTenants(1, tenant("a", { "k1" }, 1, 3'500)));
    addWorker(cell.state, worker("w1", 1, 10'000));
    cell.submitTasks("a", 8);
    CHECK(planFor(cell.state).unplaced[WaitReason::TenantCap] == 5);
    CHECK(planFor(cell.state).waitingTenants == std::set<std::string> { "a" });
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 3'000);
    configure(cell.state, configWithTenants(2, tenant("a", { "k1" }, 1, 2'000)));
    cell.endOldest(1);
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 2'000);
    cell.endOldest(1);
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 2'000);
    // A tenant below half of its cap may start one task that exceeds it, but no gang.
    configure(cell.state, configWithTenants(3, tenant("a", { "k1" }, 1, 500)));
    cell.endOldest(1);
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 1'000);
    cell.endOldest(1);
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 1'000);
    record::CommandT command;
    command.cancel.push_back(jobId(1));
    cell.state.apply(command);
    configure(cell.state, configWithTenants(4, tenant("a", { "k1" }, 1, 2'100)));
    cell.submitTasks("a", 1, 2'000);
    cell.startPlanned();
    CHECK(cell.cpuOf("a") == 3'000);
    configure(cell.state, configWithTenants(5, tenant("a", { "k1" }, 1, 500)));
    cell.endOldest(2);
    CHECK(cell.cpuOf("a") == 0);
    auto gang = step(2);
    gang->gang = true;
    submit(cell.state, jobOf("a", jobId(9), std::move(gang)));
    CHECK(planFor(cell.state).starts.empty());
}

// Guards against a tenant that takes the whole cell because it sends more jobs than the others.
TEST_CASE("tenants of equal weight share a full cell equally at ten times the demand", "[cell]")
{
    constexpr int64_t capacity = 100'000;
    TenantCell cell;
    configure(cell.state, configWithTenants(1, tenant("busy", { "k1" }), tenant("calm", { "k2" })));
    cell.addLargeWorker(capacity);
    for (int i = 0; i < 100; ++i)
        cell.submitTasks("busy", 10);
    cell.startPlanned();
    CHECK(cell.cpuOf("busy") == capacity); // Nobody else asked.
    CHECK(planFor(cell.state).waitingTenants.contains("busy"));
    for (int i = 0; i < 10; ++i)
        cell.submitTasks("calm", 10);
    for (int round = 0; round < 10; ++round) { // All tasks that ran before have ended afterwards.
        cell.endOldest(10);
        cell.startPlanned();
    }
    CHECK(std::abs(cell.cpuOf("calm") - capacity / 2) <= capacity / 20);
    CHECK(cell.cpuOf("busy") + cell.cpuOf("calm") == capacity);
}

// Guards against a tenant below its share that waits while another one above its share starts work.
TEST_CASE("no tenant above its share starts work while one below its share waits", "[cell]")
{
    CHECK(rc::check("shares of random weights and demands", [] {
        constexpr int64_t capacity = 60'000;
        const auto seed = *rc::gen::arbitrary<uint32_t>();
        std::mt19937 random(seed);
        const auto draw = [&](int from, int to) { return std::uniform_int_distribution<>(from, to)(random); };
        TenantCell cell;
        auto configured = config(1);
        const auto count = draw(2, 6);
        double weights = 1; // Of the jobs without a tenant.
        std::map<std::string, double> weightOf;
        for (int i = 0; i < count; ++i) {
            const auto name = "t" + std::to_string(i);
            weightOf[name] = draw(1, 8);
            weights += weightOf[name];
            configured->tenants.push_back(tenant(name, { "k" + std::to_string(i) }, weightOf[name]));
        }
        configure(cell.state, std::move(configured));
        cell.addLargeWorker(capacity);
        for (int round = 0; round < 30; ++round) {
            for (const auto& [name, weight] : weightOf) {
                if (draw(0, 2) == 0)
                    cell.submitTasks(name, static_cast<uint32_t>(draw(1, 12)));
            }
            cell.endOldest(static_cast<size_t>(draw(0, 20)));
            const auto made = planFor(cell.state);
            const auto ratio = [&](const std::string& name, int64_t cpu) {
                return static_cast<double>(cpu) * weights / (weightOf[name] * static_cast<double>(capacity));
            };
            std::map<std::string, int64_t> used;
            for (const auto& [name, weight] : weightOf)
                used[name] = cell.cpuOf(name);
            for (const auto& start : made.starts) {
                const auto& starter = cell.state.findJob(start.job)->tenant;
                for (const auto& waiting : made.waitingTenants) {
                    // A step of 12 tasks is placed at a time.
                    if (waiting != starter && ratio(starter, used[starter] - 12'000) > 1)
                        RC_ASSERT(ratio(waiting, used[waiting]) >= 1);
                }
                used[starter] += 1'000;
            }
            cell.startPlanned();
        }
    }));
}
