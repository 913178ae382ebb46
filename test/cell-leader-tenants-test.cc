#include "cell-fake-world.h"
#include "cell-tenant-fixtures.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using record::CallKind;
using record::Verdict;
using std::chrono::milliseconds;

namespace {

std::unique_ptr<record::ConfigT> twoTenants(uint64_t version)
{
    auto made = configWithTenants(version, tenant("a", { "key-of-a" }, 2), tenant("b", { "key-of-b" }, 2));
    auto open = std::make_unique<record::QueueT>(*made->queues.front());
    open->prefix = "/open/";
    open->is_public = true;
    made->queues.push_back(std::move(open));
    return made;
}

struct TenantFixture : LeaderFixture {
    TenantFixture()
        : LeaderFixture(twoTenants(1))
    {
        activate();
    }

    record::ReplyT send(CallKind kind, const std::string& path, const std::string& key)
    {
        auto made = callFor(kind, path);
        made->key = key;
        if (kind == CallKind::Submit)
            made->job = job("", step(1));
        return *call(std::move(made));
    }
    Verdict submit(const std::string& id, const std::string& key, const std::string& queue = prefix)
    {
        return send(CallKind::Submit, queue + id, key).verdict;
    }
    Verdict status(const std::string& id, const std::string& key, const std::string& queue = prefix)
    {
        return send(CallKind::Status, queue + id, key).verdict;
    }
    Verdict cancel(const std::string& id, const std::string& key)
    {
        return send(CallKind::Cancel, prefix + id, key).verdict;
    }
};

} // namespace

// Guards against jobs that run without a known key, and against a public queue that asks for one.
TEST_CASE("a call needs a known key unless its queue is public", "[cell]")
{
    TenantFixture fixture;
    for (const auto* key : { "", "key-of-", "key-of-c" }) {
        CHECK(fixture.submit(jobId(1), key) == Verdict::Unauthorized);
        CHECK(fixture.status(jobId(1), key) == Verdict::Unauthorized);
        CHECK(fixture.cancel(jobId(1), key) == Verdict::Unauthorized);
        CHECK(fixture.send(CallKind::Waiting, prefix, key).verdict == Verdict::Unauthorized);
    }
    CHECK(fixture.state.jobs().empty());
    CHECK(fixture.metrics.counter("cell_keys_refused_total").value() == 12);
    CHECK(fixture.submit(jobId(1), "key-of-a") == Verdict::Ok);
    CHECK(fixture.state.findJob(jobId(1))->tenant == "a");
    CHECK(fixture.submit(jobId(2), "", "/open/") == Verdict::Ok);
    CHECK(fixture.state.findJob(jobId(2))->tenant.empty());
    CHECK(fixture.submit(jobId(3), "key-of-b", "/open/") == Verdict::Ok);
    CHECK(fixture.state.findJob(jobId(3))->tenant == "b");
    CHECK(fixture.submit(jobId(4), "", "/none/") == Verdict::NoSuchQueue);
    CHECK(fixture.send(CallKind::Waiting, prefix, "key-of-b").waiting == 1); // The jobs of all tenants.
}

// Guards against a tenant that sees or cancels the jobs of another one.
TEST_CASE("a job of another tenant is answered as if there were none", "[cell]")
{
    TenantFixture fixture;
    fixture.submit(jobId(1), "key-of-a");
    CHECK(fixture.status(jobId(1), "key-of-a") == Verdict::Ok);
    CHECK(fixture.status(jobId(1), "key-of-b") == Verdict::NoSuchJob);
    CHECK(fixture.cancel(jobId(1), "key-of-b") == Verdict::NoSuchJob);
    CHECK(fixture.state.findJob(jobId(1))->state == record::JobState::Open);
    fixture.commits = false;
    auto waiting = LeaderFixture::callFor(CallKind::Submit, prefix + jobId(2));
    waiting->key = "key-of-a";
    waiting->job = job("", step(1));
    CHECK_FALSE(fixture.call(std::move(waiting)));
    CHECK(fixture.cancel(jobId(2), "key-of-b") == Verdict::NoSuchJob);
    // A public queue gives no access to the jobs of other queues.
    CHECK(fixture.send(CallKind::Cancel, "/open/" + jobId(1), "").verdict == Verdict::NoSuchJob);
    CHECK(fixture.send(CallKind::Cancel, "/open/" + jobId(2), "").verdict == Verdict::NoSuchJob);
    CHECK(fixture.send(CallKind::Status, "/open/" + jobId(1), "").verdict == Verdict::NoSuchJob);
    fixture.commits = true;
    CHECK(fixture.cancel(jobId(1), "key-of-a") == Verdict::Ok);
    CHECK(fixture.state.findJob(jobId(1))->state == record::JobState::Cancelled);
}

