#pragma once

#include <absl/status/status.h>
#include <string>
#include <string_view>

/// Errors as absl::Status with attached details, such as the outcome, the failed step and the peer involved:
///
///     absl::Status status = makeError(
///         { absl::StatusCode::kUnavailable, Outcome::NotRun, "QUEUE_FULL", "admit", "e1" },
///         "queue of service till is full: 1024 requests");
///     detailsOf(status).step; // "admit"
namespace turmericpier {

/// Whether a request or task is known to have run.
enum class Outcome {
    Unknown = 0, ///< It may or may not have run.
    NotRun = 1, ///< It is certain that it has not run and will not run.
    Ran = 2, ///< It has run.
};

/// Where and why an error occurred.
struct ErrorDetails {
    absl::StatusCode code = absl::StatusCode::kUnknown;
    Outcome outcome = Outcome::Unknown;
    std::string reason; ///< Stable code in upper snake case, for example QUEUE_FULL.
    std::string step; ///< Operation that failed, for example "dispatch".
    std::string peer; ///< Id of the instance or worker, or path of the file, that was involved.
};

/// Returns an error status with code `details.code`, the given message and the details attached.
absl::Status makeError(const ErrorDetails& details, std::string_view message);

/// Returns the details attached to `status`. If it has none, only the code is set and the outcome is Unknown.
ErrorDetails detailsOf(const absl::Status& status);

/// Returns the name of the outcome: NOT_RUN, RAN or UNKNOWN.
std::string_view toString(Outcome outcome);

} // namespace turmericpier
