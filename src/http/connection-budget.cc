#include "turmericpier/http/connection-budget.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::http {

namespace {
    // The platform withholds 200 descriptors for files outside the data folder. Log segments, a snapshot, listening
    // sockets, probes and the descriptors of the event loops need far less than the rest.
    constexpr size_t withheld = 264;

    /// Shares in percent of the descriptors that are not withheld.
    struct Shares {
        size_t served;
        size_t outgoing;
        size_t peersIn;
        size_t peersOut;
    };
    // A leading control process keeps a poll open at each worker and sends orders beside it, and each worker keeps one
    // connection for its heartbeats.
    constexpr Shares controlShares { 34, 46, 10, 10 };
    // An entry calls only the advisor, and only control processes call an entry.
    constexpr Shares entryShares { 70, 10, 10, 10 };
} // namespace

absl::StatusOr<ConnectionBudget> divideDescriptors(size_t descriptors, ConnectionUse use)
{
    if (descriptors < minDescriptors) {
        return makeError({ absl::StatusCode::kInvalidArgument, Outcome::NotRun, "TOO_FEW_DESCRIPTORS", "start", "" },
            absl::StrCat("the limit of ", descriptors, " descriptors is too low; needed: ", minDescriptors));
    }
    const auto& shares = use == ConnectionUse::Control ? controlShares : entryShares;
    const auto available = descriptors - withheld;
    const auto part = [available](size_t percent) { return available * percent / 100; };
    return ConnectionBudget { .served = part(shares.served),
        .outgoing = part(shares.outgoing),
        .peersIn = part(shares.peersIn),
        .peersOut = part(shares.peersOut) };
}

} // namespace turmericpier::http
