#pragma once

#include "turmericpier/base/ids.h"
#include "worker.grpc.pb.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace turmericpier::rpc {

/// Asynchronous client of the Endpoint service of all workers. Not thread-safe; the callbacks run on gRPC threads, or
/// within the call if the worker has no known address.
class EndpointClient {
public:
    using ExecuteDone = std::function<void(absl::StatusOr<ExecuteReply> reply)>;
    using QueryDone = std::function<void(absl::StatusOr<QueryReply> reply)>;

    /// Sets the address (IP address and port) of a worker. An unchanged address keeps the existing channel.
    void setAddress(const WorkerId& worker, const std::string& address);
    /// Forgets the address of a worker; later calls to it fail with UNKNOWN_WORKER.
    void remove(const WorkerId& worker);
    /// Runs a request on a worker. `done` receives the reply, or an error that tells whether the request may have run.
    void execute(const WorkerId& worker, ExecuteRequest request, std::chrono::nanoseconds timeout, ExecuteDone done);
    /// Asks a worker what happened to a request.
    void query(const WorkerId& worker, QueryRequest request, std::chrono::nanoseconds timeout, QueryDone done);

private:
    struct Connection {
        std::string address;
        std::unique_ptr<Endpoint::Stub> stub;
    };

    std::map<WorkerId, Connection> m_connections;
};

} // namespace turmericpier::rpc
