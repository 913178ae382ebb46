#pragma once

#include <absl/status/statusor.h>
#include <cstddef>

/// Division of the file descriptors of a process among its kinds of connections.
///
///     const auto budget = http::divideDescriptors(4'324, http::ConnectionUse::Control);
///     client.maxConnections = budget->outgoing;
namespace turmericpier::http {

/// What a process uses connections for.
enum class ConnectionUse {
    Entry, ///< Serves callers, and talks to other processes and to few other addresses.
    Control, ///< Serves workers and operators, and holds a connection or more to each worker while it leads.
};

/// Greatest number of connections of each kind.
struct ConnectionBudget {
    size_t served = 0; ///< Accepted by each HTTP server; those for probes and metrics have few.
    size_t outgoing = 0; ///< Opened by the HTTP client.
    size_t peersIn = 0; ///< Accepted from other processes of the system.
    size_t peersOut = 0; ///< Opened to other processes of the system; not enforced, one for each process.
};

/// Smallest number of descriptors with which a process works.
constexpr size_t minDescriptors = 512;

/// Divides `descriptors`, the limit of the process, after setting aside those for files, timers and probes. Fails with
/// TOO_FEW_DESCRIPTORS, naming the number needed, if there are fewer than minDescriptors.
absl::StatusOr<ConnectionBudget> divideDescriptors(size_t descriptors, ConnectionUse use);

} // namespace turmericpier::http
