#include "platform/interface.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::platform;
using cell::record::CallKind;
using cell::record::CallT;
using cell::record::JobState;
using cell::record::ReplyT;
using cell::record::Verdict;

namespace {

struct Seen {
    CallT call;
    std::chrono::milliseconds deadline { 0 };
    ReplyT reply;
    int calls = 0;

    CallCell cell()
    {
        return [this](std::unique_ptr<CallT> made, std::chrono::milliseconds limit, const cell::Links::Answer& answer) {
            call = *made;
            deadline = limit;
            ++calls;
            answer(reply);
        };
    }
};

http::Response send(const http::Handler& handler, const std::string& method, const std::string& target,
    const std::string& body = {}, std::optional<std::string> deadline = std::nullopt)
{
    http::Response response;
    handler({ method, target, "a.example:80", body, std::move(deadline) },
        [&](std::optional<http::Response> given) { response = *std::move(given); });
    return response;
}

const std::string jobPath = "/q/5c0e7a21d94b36f8";
const std::string jobBody = R"({"spec":"x","steps":[{"count":1}]})";

} // namespace

// Guards against a status code that promises something else than the verdict.
TEST_CASE("verdicts on a job become status codes", "[platform]")
{
    Seen seen;
    const auto handler = clientHandler(seen.cell());
    const std::vector<std::tuple<Verdict, unsigned, unsigned, unsigned>> codes {
        // verdict, after POST, after GET, after DELETE
        { Verdict::Ok, 200, 200, 200 },
        { Verdict::NoSuchQueue, 404, 404, 404 },
        { Verdict::NoSuchJob, 410, 410, 410 },
        { Verdict::NotRun, 503, 503, 503 },
        { Verdict::Unknown, 504, 503, 504 },
    };
    for (const auto& [verdict, post, get, remove] : codes) {
        seen.reply.verdict = verdict;
        CHECK(send(handler, "POST", jobPath, jobBody).status == post);
        CHECK(send(handler, "GET", jobPath).status == get);
        CHECK(send(handler, "DELETE", jobPath).status == remove);
    }
    CHECK(seen.call.host == "a.example");
    CHECK(seen.call.path == jobPath);
    CHECK(send(handler, "PATCH", jobPath).status == 405);
}

// Guards against a refusal that does not tell when to come back.
TEST_CASE("a refusal names a time to come back", "[platform]")
{
    Seen seen;
    seen.reply.verdict = Verdict::NotRun;
    seen.reply.retry_after_ms = 1'200;
    CHECK(send(clientHandler(seen.cell()), "POST", jobPath, jobBody).headers.at("Retry-After") == "2");
}

// Guards against an unreadable job that reaches the leader.
TEST_CASE("an unreadable job is refused at the entry", "[platform]")
{
    Seen seen;
    CHECK(send(clientHandler(seen.cell()), "POST", jobPath, "{").status == 400);
    CHECK(seen.calls == 0);
}

// Guards against an answer that comes after its caller has left.
TEST_CASE("the deadline of a caller is kept with a margin", "[platform]")
{
    Seen seen;
    const auto handler = clientHandler(seen.cell());
    send(handler, "GET", jobPath, "", "1000");
    CHECK(seen.deadline == std::chrono::milliseconds(850));
    send(handler, "GET", jobPath, "", "nonsense");
    CHECK(seen.deadline == std::chrono::milliseconds(2'850));
}

// Guards against states and counts that are shown under the wrong name.
TEST_CASE("states and counts are shown", "[platform]")
{
    Seen seen;
    const auto handler = clientHandler(seen.cell());
    const auto shown = [&](JobState state, bool started) {
        seen.reply.state = state;
        seen.reply.started = started;
        return send(handler, "GET", jobPath).body;
    };
    CHECK(shown(JobState::Open, false) == R"({"state":"queued"})");
    CHECK(shown(JobState::Open, true) == R"({"state":"running"})");
    CHECK(shown(JobState::Done, true) == R"({"state":"done"})");
    CHECK(shown(JobState::Failed, true) == R"({"state":"failed"})");
    CHECK(shown(JobState::Cancelled, true) == R"({"state":"cancelled"})");
    seen.reply.waiting = 12;
    CHECK(send(handler, "GET", "/q/").body == R"({"waiting":12})");
    CHECK(seen.call.kind == CallKind::Waiting);
}

// Guards against calls of workers and the operator that are taken for one another.
TEST_CASE("calls of workers and the operator are told apart", "[platform]")
{
    Seen seen;
    seen.reply.beat_address = "10.0.0.1:80";
    const auto handler = controlHandler(seen.cell());
    const std::string path = "/turmericpier/instances/i-1";
    const auto beat = send(handler, "PUT", path,
        R"({"service":"s","addr":"1.1.1.1:1","zone":"z","state":"ready","capacity":{"cpu":1},"labels":[],"born":5})");
    CHECK(beat.status == 200);
    CHECK(beat.body == R"({"heartbeat-addr":"10.0.0.1:80"})");
    CHECK(seen.call.kind == CallKind::Beat);
    CHECK(send(handler, "PUT", path, "{}").status == 400);
    send(handler, "DELETE", path);
    CHECK(seen.call.kind == CallKind::Leave);
    CHECK(seen.call.worker->id == "i-1");
    CHECK(send(handler, "PUT", "/turmericpier/config", "{}").status == 400);
    seen.reply.config = std::make_unique<cell::record::ConfigT>();
    seen.reply.config->document = "{\"version\":1}";
    CHECK(send(handler, "GET", "/turmericpier/config").body == "{\"version\":1}");
    seen.reply.verdict = Verdict::Unknown;
    CHECK(send(handler, "GET", "/turmericpier/config").status == 503);
    CHECK(send(handler, "GET", "/elsewhere").status == 404);
}

// Guards against a node that is given connections while it cannot serve them.
TEST_CASE("readiness follows the node", "[platform]")
{
    bool ready = true;
    const auto handler = readyHandler([&] { return ready; });
    CHECK(send(handler, "GET", "/turmericpier/ready").status == 200);
    ready = false;
    CHECK(send(handler, "GET", "/turmericpier/ready").status == 503);
}
