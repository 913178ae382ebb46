#pragma once

#include "cell-fake-world.h"
#include "free-address.h"
#include "platform/workers.h"
#include "turmericpier/http/server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <cstddef>

/// A leader whose orders go over HTTP to a worker that may start again under its id at its address.
namespace turmericpier::cell::test {

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
                if (onOrder)
                    onOrder(received.back(), answer);
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
    /// Changes the answer to an order before it is sent.
    std::function<void(const Received&, json::object& answer)> onOrder;

private:
    boost::asio::io_context& m_io;
    Metrics& m_metrics;
    const uint16_t m_port = turmericpier::test::freePort();
    int64_t m_clockMs = 0;
    std::vector<http::Respond> m_held;
    std::unique_ptr<http::Server> m_server;
};

inline const std::string startTarget = "/turmericpier/run-start";

/// A leader whose orders go to the worker w1 over HTTP once the test delivers them.
struct IncarnationFixture : LeaderFixture {
    boost::asio::io_context io;
    StandInWorker worker { io, metrics };
    http::Client client { io, {}, clock, metrics };
    LeaderHooks orders = platform::makeOrderHooks(client, {});
    size_t unanswered = 0;

    IncarnationFixture() { begin(); }
    /// Leaves it to a derived fixture to begin.
    explicit IncarnationFixture(std::nullptr_t) { }

    void begin()
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

    /// Passes orders to the client until none is left, and waits for their answers. `withWaiting` also passes a poll
    /// that waits for an end, once.
    void deliver(bool withWaiting = false)
    {
        pass(withWaiting);
        while (unanswered > 0) {
            io.run_one();
            runPending();
            pass();
        }
    }

    /// Passes the orders made so far to the client.
    void pass(bool withWaiting = false)
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
        if (!withWaiting && polls.size() == 1 && polls.front().order.waitMs > 0)
            return;
        passAll(polls, orders.poll);
    }
};

} // namespace turmericpier::cell::test
