#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// HTTP server for operators and monitoring:
///
///     Server server({ .host = "127.0.0.1", .port = 9100 }, hooks, metrics);
///     if (auto status = server.start(); !status.ok())
///         return status;
namespace turmericpier::admin {

struct ServerOptions {
    std::string host; ///< IP address to listen on.
    uint16_t port = 0; ///< Port to listen on; 0 for any free port.
    size_t maxHeaderBytes = 8U << 10U; ///< Limit for the header of a request; a request must not have a body.
    size_t maxConnections = 32; ///< Further connections are closed and counted.
    Duration idleTimeout = std::chrono::seconds(10); ///< Limit for reading a request and for writing a response.
};

/// Functions that produce the responses. They run on the server's thread. A path without a hook answers with 404.
struct ServerHooks {
    std::function<std::string()> dump; ///< GET /dump: the state as a JSON object.
    std::function<std::string()> metrics; ///< GET /metrics: metrics in the Prometheus text format.
    std::function<absl::Status()> health; ///< GET /healthz: 200, or 503 with the message.
    std::function<absl::Status()> readiness; ///< GET /readyz: 200, or 503 with the message.
};

/// Serves the admin paths on a thread of its own.
class Server {
public:
    Server(ServerOptions options, ServerHooks hooks, Metrics& metrics);
    ~Server();

    absl::Status start(); ///< Listens and starts the thread.
    void stop(); ///< Ends the thread and stops listening; open connections close with the destructor.
    uint16_t port() const; ///< The port that the server listens on, also if the options name port 0.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::admin
