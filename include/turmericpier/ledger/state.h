#pragma once

#include "turmericpier/base/ids.h"

#include <absl/status/status.h>
#include <memory>
#include <string>

namespace turmericpier::log {
class LedgerBatch;
class LedgerResult;
class LedgerResults;
}

/// Replicated state of one region's ledger: claims of non-repeatable requests, and one outcome for each request.
namespace turmericpier::ledger {

/// The key of a request: partner, home region and request id, joined by '/'. The first two must not contain '/'.
std::string requestKey(const std::string& partner, const std::string& homeRegion, const std::string& requestId);

class LedgerState {
public:
    LedgerState();
    ~LedgerState();

    /// Applies one batch at its log index; results are in the order of the items. Applying the same item twice changes
    /// nothing: the second result names the standing claim or outcome.
    log::LedgerResults apply(Index index, const log::LedgerBatch& batch);
    /// The standing outcome or claim of a key; UNSPECIFIED if there is none.
    log::LedgerResult find(const std::string& key) const;
    /// Up to `limit` outcomes with a log index above `after`, in log order; `partner` empty for all. Outcomes of one
    /// index come together, so that reading on after the last index misses none; if the first index alone has more
    /// than `limit`, all of its outcomes are returned.
    log::LedgerResults outcomesAfter(Index after, const std::string& partner, size_t limit) const;
    /// Claims without an outcome.
    log::LedgerResults openClaims(size_t limit) const;

    std::string snapshot() const;
    absl::Status restore(std::string_view data);
    std::string dump() const; ///< Counts as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
