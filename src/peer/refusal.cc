#include "peer/refusal.h"

#include "turmericpier/base/error.h"

namespace turmericpier::peer {

wire::EnvelopeT refusalOf(const wire::EnvelopeT& request, const absl::Status& status, const InstanceId& leaderHint)
{
    const auto details = detailsOf(status);
    wire::RefusalT refusal;
    refusal.code = static_cast<int>(status.code());
    refusal.outcome = static_cast<int>(details.outcome);
    refusal.reason = details.reason;
    refusal.step = details.step;
    refusal.peer = details.peer;
    refusal.message = std::string(status.message());
    refusal.leader_hint = leaderHint.str();
    return replyTo(request, std::move(refusal));
}

absl::Status statusOf(const wire::RefusalT& refusal)
{
    const auto outcome = refusal.outcome == static_cast<int>(Outcome::NotRun) ? Outcome::NotRun
        : refusal.outcome == static_cast<int>(Outcome::Ran)                   ? Outcome::Ran
                                                                              : Outcome::Unknown;
    return makeError(
        { static_cast<absl::StatusCode>(refusal.code), outcome, refusal.reason, refusal.step, refusal.peer },
        refusal.message);
}

} // namespace turmericpier::peer
