#include "rpc/status.h"

#include "common.pb.h"
#include "turmericpier/base/error.h"

namespace turmericpier::rpc {

grpc::Status toGrpc(const absl::Status& status)
{
    if (status.ok())
        return grpc::Status::OK;
    const auto details = detailsOf(status);
    Failure failure;
    failure.set_outcome(static_cast<rpc::Outcome>(details.outcome));
    failure.set_reason(details.reason);
    failure.set_step(details.step);
    failure.set_peer(details.peer);
    failure.set_message(std::string(status.message()));
    // The status codes of gRPC and absl have the same numbers.
    return { static_cast<grpc::StatusCode>(status.code()), failure.message(), failure.SerializeAsString() };
}

absl::Status fromGrpc(const grpc::Status& status, const std::string& step, const std::string& peer)
{
    if (status.ok())
        return absl::OkStatus();
    const auto code = static_cast<absl::StatusCode>(status.error_code());
    Failure failure;
    if (!status.error_details().empty() && failure.ParseFromString(status.error_details()))
        return makeError({ code, static_cast<turmericpier::Outcome>(failure.outcome()), failure.reason(),
                             failure.step(), failure.peer() },
            failure.message());
    return makeError({ code, turmericpier::Outcome::Unknown, "CONNECTION_FAILED", step, peer }, status.error_message());
}

} // namespace turmericpier::rpc
