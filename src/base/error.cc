#include "turmericpier/base/error.h"

#include <absl/strings/cord.h>
#include <boost/json.hpp>

namespace turmericpier {

namespace {
    constexpr std::string_view payloadUrl = "turmericpier/error-details";

    std::string stringOrEmpty(const boost::json::object& object, std::string_view key)
    {
        const auto* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }
} // namespace

absl::Status makeError(const ErrorDetails& details, std::string_view message)
{
    absl::Status status(details.code, absl::string_view(message.data(), message.size()));
    boost::json::object payload {
        { "outcome", static_cast<int>(details.outcome) },
        { "reason", details.reason },
        { "step", details.step },
        { "peer", details.peer },
    };
    status.SetPayload(payloadUrl.data(), absl::Cord(boost::json::serialize(payload)));
    return status;
}

ErrorDetails detailsOf(const absl::Status& status)
{
    ErrorDetails details { .code = status.code() };
    const auto payload = status.GetPayload(payloadUrl.data());
    if (!payload)
        return details;
    const auto object = boost::json::parse(std::string(*payload)).as_object();
    details.outcome = static_cast<Outcome>(object.at("outcome").as_int64());
    details.reason = stringOrEmpty(object, "reason");
    details.step = stringOrEmpty(object, "step");
    details.peer = stringOrEmpty(object, "peer");
    return details;
}

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "NOT_RUN";
    case Outcome::Ran:
        return "RAN";
    case Outcome::Unknown:
        break;
    }
    return "UNKNOWN";
}

} // namespace turmericpier
