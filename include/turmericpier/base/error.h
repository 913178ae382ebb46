#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

/// Errors that carry the outcome, the step and the peer at which they arose:
///
///     absl::Status status = makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "QUEUE_FULL", "admit", "e1"
///     },
///         "queue of service till is full: 1024 requests");
///     detailsOf(status).step; // "admit"
namespace turmericpier {

/// What is proved about a request or task when a call fails.
enum class Outcome {
    Unknown = 0, ///< It may or may not have run.
    NotRun = 1, ///< Proved: it was not run and will not be.
    Ran = 2, ///< It ran.
};

/// Where and why an error arose.
struct ErrorDetails {
    absl::StatusCode code = absl::StatusCode::kUnknown;
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Upper snake case, for example QUEUE_FULL.
    std::string step; ///< For example "dispatch".
    std::string peer; ///< An instance or worker id, or a file.
};

/// Returns a status with the details attached.
absl::Status makeError(const ErrorDetails& details, std::string_view message);

/// Returns the details attached to `status`; without any, only the code is set.
ErrorDetails detailsOf(const absl::Status& status);

/// Returns NOT_RUN, RAN or UNKNOWN.
std::string_view toString(Outcome outcome);

} // namespace turmericpier
