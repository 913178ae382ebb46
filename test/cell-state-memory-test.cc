#include "cell-fake-world.h"
#include "turmericpier/cell/leader.h"
#include "turmericpier/cell/state.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::Verdict;

namespace {

void forget(State& state, const std::string& id)
{
    record::CommandT command;
    command.cancel.push_back(id);
    command.forget.push_back(id);
    state.apply(command);
}

size_t jobMemory() { return estimateMemory(*job(jobId(1), step(1))); }

/// A leader whose state has memory for its worker and for `jobs` more jobs of one task.
struct FullStateFixture : LeaderFixture {
    explicit FullStateFixture(size_t jobs)
    {
        addReadyWorkerToState();
        createLeader({ .maxStateBytes = state.memory() + jobs * jobMemory() });
        activate();
    }

private:
    void addReadyWorkerToState() { addWorker(state, worker("w1")); }
};

/// Submits a job of one task. Returns nothing while there is no answer.
std::optional<Verdict> submitTo(LeaderFixture& fixture, unsigned number)
{
    const auto reply = fixture.submitJob(job(jobId(number), step(1)));
    return reply ? std::optional(reply->verdict) : std::nullopt;
}

} // namespace

// Guards against an estimate that drifts from what the state holds, so that a cell refuses jobs for good or never.
TEST_CASE("the memory of the state follows jobs and workers", "[cell]")
{
    State state;
    configure(state, config());
    const auto empty = state.memory();
    addWorker(state, worker("w1"));
    const auto withWorker = state.memory();
    CHECK(withWorker > empty);
    addWorker(state, worker("w1", 1, 8'000)); // The same incarnation with another capacity.
    CHECK(state.memory() == withWorker);
    submit(state, job(jobId(1), step(10)));
    submit(state, job(jobId(1), step(10))); // Resent.
    CHECK(state.memory() == withWorker + estimateMemory(*job(jobId(1), step(10))));
    State restored;
    REQUIRE(restored.restore(state.snapshot()).ok());
    CHECK(restored.memory() == state.memory());
    forget(state, jobId(1));
    CHECK(state.memory() == withWorker);
    addWorker(state, worker("w1", 2)); // A later incarnation replaces the earlier one.
    CHECK(state.memory() == withWorker);
}

// Guards against small jobs that ask for many tasks, and against long texts, which snapshots and the log hold too.
TEST_CASE("each task of each occurrence and each copy of a text counts", "[cell]")
{
    auto many = job(jobId(1), step(1'000));
    many->times = 10;
    CHECK(estimateMemory(*many) > 10 * 1'000 * 100);
    auto longSpec = job(jobId(1), step(1));
    longSpec->spec = std::string(4'000, 'x');
    CHECK(estimateMemory(*longSpec) > 4 * 4'000);
}

// Guards against jobs that fill the memory of every replica.
TEST_CASE("a job beyond the memory of the state is refused at once", "[cell]")
{
    FullStateFixture fixture(2);
    CHECK(submitTo(fixture, 1) == Verdict::Ok);
    CHECK(submitTo(fixture, 2) == Verdict::Ok);
    CHECK(submitTo(fixture, 3) == Verdict::NotRun);
    CHECK(fixture.log.empty());
    CHECK(fixture.metrics.counter("memory_state_refused_total").value() == 1);
    // What was accepted is still acknowledged, and a job that has gone makes room.
    CHECK(submitTo(fixture, 1) == Verdict::Ok);
    forget(fixture.state, jobId(1));
    CHECK(submitTo(fixture, 3) == Verdict::Ok);
}

// Guards against jobs that are accepted together before the first of them is committed.
TEST_CASE("jobs that wait for their commit count", "[cell]")
{
    FullStateFixture fixture(2);
    fixture.commits = false;
    CHECK_FALSE(submitTo(fixture, 1));
    CHECK_FALSE(submitTo(fixture, 2));
    CHECK(submitTo(fixture, 3) == Verdict::NotRun);
    CHECK(fixture.log.size() == 2);
}

// Guards against a full state that keeps a new leader from counting anew what it holds.
TEST_CASE("a leader that is elected again counts only what is in the state", "[cell]")
{
    FullStateFixture fixture(2);
    fixture.commits = false;
    CHECK_FALSE(submitTo(fixture, 1));
    fixture.leader->deactivate();
    fixture.log.clear();
    fixture.commits = true;
    fixture.activate(2);
    CHECK(submitTo(fixture, 2) == Verdict::Ok);
    CHECK(submitTo(fixture, 3) == Verdict::Ok);
    CHECK(submitTo(fixture, 4) == Verdict::NotRun);
}
