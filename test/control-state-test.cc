#include "control/state.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using control::ControlState;

namespace {
log::KeptReply operate(ControlState& state, uint64_t index, const rpc::OperateRequest& request)
{
    log::ControlCommand command;
    *command.mutable_operate() = request;
    log::KeptReply reply;
    REQUIRE(reply.ParseFromString(state.apply(Index { index }, command.SerializeAsString())));
    return reply;
}

rpc::OperateRequest putConfig(const std::string& id, uint64_t expected, const std::string& content)
{
    rpc::OperateRequest request;
    request.set_request_id(id);
    request.mutable_put_config()->set_expected_version(expected);
    request.mutable_put_config()->set_content(content);
    return request;
}

ControlState stateWithJob()
{
    ControlState state;
    rpc::OperateRequest team;
    team.set_request_id("team");
    team.mutable_put_team()->set_name("desk");
    REQUIRE(operate(state, 1, team).ok());
    rpc::OperateRequest job;
    job.set_request_id("job");
    job.mutable_submit_job()->set_name("cut");
    job.mutable_submit_job()->set_team("desk");
    job.mutable_submit_job()->set_partner("office");
    job.mutable_submit_job()->set_tasks(1);
    REQUIRE(operate(state, 2, job).ok());
    return state;
}

log::Placements place(ControlState& state, uint64_t epoch)
{
    log::ControlCommand command;
    auto& placement = *command.mutable_placements()->add_placements();
    placement.set_task("cut.0");
    placement.set_worker("w1");
    placement.set_epoch(epoch);
    log::Placements accepted;
    REQUIRE(accepted.ParseFromString(state.apply(Index { 10 }, command.SerializeAsString())));
    return accepted;
}

void announce(ControlState& state, const std::string& worker)
{
    log::ControlCommand command;
    auto& facts = *command.mutable_workers()->add_workers();
    facts.set_worker(worker);
    facts.set_slots(8);
    facts.set_connections(64);
    state.apply(Index { 3 }, command.SerializeAsString());
}

void grant(ControlState& state, const std::string& entry, uint32_t slots, uint64_t epoch)
{
    log::ControlCommand command;
    auto& grant = *command.mutable_grants()->add_grants();
    grant.set_worker("w1");
    grant.set_entry(entry);
    grant.set_slots(slots);
    grant.set_connections(slots);
    grant.set_held_slots(slots);
    grant.set_held_connections(slots);
    grant.set_epoch(epoch);
    state.apply(Index { 4 }, command.SerializeAsString());
}
} // namespace

// Guards against two operators with the same expected version both being told that their change was accepted.
TEST_CASE("of two configurations with the same expected version only the first is accepted", "[control]")
{
    ControlState state;
    CHECK(operate(state, 1, putConfig("a", 0, R"({"x":1})")).version() == 1);
    const auto second = operate(state, 2, putConfig("b", 0, R"({"x":2})"));
    CHECK_FALSE(second.ok());
    CHECK(second.failure().reason() == "VERSION_CONFLICT");
    CHECK(second.failure().outcome() == rpc::NOT_RUN);
    CHECK(state.config() == R"({"x":1})");
}

// Guards against a command that is resent after a lost reply being executed twice or getting a different reply.
TEST_CASE("a resent command gets the first reply", "[control]")
{
    ControlState state;
    const auto first = operate(state, 1, putConfig("a", 0, "{}"));
    const auto resent = operate(state, 2, putConfig("a", 0, "{}"));
    CHECK(resent.ok());
    CHECK(resent.version() == first.version());
    CHECK(state.configVersion() == 1);
    CHECK(operate(state, 3, putConfig("a", 1, "{}")).failure().reason() == "REQUEST_ID_REUSED");
}

// Guards against a cancelled job being started by a placement that was in flight.
TEST_CASE("a placement after the cancellation is refused", "[control]")
{
    auto state = stateWithJob();
    rpc::OperateRequest cancel;
    cancel.set_request_id("cancel");
    cancel.set_cancel_job("cut");
    REQUIRE(operate(state, 3, cancel).ok());
    CHECK(place(state, 1).placements_size() == 0);
    CHECK(state.placements().empty());
}

