#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/memory-share.h"
#include "turmericpier/base/metrics.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// HTTP/1.1 client with a bounded pool of keep-alive connections for each address, and a bound on all of them together.
namespace turmericpier::http {

struct ClientRequest {
    std::string method;
    std::string target;
    std::string body; ///< JSON; may be empty.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Reasons why a request got no response.
enum class CallFault {
    None,
    Refused, ///< The connection was refused, so the request was not sent.
    /// The address is invalid, its queue is full, or there was no usable connection in time: the request was not sent.
    Unreachable,
    NoAnswer, ///< The request was sent, at least in part, and no complete response arrived: it is in doubt.
    OtherPeer, ///< Another process than the one required serves the address: the request was not sent.
};

struct ClientResponse {
    CallFault fault = CallFault::NoAnswer;
    unsigned status = 0; ///< HTTP status code; 0 if there is a fault.
    std::string body;
    bool isRequestSent = true; ///< False if this is the response to the identity check of a request that was not sent.
};

/// Binds a request to one of the processes that serve its address one after the other. A connection ends with its
/// process, so the request is sent only on a connection whose server has shown that it is the one required:
///
///     client.call(address, order, timeout, done, PeerBinding { "i-7/17965", makeIdentityCheck, timeout, identify });
struct PeerBinding {
    std::string identity; ///< Identity that the server must have.
    /// Returns the request that is sent first on a connection whose server has not shown its identity yet. If null, the
    /// request itself asks for the identity and is sent on any connection.
    std::function<ClientRequest()> makeIdentityCheck;
    std::chrono::milliseconds timeout { 0 }; ///< For the response to the identity check.
    /// Returns the identity that a response shows; empty if it shows none.
    std::function<std::string(const ClientResponse&)> identify;
};

struct ClientOptions {
    /// Further requests are queued. A long poll occupies one connection most of the time.
    size_t connectionsPerAddress = 6;
    /// Connections to all addresses. At the limit the connection that has been idle longest is closed for a new one,
    /// and while none is idle, requests to addresses without a connection are queued.
    size_t maxConnections = 2'000;
    size_t queuePerAddress = 512; ///< Queued requests; more fail with Unreachable.
    std::chrono::milliseconds connectTimeout { 700 }; ///< Allows for many round trips of 16 ms and one lost packet.
    /// A request that was not sent this long after the call, because it waited for a connection or the process was
    /// suspended, fails with Unreachable.
    std::chrono::milliseconds sendTimeout { 1'000 };
    std::chrono::milliseconds idleTimeout { 20'000 }; ///< Time for which an unused connection is kept.
    /// Share that responses take their memory from while they are read. At its limit the largest of them is given up.
    /// Null for no limit.
    std::shared_ptr<MemoryShare> memory;
};

/// Must be used on the thread of the event loop only.
class Client {
public:
    using Done = std::function<void(ClientResponse)>;

    Client(boost::asio::io_context& io, ClientOptions options, const Clock& clock, Metrics& metrics);
    ~Client(); ///< Closes all connections and drops queued requests without calling `done`.

    /// Sends a request to an "IP:PORT". `timeout` starts once there is a connection; `done` is called exactly once, and
    /// may be called before this function returns. If the server is another one than `binding` requires, the response
    /// to the identity check is passed on with OtherPeer. If the server refuses the check, its response is passed on.
    void call(const std::string& address, ClientRequest request, std::chrono::milliseconds timeout, Done done,
        std::optional<PeerBinding> binding = std::nullopt);
    /// Closes the connections that have been idle for the idle timeout. The client does so by itself four times during
    /// each idle timeout.
    void closeIdleConnections();
    size_t openConnections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericpier::http
