#pragma once

#include "caller.grpc.pb.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <vector>

/// Load of service requests from callers that resend what was not answered.
namespace turmericpier::app {

struct LoadOptions {
    std::vector<std::string> entries;
    std::string partner;
    std::string service;
    std::string region;
    uint32_t count = 0;
    uint32_t nonRepeatableEvery = 0;
    uint32_t callers = 16;
    uint32_t ratePerSecond = 0; ///< 0 for no limit.
    std::chrono::milliseconds deadline { 10'000 };
    std::chrono::milliseconds giveUp { 60'000 };
    std::string recordFile;
    std::string idPrefix;
};

struct LoadResult {
    uint64_t answered = 0;
    uint64_t notRun = 0;
    uint64_t unknown = 0;
    uint64_t resent = 0;
    uint64_t wrongAnswers = 0; ///< Answers that belong to another request, or are cut.
    double seconds = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double maxMs = 0;
};

/// Sends the request, and again with the same id through the next entry, until the outcome is known or `giveUp` has
/// passed.
absl::StatusOr<rpc::CallReply> callWithResends(
    rpc::CallRequest request, const std::vector<std::string>& entries, std::chrono::milliseconds giveUp);
absl::StatusOr<LoadResult> runLoad(const LoadOptions& options);
std::string toJson(const LoadResult& result);

} // namespace turmericpier::app
