#include "rpc/request-driver.h"

#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;

// Guards against a shutdown that hangs because a call waits for a ledger without a majority or for a free slot.
TEST_CASE("abandoned calls end with an unknown outcome, and later ones are refused", "[rpc]")
{
    settings::Settings settings;
    settings.instance = InstanceId("e1");
    settings.ledgerVoters[RegionId("east")] = { InstanceId("e1") };
    ManualClock clock;
    Metrics metrics;
    EventLoop loop("test", clock);
    rpc::RequestDriverHooks hooks;
    hooks.commit = [](const RegionId&, const log::LedgerItem&, TimePoint, const auto&) {}; // Never calls back.
    rpc::RequestDriver driver(settings, Incarnation { 1 }, std::move(hooks), loop, clock, metrics);
    log::ControlSnapshot state;
    state.add_services()->set_name("till");
    auto& worker = *state.add_workers();
    worker.set_worker("w1");
    worker.set_address("127.0.0.1:1");
    worker.add_services("till");
    driver.setState(state);
    rpc::CallRequest request;
    request.set_request_id("r1");
    request.set_partner("duftwerk");
    request.set_home_region("east");
    request.set_service("till");
    int ended = 0;
    Outcome outcome = Outcome::Ran;
    driver.submit(request, [&](const absl::Status& status, const rpc::CallReply&) {
        ++ended;
        outcome = detailsOf(status).outcome;
    });
    REQUIRE(ended == 0);
    driver.abandon();
    CHECK(ended == 1);
    CHECK(outcome == Outcome::Unknown);
    clock.advance(std::chrono::minutes(2));
    driver.tick();
    CHECK(ended == 1);
    request.set_request_id("r2");
    driver.submit(request, [&](const absl::Status& status, const rpc::CallReply&) {
        ++ended;
        CHECK(detailsOf(status).reason == "DRAINING");
    });
    CHECK(ended == 2);
}
