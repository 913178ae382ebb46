#pragma once

#include "turmericpier/base/ids.h"
#include "worker.grpc.pb.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

/// Calls to the Endpoint service of workers. Used on one thread; results arrive on threads of gRPC.
namespace turmericpier::rpc {

class EndpointClient {
public:
    using ExecuteDone = std::function<void(absl::StatusOr<ExecuteReply> reply)>;
    using QueryDone = std::function<void(absl::StatusOr<QueryReply> reply)>;

    /// Keeps the channel if the address is unchanged.
    void setAddress(const WorkerId& worker, const std::string& address);
    void remove(const WorkerId& worker);
    void execute(const WorkerId& worker, ExecuteRequest request, std::chrono::nanoseconds timeout, ExecuteDone done);
    void query(const WorkerId& worker, QueryRequest request, std::chrono::nanoseconds timeout, QueryDone done);

private:
    struct Peer {
        std::string address;
        std::unique_ptr<Endpoint::Stub> stub;
    };

    std::map<WorkerId, Peer> m_peers;
};

} // namespace turmericpier::rpc
