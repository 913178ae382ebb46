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

/// Holds the replicated state of the ledger of one region: claims of non-repeatable requests, and one outcome for each
/// request.
namespace turmericpier::ledger {

/// Returns the key of a request: partner, home region and request id, joined by '/'. The first two must not contain
/// '/'.
std::string requestKey(const std::string& partner, const std::string& homeRegion, const std::string& requestId);

/// Options of a ledger. The numbers must be equal on all replicas, because the result of applying an entry depends on
/// them.
struct LedgerOptions {
    /// Folder for the segment files of older outcomes, used by this ledger only. If empty, all outcomes stay in memory.
    std::filesystem::path folder;
    size_t recordsPerSegment = 4'096;
    size_t segmentsInMemory = 16;
    /// Maximum number of key digests kept, those of the newest outcomes; applies only with a folder. A request that is
    /// resent after its digest was dropped is treated as new. The ledger takes 29 MB with 1.6 million digests and 40 MB
    /// with 1.7 million, because the hash table doubles its capacity in between.
    size_t maxDigests = 1'600'000;
};

/// State machine of a ledger. Older outcomes are moved to segment files, which a snapshot refers to but does not
/// contain. A replica that installed the snapshot of another one reads the missing outcomes from there:
///
///     while (auto after = state.missingAfter())
///         status = state.backfill(readFromLeader(*after));
class LedgerState {
public:
    explicit LedgerState(LedgerOptions options = {});
    ~LedgerState();

    /// Applies the batch at a log index and returns the results in the order of the items. Items are idempotent:
    /// applying one again changes nothing and returns the recorded claim or outcome.
    log::LedgerResults apply(Index index, const log::LedgerBatch& batch);
    /// Returns the recorded outcome or claim of a key, or UNSPECIFIED if there is none. If the segment of an outcome is
    /// missing, only the key and the outcome are set, as in results of apply() for an outcome in a segment file.
    log::LedgerResult find(const std::string& key) const;
    /// Returns up to `limit` outcomes with a log index above `after`, in log order; an empty `partner` selects all.
    /// Outcomes of one index are never split across pages, so the last index of a page is the position of the next
    /// one; if the first index alone has more than `limit` outcomes, all of them are returned. The result ends before
    /// the first missing segment: while missingAfter() returns a value, an empty page does not mean the end of the
    /// ledger.
    log::LedgerResults outcomesAfter(Index after, const std::string& partner, size_t limit) const;
    /// Returns the first `limit` claims without an outcome, ordered by key.
    log::LedgerResults openClaims(size_t limit) const;

    /// Returns the index to pass to outcomesAfter() of another replica, with an empty partner, to read the next missing
    /// outcomes. Returns nothing if none is missing.
    std::optional<Index> missingAfter() const;
    /// Stores a page of outcomes that follows missingAfter(). Fails if the records of a segment do not match the
    /// checksum in the snapshot, or if the segment file cannot be written.
    absl::Status backfill(const log::LedgerResults& page);

    /// Serializes the claims, the outcomes in memory, and the descriptions and digests of those in segment files.
    std::string snapshot() const;
    /// Replaces the state by that of a snapshot. Fails and leaves the state unchanged if the snapshot is malformed.
    absl::Status restore(std::string_view data);
    /// Returns the numbers of claims, outcomes, digests and segments as a JSON object.
    std::string dump() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::ledger
