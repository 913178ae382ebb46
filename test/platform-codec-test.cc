#include "platform/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace turmericpier;
using namespace turmericpier::platform;
using cell::OrderResult;
using cell::record::EndKind;

namespace {

const std::string configBody
    = R"({"version":7,"routes":[{"name":"r1","host":"a.example","path-prefix":"/p/","kind":"non_idempotent",)"
      R"("timeout-ms":3000,"target-runtime-ms":400,"priority":2,"service":"s","attempts":3,"stretch":1.5,)"
      R"("advice":{"decide-ms":28.5,"each-ms":0.4,"advice-ttl-ms":2000}}],)"
      R"("services":[{"name":"s","health-path":"/health","max-conns":64,"admission-check":false,"spare":false}],)"
      R"("limits":{"max-header-bytes":16384}})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

http::ClientResponse makeResponse(unsigned status, std::string body)
{
    return { http::CallFault::None, status, std::move(body) };
}

} // namespace

// Guards against configuration values that reach the scheduler changed or in the wrong unit.
TEST_CASE("a configuration is decoded", "[platform]")
{
    const auto config = decodeConfig(configBody);
    REQUIRE(config.ok());
    CHECK((*config)->version == 7);
    CHECK((*config)->document == configBody);
    const auto& queue = *(*config)->queues.front();
    CHECK(queue.priority == 2);
    CHECK(queue.attempts == 3);
    CHECK(queue.stretch == 1.5F);
    REQUIRE(queue.advice);
    CHECK(queue.advice->decide_us == 28'500);
    CHECK(queue.advice->each_us == 400);
    CHECK(queue.advice->ticket_ms == 2'000);
    CHECK_FALSE(
        decodeConfig(replaced(configBody, R"(,"advice":{"decide-ms":28.5,"each-ms":0.4,"advice-ttl-ms":2000})", ""))
            .value()
            ->queues.front()
            ->advice);
}

// Guards against acknowledging an invalid configuration.
TEST_CASE("an invalid configuration is rejected with a message that names the error", "[platform]")
{
    const auto errorOf = [](const std::string& body) {
        const auto config = decodeConfig(body);
        CHECK_FALSE(config.ok());
        return std::string(config.status().message());
    };
    CHECK(errorOf(configBody.substr(0, configBody.size() - 5)).find("no JSON") != std::string::npos);
    CHECK(errorOf(replaced(configBody, R"("service":"s")", R"("service":"t")")).find("unknown service")
        != std::string::npos);
    CHECK(errorOf(replaced(configBody, R"("timeout-ms":3000)", R"("timeout-ms":0)")).find("timeout-ms")
        != std::string::npos);
    CHECK(errorOf(replaced(configBody, R"("version":7)", R"("version":"7")")).find("version") != std::string::npos);
    CHECK(errorOf("[]").find("no object") != std::string::npos);
    const auto begin = configBody.find('{', 1);
    const auto route = configBody.substr(begin, configBody.find("}}],", begin) + 2 - begin);
    CHECK(errorOf(replaced(configBody, route, route + "," + route)).find("share") != std::string::npos);
}

// Guards against tenants that reach the scheduler changed, against two that share a key, and against keys in errors.
TEST_CASE("tenants are decoded or rejected without naming a key", "[platform]")
{
    const auto withTenants = [](const std::string& tenants) {
        return replaced(replaced(configBody, R"("limits")", R"("tenants":[)" + tenants + R"(],"limits")"),
            R"("stretch":1.5)", R"("stretch":1.5,"public":true)");
    };
    const std::string first = R"({"name":"a","api-keys":["secret-1","secret-2"],"priority":1,"weight":31,)"
                              R"("cap":{"cpu":13959176,"mem-mb":19204765,"gpu":0}})";
    const auto config = decodeConfig(withTenants(first + R"(,{"name":"b","api-keys":["secret-3"]})"));
    REQUIRE(config.ok());
    CHECK((*config)->queues.front()->is_public);
    REQUIRE((*config)->tenants.size() == 2);
    const auto& tenant = *(*config)->tenants.front();
    CHECK(tenant.name == "a");
    CHECK(tenant.keys == std::vector<std::string> { "secret-1", "secret-2" });
    CHECK(tenant.priority == 1);
    CHECK(tenant.weight == 31);
    CHECK(tenant.cap_cpu == 13'959'176);
    CHECK(tenant.cap_memory == 19'204'765);
    CHECK(tenant.cap_accelerators == 0);
    const auto& plain = *(*config)->tenants.back();
    CHECK(plain.weight == 1);
    CHECK(plain.cap_cpu == 0);
    const std::vector<std::pair<std::string, std::string>> invalid {
        { R"({"name":"b","api-keys":["secret-2"]})", "tenants[0] and tenants[1] share a key" },
        { R"({"name":"a","api-keys":["secret-3"]})", "named twice" },
        { R"({"name":"","api-keys":["secret-3"]})", "tenants[1].name" },
        { R"({"name":"b","api-keys":["secret-3",""]})", "tenants[1].api-keys" },
        { R"({"name":"b","api-keys":["secret-3",7]})", "tenants[1].api-keys" },
        { R"({"name":"b","api-keys":"secret-3"})", "tenants[1].api-keys" },
        { R"({"name":"b","api-keys":["secret-3"],"weight":-1})", "tenants[1].weight" },
        { R"({"name":"b","api-keys":["secret-3"],"weight":1e305})", "tenants[1].weight" },
        { R"({"name":"b","api-keys":["secret-3"],"cap":{"cpu":-1}})", "tenants[1].cap.cpu" },
        { R"("secret-3")", "tenants[1]" },
    };
    for (const auto& [second, error] : invalid) {
        const auto rejected = decodeConfig(withTenants(first + "," + second));
        INFO(second);
        REQUIRE_FALSE(rejected.ok());
        CHECK(rejected.status().message().find(error) != std::string::npos);
        CHECK(rejected.status().message().find("secret") == std::string::npos);
    }
}

// Guards against accepting an invalid job and against dropping members of a valid one.
TEST_CASE("a job is decoded", "[platform]")
{
    const auto job = decodeJob(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem-mb":256,"est-ms":900,"data-rack":"r1-3","max-per-server":2},)"
        R"({"count":20,"cpu":2000,"after":[0],"checkpoint":true,"gang":true,"same-rack":true,"needs":"b",)"
        R"("long-running":true,"target-ms":40,"fills":true,"may-miss":1,"speculative":true,"image":"i","gpu":1}],)"
        R"("run-count":3,"start-at-ms":1000,"interval-ms":500})");
    REQUIRE(job.ok());
    const auto& first = *(*job)->steps[0];
    CHECK(first.count == 4);
    CHECK(first.cpu == 500);
    CHECK(first.memory == 256);
    CHECK(first.data_rack == "r1-3");
    CHECK(first.max_per_worker == 2);
    const auto& second = *(*job)->steps[1];
    CHECK(second.after == std::vector<uint32_t> { 0 });
    CHECK((second.checkpoints && second.gang && second.same_rack && second.long_running && second.fills));
    CHECK(second.accelerators == 1);
    CHECK((*job)->times == 3);
    CHECK((*job)->interval_ms == 500);
    for (const auto* bad : { "{}", R"({"steps":[]})", R"({"steps":[{"cpu":5}]})", R"({"steps":[{"count":0}]})",
             R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"cpu":-1}]})",
             R"({"steps":[{"count":1,"gang":"yes"}]})", R"({"steps":{"count":1}})" }) {
        CAPTURE(bad);
        CHECK_FALSE(decodeJob(bad).ok());
    }
}

