#pragma once

#include <absl/status/status.h>
#include <grpcpp/support/status.h>

/// Errors on the gRPC interfaces: the status details carry a serialized rpc::Failure.
namespace turmericpier::rpc {

grpc::Status toGrpc(const absl::Status& status);
/// Errors without a Failure, such as a broken connection, have an unknown outcome and name `step` and `peer`.
absl::Status fromGrpc(const grpc::Status& status, const std::string& step, const std::string& peer);

} // namespace turmericpier::rpc
