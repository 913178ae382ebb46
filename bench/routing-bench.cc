#include "turmericpier/routing/router.h"

#include <benchmark/benchmark.h>
#include <deque>

/// Measures the CPU time of the router per request, from submit to reply, and per update of workers and grants.
using namespace turmericpier;
using namespace turmericpier::routing;

namespace {

const ServiceId service("till");
constexpr uint32_t slotsPerWorker = 8;

/// Workers and grants as passed to the router.
struct Cluster {
    std::vector<WorkerInfo> workers;
    std::vector<Grant> grants;
};

/// Creates workers of which every second one is in the data centre of the entry; each has a grant of `slotsPerWorker`.
Cluster makeCluster(int64_t workers)
{
    Cluster cluster;
    for (int64_t i = 0; i < workers; ++i) {
        const WorkerId id("worker-" + std::to_string(i));
        const bool local = i % 2 == 0;
        cluster.workers.push_back(
            { id, DataCentreId(local ? "vienna" : "graz"), RegionId("east"), false, { service }, Incarnation { 1 } });
        cluster.grants.push_back({ id, Epoch { 1 }, slotsPerWorker, 64, TimePoint { std::chrono::hours(1) } });
    }
    return cluster;
}

std::unique_ptr<Router> makeRouter(const Cluster& cluster)
{
    auto router = std::make_unique<Router>(
        RouterOptions { .self = InstanceId("e1"), .dataCentre = DataCentreId("vienna"), .region = RegionId("east") });
    router->setServices({ { service } });
    router->setWorkers(cluster.workers, TimePoint());
    router->setGrants(cluster.grants, TimePoint());
    return router;
}

/// Submits 2,000 requests per second of simulated time. Each is answered once `inFlight` later ones have been
/// submitted.
void routeRequests(benchmark::State& state, bool nonRepeatable)
{
    const auto router = makeRouter(makeCluster(state.range(0)));
    const size_t inFlight = size_t(state.range(0)) * slotsPerWorker / 2;
    std::deque<Ticket> running;
    uint64_t next = 0;
    uint64_t replies = 0;
    TimePoint now { std::chrono::seconds(1) };
    constexpr Duration step = std::chrono::microseconds(500);
    const std::string prefix = "duftwerk/east/till-request-";
    for (auto _ : state) {
        const Ticket ticket { ++next };
        now = now + step;
        benchmark::DoNotOptimize(router->submit(
            ticket, { prefix + std::to_string(next), service, nonRepeatable, now + std::chrono::hours(1) }, now));
        if (nonRepeatable)
            benchmark::DoNotOptimize(router->claimCommitted(ticket, 1, { ClaimResult::Code::Accepted }, now));
        running.push_back(ticket);
        if (running.size() > inFlight) {
            benchmark::DoNotOptimize(router->answered(running.front(), 1, now));
            replies += router->outcomeCommitted(running.front(), { OutcomeResult::Code::Accepted }, now).size();
            running.pop_front();
        }
        if (next % 20 == 0)
            benchmark::DoNotOptimize(router->tick(now));
    }
    state.counters["answered"] = double(replies);
}

void repeatableRequest(benchmark::State& state) { routeRequests(state, false); }
void nonRepeatableRequest(benchmark::State& state) { routeRequests(state, true); }

/// Measures a request that is refused because the queue is full.
void shedRequest(benchmark::State& state)
{
    const auto router = makeRouter(makeCluster(state.range(0)));
    const TimePoint now { std::chrono::seconds(1) };
    uint64_t next = 0;
    const uint64_t waiting = uint64_t(state.range(0)) * slotsPerWorker + 1'024;
    const auto submit = [&] {
        const Ticket ticket { ++next };
        return router->submit(
            ticket, { "duftwerk/east/" + std::to_string(next), service, false, now + std::chrono::hours(1) }, now);
    };
    while (next < waiting)
        submit();
    for (auto _ : state) {
        benchmark::DoNotOptimize(submit());
        benchmark::DoNotOptimize(router->outcomeCommitted(Ticket { next }, { OutcomeResult::Code::Accepted }, now));
    }
}

/// Measures the update after each heartbeat if only the expiry of the grants has changed. Includes copying the lists.
void unchangedUpdate(benchmark::State& state)
{
    Cluster cluster = makeCluster(state.range(0));
    const auto router = makeRouter(cluster);
    TimePoint now { std::chrono::seconds(1) };
    for (auto _ : state) {
        now = now + std::chrono::milliseconds(200);
        for (Grant& grant : cluster.grants)
            grant.expires = now + std::chrono::hours(1);
        benchmark::DoNotOptimize(router->setWorkers(cluster.workers, now));
        benchmark::DoNotOptimize(router->setGrants(cluster.grants, now));
    }
}

} // namespace

BENCHMARK(repeatableRequest)->Arg(50)->Arg(500)->Arg(2'000);
BENCHMARK(nonRepeatableRequest)->Arg(50)->Arg(500)->Arg(2'000);
BENCHMARK(shedRequest)->Arg(50)->Arg(500)->Arg(2'000);
BENCHMARK(unchangedUpdate)->Arg(50)->Arg(500)->Arg(2'000);

BENCHMARK_MAIN();
