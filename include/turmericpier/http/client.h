#pragma once

#include "turmericpier/base/metrics.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP/1.1 client with a bounded pool of kept connections for each address.
namespace turmericpier::http {

struct ClientRequest {
    std::string method;
    std::string target;
    std::string body; ///< JSON.
    std::vector<std::pair<std::string, std::string>> headers;
};

enum class CallFault {
    None,
    Refused, ///< No connection could be made because nothing listens: the request was not sent.
    Unreachable, ///< No connection could be made in time: the request was not sent.
    NoAnswer, ///< The request was sent, at least in part, and no whole answer came.
};

struct ClientAnswer {
    CallFault fault = CallFault::NoAnswer;
    unsigned status = 0;
    std::string body;
};

struct ClientOptions {
    size_t connectionsPerAddress = 6; ///< Further requests wait for one of these; one waits for ends most of the time.
    size_t queuePerAddress = 512; ///< Requests waiting; more are answered with Unreachable.
    std::chrono::milliseconds connectTimeout { 700 }; ///< Beside many round trips of 16 ms, one lost packet.
    std::chrono::milliseconds keepIdle { 20'000 };
};

/// Used on the thread of the event loop only.
class Client {
public:
    using Done = std::function<void(ClientAnswer)>;

    Client(boost::asio::io_context& io, ClientOptions options, Metrics& metrics);
    ~Client(); ///< Closes all connections; requests in progress are dropped without a call of `done`.

    /// `timeout` counts from the moment at which a connection is there; `done` is called exactly once.
    void call(const std::string& address, ClientRequest request, std::chrono::milliseconds timeout, Done done);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericpier::http
