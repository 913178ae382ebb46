#pragma once

#include "operator.grpc.pb.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// Calls of the command line to the entries named by --entries.
namespace turmericpier::app {

std::vector<std::string> entryAddresses();
absl::Status noEntries(); ///< The error for an empty --entries.
std::string newRequestId();

/// Sends the command to one entry after the other with the same request id until one answers.
absl::StatusOr<rpc::OperateReply> operate(rpc::OperateRequest request);
absl::StatusOr<std::string> read(const rpc::ReadRequest& request);
absl::StatusOr<std::vector<rpc::LedgerRecord>> exportLedger(const std::string& region, const std::string& partner);

} // namespace turmericpier::app
