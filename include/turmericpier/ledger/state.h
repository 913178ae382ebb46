#pragma once

#include "turmericpier/base/ids.h"

#include <absl/status/status.h>
#include <filesystem>
#include <memory>
#include <optional>
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

/// All replicas of a ledger need the same numbers, because what they apply depends on them.
struct LedgerOptions {
    /// Folder of this ledger alone for the segments of older outcomes; if empty, all outcomes stay in memory.
    std::filesystem::path folder;
    size_t recordsPerSegment = 4'096;
    size_t segmentsInMemory = 16;
    /// With a folder, the newest outcomes whose keys are recognised. A resend that comes later is taken for a new
    /// request. With 1.6 million the ledger was measured to hold 29 MB, with 1.7 million 40 MB: the index doubles.
    size_t maxDigests = 1'600'000;
};

/// Older outcomes are moved to segment files, which a snapshot names but does not contain. A replica that installed the
/// snapshot of another one reads the outcomes that it lacks from there:
///
///     while (auto after = state.missingAfter())
///         status = state.fillMissing(readFromLeader(*after));
class LedgerState {
public:
    explicit LedgerState(LedgerOptions options = {});
    ~LedgerState();

    /// Applies one batch at its log index; results are in the order of the items. Applying the same item twice changes
    /// nothing: the second result names the standing claim or outcome.
    log::LedgerResults apply(Index index, const log::LedgerBatch& batch);
    /// The standing outcome or claim of a key; UNSPECIFIED if there is none. Of an outcome whose segment is missing,
    /// only the key and the outcome are set, as in results of apply() that name an outcome in a segment file.
    log::LedgerResult find(const std::string& key) const;
    /// Up to `limit` outcomes with a log index above `after`, in log order; `partner` empty for all. Outcomes of one
    /// index come together, so that reading on after the last index misses none; if the first index alone has more
    /// than `limit`, all of its outcomes are returned. Ends before a segment that is missing here: while missingAfter()
    /// names one, the end of the outcomes is not the end of the ledger.
    log::LedgerResults outcomesAfter(Index after, const std::string& partner, size_t limit) const;
    /// Claims without an outcome.
    log::LedgerResults openClaims(size_t limit) const;

    /// Where to read outcomes from another replica, as the argument of its outcomesAfter() without a partner; nothing
    /// if none is missing here.
    std::optional<Index> missingAfter() const;
    /// Takes a page that was read after missingAfter(). Fails if it does not match the checksum in the snapshot.
    absl::Status fillMissing(const log::LedgerResults& page);

    std::string snapshot() const;
    absl::Status restore(std::string_view data);
    std::string dump() const; ///< Counts as a JSON object.

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
