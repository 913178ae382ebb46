#include "cell-fake-world.h"
#include "free-address.h"
#include "platform/workers.h"
#include "turmericpier/http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

/// Tests of the orders of a leader over HTTP to a worker that starts again under its id at its address.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;
using std::chrono::milliseconds;

namespace {

namespace json = boost::json;

/// A worker on loopback that takes every order. It can be restarted, and can leave requests unanswered.
class StandInWorker {
public:
    struct Received {
        int64_t born = 0; ///< Start of the incarnation that has received the order.
        std::string target;
        json::object body;
    };

    StandInWorker(boost::asio::io_context& io, Metrics& metrics)
        : m_io(io)
        , m_metrics(metrics)
    {
        start(1);
    }

    void start(int64_t born)
    {
        m_server.reset();
        m_held.clear();
        http::ServerOptions options;
        options.listen = { "127.0.0.1", m_port };
        m_server = std::make_unique<http::Server>(
            m_io, options,
            [this, born](const http::Request& request, const http::Respond& respond) {
                auto body = json::parse(request.body).get_object();
                received.push_back({ born, request.target, body });
                if (holdsAnswers)
                    return m_held.push_back(respond);
                json::object answer { { "clock-ms", m_clockMs += 10 } };
                if (request.target == "/turmericpier/hold") {
                    answer["born"] = born;
                    answer["running"] = json::array();
                    answer["ended"] = ends;
                }
                respond(http::Response { .body = json::serialize(answer) });
            },
            m_metrics);
        REQUIRE(m_server->start().ok());
        m_clockMs = 10 * (born - 1);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    size_t count(int64_t born, const std::string& target) const
    {
        return static_cast<size_t>(std::ranges::count_if(
            received, [&](const Received& order) { return order.born == born && order.target == target; }));
    }

    std::vector<Received> received;
    json::array ends; ///< Listed in each poll.
    bool holdsAnswers = false;

private:
    boost::asio::io_context& m_io;
    Metrics& m_metrics;
    const uint16_t m_port = turmericpier::test::freePort();
    int64_t m_clockMs = 0;
    std::vector<http::Respond> m_held;
    std::unique_ptr<http::Server> m_server;
};

const std::string startTarget = "/turmericpier/run-start";

/// A leader whose orders go to the worker w1 over HTTP once the test delivers them.
struct IncarnationFixture : LeaderFixture {
    boost::asio::io_context io;
    StandInWorker worker { io, metrics };
    http::Client client { io, {}, clock, metrics };
    LeaderHooks orders = platform::makeOrderHooks(client, {});
    size_t unanswered = 0;

    IncarnationFixture()
    {
        activate();
        heartbeatOf(1);
        deliver();
    }

    /// Starts the worker again. Its connections end first.
    void restart(int64_t born)
    {
        worker.start(born);
        io.poll();
    }

    void heartbeatOf(int64_t born)
    {
        auto made = cell::test::worker("w1", born, 64'000);
        made->address = worker.address();
        heartbeat(std::move(made));
    }

    void commitFirst()
    {
        const auto [command, done] = std::move(log.front());
        log.pop_front();
        state.apply(*command);
        leader->applied(*command);
        done(absl::OkStatus());
    }

    /// Passes orders to the client until none is left, and waits for their answers.
    void deliver()
    {
        pass();
        while (unanswered > 0) {
            io.run_one();
            runPending();
            pass();
        }
    }

    /// Passes the orders made so far to the client.
    void pass()
    {
        const auto passAll = [this](auto& sent, const auto& order) {
            for (auto& item : std::exchange(sent, {})) {
                ++unanswered;
                order(item.to, item.order, [this, answer = item.answer](auto received) {
                    --unanswered;
                    answer(std::move(received));
                });
            }
        };
        passAll(starts, orders.start);
        passAll(stops, orders.stop);
        // A poll that waits is answered at once here, and would be followed by another one.
        if (polls.size() == 1 && polls.front().order.waitMs > 0)
            return;
        passAll(polls, orders.poll);
    }
};

} // namespace

// Guards against a run at a worker that the leader takes for lost with the incarnation before it (issue 48).
TEST_CASE("a start does not reach a later incarnation of its worker", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.restart(2);
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    fixture.deliver();
    CHECK(fixture.worker.count(2, startTarget) == 0);
}

// Guards against orders that are sent when their session is over, because they have waited for connections until then.
TEST_CASE("starts that wait for a connection do not reach a later incarnation", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.worker.holdsAnswers = true;
    fixture.submitJob(job(jobId(1), step(40)));
    fixture.pass();
    while (fixture.worker.received.size() < 4)
        fixture.io.run_one();
    fixture.worker.holdsAnswers = false;
    fixture.restart(2);
    fixture.deliver();
    CHECK(fixture.worker.count(2, startTarget) == 0);
}

// Guards against a start that was in the log before the first heartbeat of the next incarnation, and is sent behind it.
TEST_CASE("a start that was proposed before a later incarnation registers does not reach it", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.commits = false;
    fixture.submitJob(job(jobId(1), step(1)));
    fixture.commitFirst();
    fixture.runPending(); // Plans and proposes the start.
    fixture.restart(2);
    fixture.heartbeatOf(2);
    REQUIRE(fixture.log.size() == 2);
    fixture.commits = true;
    fixture.runPending();
    fixture.pass();
    REQUIRE(fixture.state.findWorkerById("w1")->worker.born_ms == 2);
    fixture.deliver();
    REQUIRE(fixture.worker.count(2, startTarget) == 1);
    for (const auto& order : fixture.worker.received) {
        if (order.born == 2 && order.target == startTarget)
            CHECK(order.body.at("run").to_number<int64_t>() == 2);
    }
}

// Guards against a lease of the longest duration, which a later incarnation takes from a time on the clock of the
// former.
TEST_CASE("a poll gives no lease to a later incarnation and acknowledges none of its ends", "[incarnation]")
{
    IncarnationFixture fixture;
    fixture.restart(2);
    fixture.submitJob(job(jobId(1), step(1)));
    REQUIRE(fixture.starts.size() == 1);
    const auto address = fixture.starts.front().to;
    std::optional<PollAnswer> answer;
    fixture.orders.poll(address, { .fencingToken = 1, .ackCursor = 3, .leaseUntilMs = 5'000 },
        [&](PollAnswer received) { answer = std::move(received); });
    while (!answer)
        fixture.io.run_one();
    REQUIRE(answer->result == OrderResult::Accepted);
    CHECK(answer->startedAtMs == 2);
    for (const auto& order : fixture.worker.received) {
        if (order.born != 2)
            continue;
        CHECK_FALSE(order.body.contains("until-ms"));
        CHECK(order.body.at("ack-cursor").to_number<int64_t>() == 0);
    }
}
