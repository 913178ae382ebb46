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

/// Records the last call and answers it with `reply`.
struct RecordingCell {
    CallT call;
    std::chrono::milliseconds deadline { 0 };
    ReplyT reply;
    int calls = 0;

    CallCell callback()
    {
        return [this](std::unique_ptr<CallT> received, std::chrono::milliseconds limit,
                   const cell::Links::Answer& answer) {
            call = *received;
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
    http::Request request { .method = method, .target = target, .host = "a.example:80", .body = body };
    if (deadline)
        request.headers[deadlineHeader] = *std::move(deadline);
    handler(std::move(request), [&](std::optional<http::Response> result) { response = *std::move(result); });
    return response;
}

const std::string jobPath = "/q/5c0e7a21d94b36f8";
const std::string jobBody = R"({"spec":"x","steps":[{"count":1}]})";

} // namespace

// Guards against a status code that contradicts the verdict.
TEST_CASE("verdicts on a job map to status codes", "[platform]")
{
    RecordingCell recorder;
    const auto handler = clientHandler(recorder.callback());
    const std::vector<std::tuple<Verdict, unsigned, unsigned, unsigned>> codes {
        // verdict, after POST, after GET, after DELETE
        { Verdict::Ok, 200, 200, 200 },
        { Verdict::NoSuchQueue, 404, 404, 404 },
        { Verdict::NoSuchJob, 410, 410, 410 },
        { Verdict::NotRun, 503, 503, 503 },
        { Verdict::Unknown, 504, 503, 504 },
        { Verdict::Unauthorized, 401, 401, 401 },
        { Verdict::TooMany, 429, 429, 429 },
    };
    for (const auto& [verdict, post, get, remove] : codes) {
        recorder.reply.verdict = verdict;
        CHECK(send(handler, "POST", jobPath, jobBody).status == post);
        CHECK(send(handler, "GET", jobPath).status == get);
        CHECK(send(handler, "DELETE", jobPath).status == remove);
    }
    CHECK(recorder.call.host == "a.example");
    CHECK(recorder.call.path == jobPath);
    CHECK(send(handler, "PATCH", jobPath).status == 405);
}

// Guards against a key that does not reach the leader.
TEST_CASE("the key of a call is passed on", "[platform]")
{
    RecordingCell recorder;
    const auto handler = clientHandler(recorder.callback());
    for (const auto* method : { "POST", "GET", "DELETE" }) {
        http::Request request { .method = method, .target = jobPath, .host = "a.example", .body = jobBody };
        request.headers[keyHeader] = "key of a tenant";
        handler(request, [](const auto&) {});
        CHECK(recorder.call.key == "key of a tenant");
        send(handler, method, jobPath, jobBody);
        CHECK(recorder.call.key.empty());
    }
}

// Guards against a 503 or 429 response without a retry time.
TEST_CASE("a refused call has a Retry-After header", "[platform]")
{
    RecordingCell recorder;
    recorder.reply.verdict = Verdict::NotRun;
    recorder.reply.retry_after_ms = 1'200;
    CHECK(send(clientHandler(recorder.callback()), "POST", jobPath, jobBody).headers.at("Retry-After") == "2");
    recorder.reply.verdict = Verdict::TooMany;
    CHECK(send(clientHandler(recorder.callback()), "POST", jobPath, jobBody).headers.at("Retry-After") == "2");
}

// Guards against forwarding a malformed job to the leader.
TEST_CASE("a malformed job is rejected at the entry", "[platform]")
{
    RecordingCell recorder;
    CHECK(send(clientHandler(recorder.callback()), "POST", jobPath, "{").status == 400);
    CHECK(recorder.calls == 0);
}

// Guards against a response that arrives after the client has timed out.
TEST_CASE("the deadline of a client is reduced by a margin", "[platform]")
{
    RecordingCell recorder;
    const auto handler = clientHandler(recorder.callback());
    send(handler, "GET", jobPath, "", "1000");
    CHECK(recorder.deadline == std::chrono::milliseconds(850));
    send(handler, "GET", jobPath, "", "nonsense");
    CHECK(recorder.deadline == std::chrono::milliseconds(2'850));
}

// Guards against reporting a state or count under the wrong name.
TEST_CASE("job states and waiting counts are encoded", "[platform]")
{
    RecordingCell recorder;
    const auto handler = clientHandler(recorder.callback());
    const auto bodyFor = [&](JobState state, bool started) {
        recorder.reply.state = state;
        recorder.reply.started = started;
        return send(handler, "GET", jobPath).body;
    };
    CHECK(bodyFor(JobState::Open, false) == R"({"state":"queued"})");
    CHECK(bodyFor(JobState::Open, true) == R"({"state":"running"})");
    CHECK(bodyFor(JobState::Done, true) == R"({"state":"done"})");
    CHECK(bodyFor(JobState::Failed, true) == R"({"state":"failed"})");
    CHECK(bodyFor(JobState::Cancelled, true) == R"({"state":"cancelled"})");
    recorder.reply.waiting = 12;
    CHECK(send(handler, "GET", "/q/").body == R"({"waiting":12})");
    CHECK(recorder.call.kind == CallKind::Waiting);
}

// Guards against decoding a request of a worker or the operator as another kind of call.
TEST_CASE("requests of workers and the operator map to calls", "[platform]")
{
    RecordingCell recorder;
    recorder.reply.beat_address = "10.0.0.1:80";
    const auto handler = controlHandler(recorder.callback());
    const std::string path = "/turmericpier/instances/i-1";
    const auto heartbeat = send(handler, "PUT", path,
        R"({"service":"s","addr":"1.1.1.1:1","zone":"z","state":"ready","capacity":{"cpu":1},"labels":[],"born":5})");
    CHECK(heartbeat.status == 200);
    CHECK(heartbeat.body == R"({"heartbeat-addr":"10.0.0.1:80"})");
    CHECK(recorder.call.kind == CallKind::Beat);
    CHECK(send(handler, "PUT", path, "{}").status == 400);
    send(handler, "DELETE", path);
    CHECK(recorder.call.kind == CallKind::Leave);
    CHECK(recorder.call.worker->id == "i-1");
    CHECK(send(handler, "PUT", "/turmericpier/config", "{}").status == 400);
    recorder.reply.config = std::make_unique<cell::record::ConfigT>();
    recorder.reply.config->document = "{\"version\":1}";
    CHECK(send(handler, "GET", "/turmericpier/config").body == "{\"version\":1}");
    recorder.reply.verdict = Verdict::Unknown;
    CHECK(send(handler, "GET", "/turmericpier/config").status == 503);
    CHECK(send(handler, "GET", "/elsewhere").status == 404);
}

// Guards against a node that receives traffic while it cannot serve it.
TEST_CASE("the readiness probe reports the state of the node", "[platform]")
{
    bool ready = true;
    const auto handler = readyHandler([&] { return ready; });
    CHECK(send(handler, "GET", "/turmericpier/ready").status == 200);
    ready = false;
    CHECK(send(handler, "GET", "/turmericpier/ready").status == 503);
}

// Guards against a job that is passed on although there is no memory for it, and against a refusal that is not true.
TEST_CASE("a job without memory is refused before it is passed on", "[platform]")
{
    RecordingCell recorder;
    http::Request request { .method = "POST", .target = jobPath, .host = "a.example", .body = jobBody };
    size_t asked = 0;
    request.holdMemory = [&](size_t bytes) {
        asked = bytes;
        return false;
    };
    http::Response response;
    clientHandler(recorder.callback())(
        std::move(request), [&](std::optional<http::Response> result) { response = *std::move(result); });
    CHECK(response.status == 503);
    CHECK(response.headers.at("Retry-After") == "1");
    CHECK(asked > jobBody.size());
    CHECK(recorder.calls == 0);
}

// Guards against a body that takes much more memory than it has bytes.
TEST_CASE("a body beyond the memory of a document is answered with 413", "[platform]")
{
    RecordingCell recorder;
    CHECK(send(clientHandler(recorder.callback(), { .memory = 64 }), "POST", jobPath, jobBody).status == 413);
    CHECK(send(controlHandler(recorder.callback(), { .memory = 64 }), "PUT", "/turmericpier/config", "[1,2,3,4,5,6,7]")
              .status
        == 413);
    CHECK(recorder.calls == 0);
}
