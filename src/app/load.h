#pragma once

#include "caller.grpc.pb.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <vector>

/// Load generator: callers send service requests and resend those whose outcome is unknown.
namespace turmericpier::app {

/// Options of one load.
struct LoadOptions {
    std::vector<std::string> entries;
    std::string partner;
    std::string service;
    std::string region;
    uint32_t count = 0; ///< Number of requests.
    uint32_t nonRepeatableEvery = 0; ///< Every n-th request is non-repeatable; 0 for none.
    uint32_t callers = 16; ///< Number of concurrent callers.
    uint32_t ratePerSecond = 0; ///< 0 for no limit.
    std::chrono::milliseconds deadline { 10'000 }; ///< Deadline of one attempt.
    std::chrono::milliseconds giveUpAfter { 60'000 }; ///< Time after which a request is no longer resent.
    std::string recordFile; ///< File for the ledger of the callers; empty for none.
    std::string idPrefix; ///< Prefix of the request ids, before the number of the request.
};

/// Result of one load: numbers of requests by outcome, and latencies that include resends.
struct LoadResult {
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t resent = 0; ///< Number of resends.
    uint64_t wrongAnswers = 0; ///< Answers that are truncated or belong to another request.
    double seconds = 0; ///< Duration of the load.
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
};

/// Sends the request, and resends it with the same id through the next entry until the outcome is known or
/// `giveUpAfter` has passed.
absl::StatusOr<rpc::CallReply> callWithResends(
    rpc::CallRequest request, const std::vector<std::string>& entries, std::chrono::milliseconds giveUpAfter);
/// Runs a load until every request has ended, then writes the record file. Fails if the file cannot be written.
absl::StatusOr<LoadResult> runLoad(const LoadOptions& options);
std::string toJson(const LoadResult& result);

} // namespace turmericpier::app
