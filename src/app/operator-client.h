#pragma once

#include "operator.grpc.pb.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// Client of the operator service, which calls the entries that --entries names.
namespace turmericpier::app {

std::vector<std::string> entryAddresses();
absl::Status noEntriesError(); ///< Returns the error for an empty --entries.
std::string newRequestId(); ///< Returns a random UUID.

/// Sends the command to the entries in turn, with the same request id, until one is available.
absl::StatusOr<rpc::OperateReply> operate(rpc::OperateRequest request);
/// Returns the reply to `request` as a JSON document.
absl::StatusOr<std::string> read(const rpc::ReadRequest& request);
/// Returns the records of the region's ledger, only those of `partner` unless it is empty.
absl::StatusOr<std::vector<rpc::LedgerRecord>> exportLedger(const std::string& region, const std::string& partner);

} // namespace turmericpier::app