// Guards against a placement of a deposed leader replacing a newer one.
TEST_CASE("a placement with an older epoch is refused", "[control]")
{
    auto state = stateWithJob();
    CHECK(place(state, 5).placements_size() == 1);
    CHECK(place(state, 5).placements_size() == 0);
    CHECK(place(state, 4).placements_size() == 0);
    CHECK(state.nextEpoch() == Epoch { 6 });
}

// Guards against grants of several entries that together exceed the slots of a worker.
TEST_CASE("grants never exceed the slots of the worker", "[control]")
{
    ControlState state;
    announce(state, "w1");
    grant(state, "e1", 5, 1);
    grant(state, "e2", 4, 2);
    CHECK(state.grants().size() == 1);
    grant(state, "e1", 4, 3);
    grant(state, "e2", 4, 4);
    CHECK(state.grants().size() == 2);
    grant(state, "e1", 0, 5);
    CHECK(state.grants().size() == 1);
}

// Guards against a snapshot that omits state, so that a replica restored from it differs.
TEST_CASE("a restored snapshot equals the state", "[control]")
{
    auto state = stateWithJob();
    announce(state, "w1");
    grant(state, "e1", 5, 7);
    place(state, 3);
    operate(state, 5, putConfig("a", 0, R"({"x":1})"));
    ControlState copy;
    REQUIRE(copy.restore(state.snapshot()).ok());
    CHECK(copy.snapshot() == state.snapshot());
    CHECK(operate(copy, 6, putConfig("a", 0, R"({"x":1})")).version() == 1);
    CHECK(copy.nextGrantEpoch() == Epoch { 8 });
}

// Guards against a corrupt snapshot being restored as an empty state.
TEST_CASE("a corrupt snapshot is refused", "[control]")
{
    ControlState state;
    CHECK(state.restore("\xff\xff\xff").code() == absl::StatusCode::kDataLoss);
}

// Guards against ended jobs that accumulate without bound, and against evicting a job whose outcome is not in the
// ledger.
TEST_CASE("only recorded jobs are evicted, oldest first", "[control]")
{
    auto state = stateWithJob();
    constexpr uint32_t kept = 10'000;
    uint64_t index = 10;
    const auto apply
        = [&](const log::ControlCommand& command) { state.apply(Index { ++index }, command.SerializeAsString()); };
    log::ControlCommand recorded;
    for (uint32_t i = 0; i <= kept; ++i) {
        log::ControlCommand submit;
        submit.mutable_operate()->set_request_id("submit" + std::to_string(i));
        auto& job = *submit.mutable_operate()->mutable_submit_job();
        job.set_name("job" + std::to_string(i));
        job.set_team("desk");
        job.set_partner("office");
        job.set_tasks(1);
        apply(submit);
        log::ControlCommand ended;
        ended.mutable_job_ends()->add_ends()->set_job(job.name());
        apply(ended);
        if (i > 0)
            recorded.mutable_recorded_jobs()->add_jobs(job.name());
    }
    apply(recorded);
    CHECK(state.jobs().size() == kept + 2); // all of them, and the job that has not ended
    recorded.mutable_recorded_jobs()->add_jobs("job0");
    apply(recorded);
    CHECK(state.jobs().size() == kept + 1);
    CHECK_FALSE(state.jobs().count(JobId("job0")));
    ControlState copy;
    REQUIRE(copy.restore(state.snapshot()).ok());
    CHECK(copy.snapshot() == state.snapshot());
}

// Guards against sending the whole shared state to every entry for each submitted job.
TEST_CASE("only services, workers, drain marks and configuration change the shared state", "[control]")
{
    auto state = stateWithJob();
    CHECK(state.sharedVersion() == Index {});
    operate(state, 7, putConfig("a", 0, "{}"));
    CHECK(state.sharedVersion() == Index { 7 });
    operate(state, 8, putConfig("b", 0, "{}"));
    CHECK(state.sharedVersion() == Index { 7 });
}
