#include "turmericpier/http/memory-budget.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::http {

namespace {
    /// Shares in percent of the memory.
    struct Shares {
        size_t requests;
        size_t answers;
        size_t peers;
        size_t document;
        size_t state;
    };
    // A heartbeat may have 4 MiB, and at most half of a share is given to one address.
    constexpr Shares controlShares { 10, 8, 12, 10, 30 };
    // An entry holds the requests of all callers of its zone, and no state.
    constexpr Shares entryShares { 25, 8, 15, 12, 0 };
} // namespace

absl::StatusOr<MemoryBudget> divideMemory(size_t bytes, ConnectionUse use)
{
    if (bytes < minMemory) {
        return makeError({ absl::StatusCode::kInvalidArgument, Outcome::NotRun, "TOO_LITTLE_MEMORY", "start", "" },
            absl::StrCat("the limit of ", bytes, " bytes of memory is too low; needed: ", minMemory));
    }
    const auto& shares = use == ConnectionUse::Control ? controlShares : entryShares;
    const auto part = [bytes](size_t percent) { return bytes / 100 * percent; };
    return MemoryBudget { .requests = part(shares.requests),
        .answers = part(shares.answers),
        .peers = part(shares.peers),
        .document = part(shares.document),
        .state = part(shares.state) };
}

} // namespace turmericpier::http
