#pragma once

#include "peer_generated.h"
#include "turmericpier/base/ids.h"

#include <absl/status/status.h>

/// Transfer of errors between processes.
namespace turmericpier::peer {

/// Returns a reply to `request` that carries an error. The hint is empty if the leader is unknown.
wire::EnvelopeT refusalOf(const wire::EnvelopeT& request, const absl::Status& status, const InstanceId& leaderHint);

/// Returns the error that a refusal carries.
absl::Status statusOf(const wire::RefusalT& refusal);

/// Returns a reply to `request` with the given body.
template <typename Body> wire::EnvelopeT replyTo(const wire::EnvelopeT& request, Body body)
{
    wire::EnvelopeT reply;
    reply.correlation = request.correlation;
    reply.body.Set(std::move(body));
    return reply;
}

} // namespace turmericpier::peer