// Guards against registering a worker from a malformed heartbeat.
TEST_CASE("a heartbeat of a worker is decoded or rejected", "[platform]")
{
    const std::string body
        = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"draining",)"
          R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":2},"labels":["a","r1-3"],"clock-ms":5,"seq":4,"born":77})";
    const auto worker = decodeWorker("i-1", body);
    REQUIRE(worker.ok());
    CHECK((*worker)->id == "i-1");
    CHECK((*worker)->draining);
    CHECK((*worker)->cpu == 16'000);
    CHECK((*worker)->accelerators == 2);
    CHECK((*worker)->rack == "r1-3");
    CHECK((*worker)->born_ms == 77);
    CHECK((*worker)->seq == 4);
    CHECK_FALSE(decodeWorker("i-1", replaced(body, "draining", "asleep")).ok());
    CHECK_FALSE(decodeWorker("i-1", replaced(body, R"("born":77)", R"("born":"77")")).ok());
    CHECK_FALSE(decodeWorker("i-1", replaced(body, R"("cpu":16000)", R"("cpu":"16000")")).ok());
    CHECK_FALSE(decodeWorker("i-1", replaced(body, R"("addr":"10.0.0.9:80",)", "")).ok());
    CHECK_FALSE(decodeWorker("i-1", "\xff\xfe").ok());
}

