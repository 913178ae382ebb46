#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/peer/transport.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// HTTP/1.1 server that answers asynchronously on a caller's event loop:
///
///     http::Server server(io, { .listen = { "127.0.0.1", 8080 } }, handler, metrics);
///     server.start();
namespace turmericpier::http {

struct ServerOptions {
    peer::Address listen;
    size_t maxHeaderBytes = 16'384;
    size_t maxBodyBytes = 4U << 20U; ///< Larger bodies are answered with 413.
    std::chrono::milliseconds headerTimeout { 3'000 }; ///< For one whole request.
    std::chrono::milliseconds idleTimeout { 15'000 }; ///< Between two requests of a connection.
    size_t maxConnections = 2'000; ///< More are closed and counted.
};

struct Request {
    std::string method;
    std::string target;
    std::string host;
    std::string body;
    std::optional<std::string> deadline; ///< Value of the header that Server was told to read.
};

struct Response {
    unsigned status = 200;
    std::string body; ///< JSON; may be empty.
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
};

/// Answers one request, at once or later, on the event loop. Without a response the connection is closed.
using Respond = std::function<void(std::optional<Response>)>;
using Handler = std::function<void(Request, Respond)>;

class Server {
public:
    /// `deadlineHeader` is the name of the header whose value is given to the handler.
    Server(boost::asio::io_context& io, ServerOptions options, Handler handler, Metrics& metrics,
        std::string deadlineHeader = {});
    ~Server();

    absl::Status start();
    /// Answers what has been read, and closes each connection after its answer.
    void drain();
    size_t requestsInFlight() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericpier::http
