#pragma once

#include "peer_generated.h"
#include "turmericpier/base/ids.h"

#include <absl/status/status.h>

/// Errors on the wire between processes.
namespace turmericpier::peer {

/// An envelope that answers `request` with the error.
wire::EnvelopeT refusalOf(const wire::EnvelopeT& request, const absl::Status& status, const InstanceId& leaderHint);

/// The error that a refusal carries.
absl::Status statusOf(const wire::RefusalT& refusal);

/// An envelope with the body, as the answer to `request`.
template <typename Body> wire::EnvelopeT replyTo(const wire::EnvelopeT& request, Body body)
{
    wire::EnvelopeT reply;
    reply.correlation = request.correlation;
    reply.body.Set(std::move(body));
    return reply;
}

} // namespace turmericpier::peer