// Guards against mapping a response to the wrong result. A task that was certainly not started must be distinguished
// from one in doubt.
TEST_CASE("responses to orders are mapped to results", "[platform]")
{
    CHECK(decodeOrder(makeResponse(200, R"({"clock-ms":12})")).clockMs == 12);
    CHECK(decodeOrder(makeResponse(200, "")).result == OrderResult::Accepted);
    CHECK(decodeOrder(makeResponse(409, R"({"clock-ms":12,"reason":"fence"})")).result == OrderResult::Fenced);
    CHECK(decodeOrder(makeResponse(409, R"({"reason":"old"})")).result == OrderResult::Superseded);
    CHECK(decodeOrder(makeResponse(409, R"({"reason":"late"})")).result == OrderResult::TooLate);
    CHECK(decodeOrder(makeResponse(409, R"({"reason":"room"})")).result == OrderResult::NoRoom);
    CHECK(decodeOrder(makeResponse(409, R"({"reason":"ticket"})")).result == OrderResult::BadTicket);
    CHECK(decodeOrder(makeResponse(421, "")).result == OrderResult::OtherIncarnation);
    CHECK(decodeOrder(makeResponse(400, "")).result == OrderResult::Invalid);
    CHECK(decodeOrder(makeResponse(429, "")).result == OrderResult::Unhealthy);
    CHECK(decodeOrder(makeResponse(503, "")).result == OrderResult::Unhealthy);
    CHECK(decodeOrder(makeResponse(500, "")).result == OrderResult::NoAnswer);
    CHECK(decodeOrder({ http::CallFault::Refused, 0, "" }).result == OrderResult::ConnectionRefused);
    CHECK(decodeOrder({ http::CallFault::NoAnswer, 0, "" }).result == OrderResult::NoAnswer);
    CHECK(decodeOrder({ http::CallFault::Unreachable, 0, "" }).result == OrderResult::NotSent);
}

// Guards against the clock of another incarnation in the place of that of the worker, and against the list of a later
// incarnation that is not read.
TEST_CASE("the answer of another incarnation is told apart", "[platform]")
{
    const std::string body = R"({"clock-ms":12,"born":9,"running":[],"ended":[]})";
    const auto order = decodeOrder({ http::CallFault::OtherPeer, 200, body });
    CHECK(order.result == OrderResult::OtherIncarnation);
    CHECK_FALSE(order.clockMs);
    CHECK_FALSE(decodeOrder(makeResponse(421, R"({"clock-ms":12})")).clockMs);
    CHECK_FALSE(decodeOrder({ http::CallFault::None, 503, R"({"clock-ms":12})", false }).clockMs);
    const auto poll = decodePoll({ http::CallFault::OtherPeer, 200, body });
    CHECK(poll.result == OrderResult::Accepted);
    CHECK(poll.startedAtMs == 9);
    CHECK(decodePoll({ http::CallFault::OtherPeer, 0, "" }).result == OrderResult::NoAnswer);
}

// Guards against reading rows of a poll response with shifted or missing columns.
TEST_CASE("a poll response is decoded", "[platform]")
{
    const auto poll = decodePoll(makeResponse(200,
        R"({"clock-ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,130],["bad",1,"",0]],)"
        R"("ended":[[58,"5c0e7a21d94b36f8.3.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.0.0",4,"lapsed","s"]]})"));
    CHECK(poll.result == OrderResult::Accepted);
    CHECK(poll.startedAtMs == 9);
    REQUIRE(poll.running.size() == 1);
    CHECK(poll.running[0].task == cell::TaskKey { "5c0e7a21d94b36f8", 0, 1, 17 });
    CHECK(poll.running[0].run == 2);
    CHECK(poll.running[0].checkpoint == "00000bb8");
    CHECK(poll.running[0].progress == 41);
    CHECK(poll.running[0].load == 130);
    REQUIRE(poll.ended.size() == 2);
    CHECK(poll.ended[0].number == 58);
    CHECK(poll.ended[0].task.occurrence == 3);
    CHECK(poll.ended[1].how == EndKind::Lapsed);
    CHECK(poll.ended[1].checkpoint == "s");
    CHECK_FALSE(poll.mayHaveMoreEnds);
    // A list of 500 ends may be incomplete.
    std::string ends = R"([1,"5c0e7a21d94b36f8.0.0.0",1,"done",""])";
    for (int i = 2; i < 500; ++i)
        ends += R"(,[1,"5c0e7a21d94b36f8.0.0.0",1,"done",""])";
    CHECK_FALSE(decodePoll(makeResponse(200, R"({"running":[],"ended":[)" + ends + "]}")).mayHaveMoreEnds);
    ends += R"(,["malformed"])";
    CHECK(decodePoll(makeResponse(200, R"({"running":[],"ended":[)" + ends + "]}")).mayHaveMoreEnds);
    CHECK(decodePoll(makeResponse(200, "{}")).result == OrderResult::NoAnswer);
}

