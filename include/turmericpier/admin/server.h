#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// HTTP interface for operators and monitoring:
///
///     Server server({ .host = "127.0.0.1", .port = 9100 }, hooks, metrics);
///     if (auto status = server.start(); !status.ok())
///         return status;
namespace turmericpier::admin {

struct ServerOptions {
    std::string host; ///< IP address; nothing else is listened on.
    uint16_t port = 0; ///< 0 for any free port.
    size_t maxHeaderBytes = 8U << 10U; ///< Of a request; requests have no body.
    size_t maxConnections = 32; ///< More are closed and counted.
    Duration idleTimeout = std::chrono::seconds(10); ///< For a whole request, and for a whole response.
};

/// Called on the server's thread. A missing hook answers with 404.
struct ServerHooks {
    std::function<std::string()> dump; ///< GET /dump: state as a JSON object.
    std::function<std::string()> metrics; ///< GET /metrics: Prometheus text.
    std::function<absl::Status()> health; ///< GET /healthz: 200, or 503 with the message.
    std::function<absl::Status()> readiness; ///< GET /readyz: 200, or 503 with the message.
};

class Server {
public:
    Server(ServerOptions options, ServerHooks hooks, Metrics& metrics);
    ~Server();

    absl::Status start();
    void stop(); ///< Closes all connections and ends the thread.
    uint16_t port() const; ///< The port listened on, also when the options named port 0.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::admin