// Guards against a removed key that still works, an added one that does not, and jobs that are lost with their key.
TEST_CASE("keys may be added, moved and removed while jobs run", "[cell]")
{
    TenantFixture fixture;
    fixture.submit(jobId(1), "key-of-a");
    configure(fixture.state, configWithTenants(2, tenant("a", { "new" }), tenant("b", { "key-of-b", "key-of-a" })));
    CHECK(fixture.submit(jobId(1), "new") == Verdict::Ok); // A resend with a new key.
    CHECK(fixture.status(jobId(1), "new") == Verdict::Ok);
    CHECK(fixture.submit(jobId(1), "key-of-a") == Verdict::Ok); // The job was accepted, and a refusal would deny it.
    CHECK(fixture.status(jobId(1), "key-of-a") == Verdict::NoSuchJob);
    CHECK(fixture.state.findJob(jobId(1))->tenant == "a");
    configure(fixture.state, configWithTenants(3, tenant("a", {}), tenant("b", { "key-of-b" })));
    CHECK(fixture.status(jobId(1), "new") == Verdict::Unauthorized);
    fixture.activate(2); // The next leader applies the same rules.
    CHECK(fixture.status(jobId(1), "key-of-a") == Verdict::Unauthorized);
    configure(fixture.state, config(4));
    CHECK(fixture.status(jobId(1), "") == Verdict::Ok);
}