// Guards against sending optional members that are not set.
TEST_CASE("orders are encoded", "[platform]")
{
    const cell::TaskKey task { "5c0e7a21d94b36f8", 0, 1, 17 };
    auto start = encodeStart("i-1", { task, 2, "spec", 486'000, 7, "", "" });
    CHECK(start.target == "/turmericpier/run-start");
    CHECK(start.body == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"spec","until-ms":486000,"fence":7})");
    CHECK(start.headers.front().second == "i-1");
    start = encodeStart("i-1", { task, 2, "spec", 486'000, 7, "saved", "ticket" });
    CHECK(start.body.find(R"("saved":"saved","ticket":"ticket")") != std::string::npos);
    CHECK(encodePoll("i-1", { 7, 57, std::nullopt, 0 }).body == R"({"fence":7,"ack-cursor":57})");
    CHECK(encodePoll("i-1", { 7, 57, 9, 1'000 }).body == R"({"fence":7,"ack-cursor":57,"until-ms":9,"wait-ms":1000})");
    CHECK(encodeStop("i-1", { task, 2, 7 }).body == R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"fence":7})");
}

// Guards against a decoder that crashes on malformed input or accepts it.
TEST_CASE("decoders reject arbitrary bytes without crashing", "[platform]")
{
    rc::check("arbitrary bodies", [](const std::string& body) {
        RC_ASSERT(!decodeConfig(body).ok());
        RC_ASSERT(!decodeJob(body).ok());
        RC_ASSERT(!decodeWorker("i-1", body).ok());
        RC_ASSERT(decodePoll(makeResponse(200, body)).result == OrderResult::NoAnswer);
        RC_ASSERT(!decodeAdvice(makeResponse(200, body)).ok);
    });
    rc::check("corrupted bodies", [] {
        auto body = configBody;
        const auto at = *rc::gen::inRange<size_t>(0, body.size());
        body[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto config = decodeConfig(body);
        if (config.ok())
            RC_ASSERT((*config)->queues.size() == 1U);
    });
    rc::check("task names", [](const std::string& text) {
        const auto task = parseTaskName(text);
        if (task)
            RC_ASSERT(parseTaskName(taskName(*task)) == task);
    });
}

// Guards against assigning tickets to the wrong worker.
TEST_CASE("advice is decoded", "[platform]")
{
    const auto advice = decodeAdvice(makeResponse(200, R"({"good":[["i-1","t1"],["i-2","t2"]]})"));
    CHECK(advice.ok);
    CHECK(advice.tickets.at("i-2") == "t2");
    CHECK_FALSE(decodeAdvice(makeResponse(429, "")).ok);
}

// Guards against small bodies that take much memory at each replica or while they are parsed.
TEST_CASE("jobs of too many tasks and texts of too many values are rejected", "[platform]")
{
    CHECK(decodeJob(R"({"steps":[{"count":60000},{"count":40000}]})").ok());
    CHECK_FALSE(decodeJob(R"({"steps":[{"count":60000},{"count":40001}]})").ok());
    CHECK_FALSE(decodeJob(R"({"run-count":100,"steps":[{"count":1001}]})").ok());
    const auto body = R"({"steps":[{"count":1}],"x":[)" + std::string(1'000, ' ') + R"(0,0,0,0,0,0]})";
    CHECK(decodeJob(body).ok());
    CHECK(isTooLarge(decodeJob(body, { .memory = 256 }).status()));
}

// Guards against a worker that makes the leader and the log hold long checkpoints.
TEST_CASE("a checkpoint that is too long is dropped", "[platform]")
{
    const auto answer = [](size_t bytes) {
        const std::string saved(bytes, 's');
        return decodePoll({ http::CallFault::None, 200,
            R"({"clock-ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,")" + saved
                + R"(",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",")" + saved + R"("]]})" });
    };
    const auto allowed = answer(4'096);
    CHECK(allowed.running.at(0).checkpoint.size() == 4'096);
    CHECK(allowed.ended.at(0).checkpoint.size() == 4'096);
    const auto dropped = answer(4'097);
    CHECK(dropped.running.at(0).checkpoint.empty());
    CHECK(dropped.ended.at(0).checkpoint.empty());
}

// Guards against numbers that no integer can hold.
TEST_CASE("huge numbers in a row count as 0", "[platform]")
{
    const auto answer = decodePoll({ http::CallFault::None, 200,
        R"({"clock-ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",1e300,"",-1e300]],"ended":[]})" });
    REQUIRE(answer.running.size() == 1);
    CHECK(answer.running[0].run == 0);
}
