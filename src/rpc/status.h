#pragma once

#include <absl/status/status.h>
#include <grpcpp/support/status.h>

namespace turmericpier::rpc {

/// Converts an error to a gRPC status whose details carry a serialized rpc::Failure.
grpc::Status toGrpc(const absl::Status& status);
/// Converts a gRPC status to an error. A status without a Failure, such as that of a broken connection, becomes
/// CONNECTION_FAILED with an unknown outcome and the given `step` and `peer`.
absl::Status fromGrpc(const grpc::Status& status, const std::string& step, const std::string& peer);

} // namespace turmericpier::rpc
