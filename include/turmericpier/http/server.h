#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/memory-share.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/transport.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// HTTP/1.1 server that runs on the caller's event loop and answers asynchronously:
///
///     http::Server server(io, { .listen = { "127.0.0.1", 8080 } }, handler, metrics);
///     server.start();
namespace turmericpier::http {

struct ServerOptions {
    peer::Address listen;
    size_t maxHeaderBytes = 16'384; ///< Larger headers are answered with 431.
    size_t maxBodyBytes = 4U << 20U; ///< Larger bodies are answered with 413.
    /// All chunk extensions and trailers of one request together; more are answered with 431.
    size_t maxFramingBytes = 16'384;
    /// Share that requests and large responses take their memory from. At its limit the largest request that is still
    /// being read is refused with 503. Null for no limit.
    std::shared_ptr<MemoryShare> memory;
    /// For reading the body of a request, and for writing a response.
    std::chrono::milliseconds requestTimeout { 3'000 };
    /// For the arrival of a request header, including that of the next request on a connection.
    std::chrono::milliseconds idleTimeout { 15'000 };
    /// At the limit the connection that has been idle longest is closed for a new one. If none is idle, the new one is
    /// closed and counted.
    size_t maxConnections = 2'000;
    std::vector<std::string> readHeaders; ///< Names of the headers that are passed on in Request::headers.
};

struct Request {
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    std::map<std::string, std::string> headers; ///< Those of ServerOptions::readHeaders that were sent, by these names.
    /// Reserves memory for what the handler keeps until it responds, in place of what it has reserved so before. If
    /// this returns false, the handler must refuse the request with tooBusy(). Null if the server has no share of
    /// memory.
    std::function<bool(size_t bytes)> holdMemory;

    /// Returns the value of a header of ServerOptions::readHeaders; null if it was not sent.
    const std::string* findHeader(const std::string& name) const;
};

struct Response {
    unsigned status = 200;
    std::string body; ///< JSON; may be empty.
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

/// Returns the response to a request that was not handled for lack of memory: 503 with a time for the next attempt.
Response tooBusy();

/// Answers one request, immediately or later, on the event loop. Without a response the connection is closed. Only the
/// first call has an effect.
using Respond = std::function<void(std::optional<Response>)>;
/// Handles a request. It must eventually call Respond, or the connection stays open.
using Handler = std::function<void(Request, Respond)>;

class Server {
public:
    Server(boost::asio::io_context& io, ServerOptions options, Handler handler, Metrics& metrics);
    ~Server();

    /// Starts to accept connections. Fails with LISTEN_FAILED if the address cannot be bound.
    absl::Status start();
    /// Closes each connection after its next response. Requests that are in progress are answered.
    void drain();
    /// Accepts no more connections and closes those on which nothing of a request has arrived. Requests that have
    /// arrived are answered. The caller repeats this until openConnections() is 0.
    void finish();
    /// Returns the number of requests passed to the handler and not answered yet.
    size_t requestsInFlight() const;
    size_t openConnections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericpier::http
