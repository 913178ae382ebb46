#pragma once

#include "ledger/segment-files.h"
#include "log.pb.h"
#include "turmericpier/base/ids.h"
#include "turmericpier/ledger/state.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Implements the compact storage of ledger records.
namespace turmericpier::ledger::detail {

/// Assigns numbers to strings that occur in many records, such as partners and workers.
class Interner {
public:
    /// Returns the number of a text and assigns one if it is new.
    uint32_t intern(const std::string& text);
    const std::string& textOf(uint32_t number) const { return *m_texts[number]; }

private:
    absl::flat_hash_map<std::string, uint32_t> m_numbers;
    std::vector<const std::string*> m_texts; ///< By number. Points into a deque, whose elements do not move.
    std::deque<std::string> m_storage;
};

/// Returns the digest of a request key; its two low bits are 0. Keys with equal digests are treated as the same
/// request: with 1.6 million records, the probability that a new request collides with a recorded one is 1.6e6 / 2^62.
uint64_t digestOf(const std::string& partner, const std::string& homeRegion, const std::string& requestId);

/// Stores records in log order, numbered from 0, and finds them by digest or log index. Records are grouped into
/// segments; older segments are moved to files if the options name a folder. The result of find() depends on the log
/// only and not on the files, because replicas must agree on it.
class RecordStore {
public:
    explicit RecordStore(LedgerOptions options);
    RecordStore(const RecordStore&) = delete; ///< m_byDigest points to m_digests.
    RecordStore& operator=(const RecordStore&) = delete;

    /// Adds a record. Its index must not be below that of the last record, and its digest must be new.
    void append(uint64_t digest, const rpc::LedgerRecord& record);
    /// Moves segments beyond the limit in memory to files. Call it after all records of an index were added.
    void seal();

    /// Returns the number of the record with this digest, unless there is none or its digest was dropped.
    std::optional<uint64_t> find(uint64_t digest) const;
    /// Returns the outcome of a record, whose digest must not have been dropped.
    rpc::Outcome outcomeOf(uint64_t number) const;
    bool isInMemory(uint64_t number) const;
    /// Returns a record that is in memory.
    rpc::LedgerRecord at(uint64_t number) const;
    /// Returns a record from memory or a file, or nothing if the file is missing or damaged.
    std::optional<rpc::LedgerRecord> load(uint64_t number) const;
    /// Visits records with an index above `index` in log order until `visit` returns false or a segment is missing.
    void visitAfter(Index index, const std::function<bool(const rpc::LedgerRecord&)>& visit) const;

    uint64_t size() const { return m_size; }
    size_t sealedSegments() const { return m_sealed; }
    size_t missingSegments() const;
    size_t digests() const { return m_digests.values.size(); }

    /// Add the records, segments and digests to a snapshot, and read them from one into an empty store.
    void writeTo(log::LedgerSnapshot& snapshot) const;
    absl::Status readFrom(const log::LedgerSnapshot& snapshot);

    /// Implement the functions of LedgerState with the same names.
    std::optional<Index> missingAfter() const;
    absl::Status backfill(const log::LedgerResults& page);

private:
    /// A range of successive records, in memory or sealed, that is, moved to a file.
    struct Segment {
        uint64_t firstNumber = 0; ///< Number of the first record.
        log::LedgerSegment metadata; ///< The checksum is set when the segment is sealed.
        std::string bytes; ///< Encoded records; empty once the segment is sealed.
        std::vector<uint32_t> ends; ///< End offset of each record in `bytes`; empty once the segment is sealed.
        mutable bool isMissing = false; ///< Sealed, but its file is missing or damaged.
    };

    /// Digests of the newest records, with the outcomes in the two low bits.
    struct Digests {
        std::deque<uint64_t> values;
        uint64_t first = 0; ///< Number of the record of the first digest.

        /// Returns the digest of a record by the low 32 bits of its number, which are unique among the digests held.
        uint64_t at(uint32_t lowBits) const { return values[lowBits - static_cast<uint32_t>(first)]; }
    };
    struct HashByDigest {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        const Digests* digests = nullptr;
        size_t operator()(uint32_t number) const { return digests->at(number) >> 2U; }
        size_t operator()(uint64_t digest) const { return digest >> 2U; }
    };
    struct EqualByDigest {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        const Digests* digests = nullptr;
        bool operator()(uint32_t a, uint32_t b) const { return a == b; }
        bool operator()(uint32_t number, uint64_t digest) const { return digests->at(number) >> 2U == digest >> 2U; }
    };

    void addDigest(uint64_t digestWithOutcome);
    Segment& segmentFor(uint64_t index);
    const Segment& segmentOf(uint64_t number) const;
    rpc::LedgerRecord decode(const Segment& segment, size_t position) const;
    log::LedgerSnapshot recordsOf(const Segment& segment) const;
    const log::LedgerSnapshot* loadSegment(const Segment& segment) const;
    const Segment* firstMissing() const;
    absl::Status writeBackfilled(const Segment& segment);

    const LedgerOptions m_options;
    SegmentFiles m_files;
    std::deque<Segment> m_segments;
    size_t m_sealed = 0; ///< Number of sealed segments, which come first.
    /// Number of segments when sealing last failed; sealing is retried once there is another one.
    size_t m_segmentsAtFailedSeal = 0;
    uint64_t m_size = 0;
    Digests m_digests;
    /// Low 32 bits of record numbers, hashed by digest. Takes a third of the memory of a map from digest to number.
    absl::flat_hash_set<uint32_t, HashByDigest, EqualByDigest> m_byDigest;
    Interner m_names; ///< Partners, regions, services, workers and reasons.
    mutable uint64_t m_loadedFirstIndex = 0; ///< First index of the segment in m_loaded; 0 if there is none.
    mutable log::LedgerSnapshot m_loaded; ///< Cache of the segment read last.
    log::LedgerSnapshot m_backfill; ///< Records of the first missing segment received so far.
};

} // namespace turmericpier::ledger::detail