// Guards against a tenant whose refused jobs delay its own, and against a refusal of jobs that could run.
TEST_CASE("a tenant is limited to its weight only while its tasks wait", "[cell]")
{
    constexpr unsigned burst = 10; // Two jobs a second in a window of five seconds.
    TenantFixture fixture;
    unsigned next = 0;
    for (; next < 3 * burst; ++next)
        CHECK(fixture.submit(jobId(next), "key-of-a") == (next < burst ? Verdict::Ok : Verdict::TooMany));
    const auto refused = fixture.send(CallKind::Submit, prefix + jobId(next), "key-of-a");
    CHECK(refused.verdict == Verdict::TooMany);
    CHECK(refused.retry_after_ms >= 1'000);
    CHECK(refused.retry_after_ms <= 8'000);
    CHECK_FALSE(fixture.state.findJob(jobId(next)));
    CHECK(fixture.submit(jobId(0), "key-of-a") == Verdict::Ok); // A resend.
    CHECK(fixture.submit(jobId(100), "key-of-b") == Verdict::Ok);
    CHECK(fixture.metrics.counter("cell_jobs_limited_total").value() == 2 * burst + 1);
    fixture.advanceTime(milliseconds(1'000));
    CHECK(fixture.submit(jobId(200), "key-of-a") == Verdict::Ok);
    CHECK(fixture.submit(jobId(201), "key-of-a") == Verdict::Ok);
    CHECK(fixture.submit(jobId(202), "key-of-a") == Verdict::TooMany);
}

// Guards against refusals because of a task that no worker can run.
TEST_CASE("a task that no worker can run does not limit its tenant", "[cell]")
{
    TenantFixture fixture;
    fixture.addReadyWorker("w1");
    auto made = LeaderFixture::callFor(CallKind::Submit, prefix + jobId(100));
    made->key = "key-of-a";
    auto needy = step(1);
    needy->needs = "a label that no worker has";
    made->job = job("", std::move(needy));
    CHECK(fixture.call(std::move(made))->verdict == Verdict::Ok);
    auto empty = step(1, 0);
    empty->memory = 0;
    for (unsigned next = 0; next < 50; ++next) {
        auto call = LeaderFixture::callFor(CallKind::Submit, prefix + jobId(next));
        call->key = "key-of-a";
        call->job = job("", std::make_unique<record::StepT>(*empty));
        CHECK(fixture.call(std::move(call))->verdict == Verdict::Ok);
    }
}

// Guards against a refusal while there is room.
TEST_CASE("a tenant may exceed its weight while all its tasks are placed", "[cell]")
{
    TenantFixture fixture;
    auto large = worker("w1", 1, 1'000'000);
    large->memory = 1'000'000;
    fixture.heartbeat(std::move(large));
    fixture.answerPoll("w1");
    for (unsigned next = 0; next < 50; ++next) {
        CHECK(fixture.submit(jobId(next), "key-of-a") == Verdict::Ok);
        fixture.advanceTime(milliseconds(1));
    }
}

// Guards against work beyond the cap while it is not known whether a start was carried out.
TEST_CASE("a run in doubt counts towards the cap, also for the next leader", "[cell]")
{
    LeaderFixture fixture(configWithTenants(1, tenant("a", { "key-of-a" }, 1, 1'000)));
    fixture.activate();
    fixture.addReadyWorker("w1");
    auto made = LeaderFixture::callFor(CallKind::Submit, prefix + jobId(1));
    made->key = "key-of-a";
    made->job = job("", step(2));
    CHECK(fixture.call(std::move(made))->verdict == Verdict::Ok);
    REQUIRE(fixture.starts.size() == 1);
    while (!fixture.starts.empty())
        CHECK(fixture.answerStart(OrderResult::NoAnswer).run == 1);
    CHECK(fixture.state.tenants().usage("a").cpu == MilliCpu { 1'000 });
    fixture.polls.clear();
    fixture.activate(2);
    REQUIRE(fixture.answerPoll("w1", { activeRun({ jobId(1), 0, 0, 0 }, 1) }));
    fixture.advanceTime(milliseconds(500));
    CHECK(fixture.starts.empty());
    CHECK(fixture.state.tenants().usage("a").cpu == MilliCpu { 1'000 });
    auto raised = LeaderFixture::callFor(CallKind::PutConfig, "");
    raised->config = configWithTenants(2, tenant("a", { "key-of-a" }, 1, 2'000));
    CHECK(fixture.call(std::move(raised))->verdict == Verdict::Ok);
    fixture.advanceTime(milliseconds(50));
    CHECK(fixture.starts.size() == 1); // The worker had room all the time.
}

// Guards against a tenant that starts with the figures and the empty bucket of a removed one.
TEST_CASE("a tenant that was removed and added again starts anew", "[cell]")
{
    TenantFixture fixture;
    const auto put = [&](std::unique_ptr<record::ConfigT> made) {
        auto call = LeaderFixture::callFor(CallKind::PutConfig, "");
        call->config = std::move(made);
        CHECK(fixture.call(std::move(call))->verdict == Verdict::Ok);
    };
    CHECK(fixture.submit(jobId(1), "key-of-a") == Verdict::Ok);
    put(configWithTenants(2, tenant("b", { "key-of-b" })));
    CHECK(fixture.leader->dump().find("\"accepted\":1") != std::string::npos); // The tenant still has a job.
    record::CommandT command;
    command.cancel.push_back(jobId(1));
    command.forget.push_back(jobId(1));
    fixture.state.apply(command);
    put(configWithTenants(3, tenant("b", { "key-of-b" })));
    put(twoTenants(4));
    CHECK(fixture.leader->dump().find("\"accepted\":1") == std::string::npos);
}

// Guards against keys in the dump.
TEST_CASE("the dump describes the tenants without their keys", "[cell]")
{
    TenantFixture fixture;
    fixture.submit(jobId(1), "key-of-a");
    const auto dump = fixture.leader->dump();
    CHECK(dump.find("\"name\":\"a\",\"weight\":2E0") != std::string::npos);
    CHECK(dump.find("\"waiting_jobs\":1") != std::string::npos);
    CHECK(dump.find("key-of") == std::string::npos);
}

// Guards against a gang that waits without end, because it needs more than its tenant may run at a time.
TEST_CASE("a gang beyond the cap of its tenant is refused with the reason", "[cell]")
{
    auto configured = configWithTenants(1, tenant("a", { "key-of-a" }, 2));
    configured->tenants.front()->cap_cpu = 4'000;
    LeaderFixture fixture(std::move(configured));
    fixture.activate();
    const auto submitGang = [&](const std::string& id, uint32_t members) {
        auto gang = step(members);
        gang->gang = true;
        auto call = LeaderFixture::callFor(CallKind::Submit, prefix + id);
        call->key = "key-of-a";
        call->job = job(id, step(9), std::move(gang));
        return *fixture.call(std::move(call));
    };
    const auto refused = submitGang(jobId(1), 5);
    CHECK(refused.verdict == Verdict::Invalid);
    CHECK(refused.message == "steps[1]: the gang needs more than the cap of its tenant");
    CHECK_FALSE(fixture.state.findJob(jobId(1)));
    CHECK(submitGang(jobId(2), 4).verdict == Verdict::Ok);
}
