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

/// Compact storage of ledger records.
namespace turmericpier::ledger::detail {

/// Numbers for strings that recur in many records, such as partners and workers.
class Interner {
public:
    uint32_t numberOf(const std::string& text);
    const std::string& textOf(uint32_t number) const { return *m_texts[number]; }

private:
    absl::flat_hash_map<std::string, uint32_t> m_numbers;
    std::vector<const std::string*> m_texts; ///< Into a deque, whose elements do not move.
    std::deque<std::string> m_storage;
};

/// Digest of a request key; the two low bits are 0. Two keys are taken for the same request if their digests are equal:
/// with 1.6 million records the chance that a new request meets a foreign digest is 1.6e6 / 2^62.
uint64_t digestOf(const std::string& partner, const std::string& homeRegion, const std::string& requestId);

/// Records in log order, numbered from 0, found by digest or log index. They are kept in segments, the older of which
/// are moved to files if the options name a folder. What `find` returns follows from the log alone, never from the
/// files, because replicas have to agree on it.
class RecordStore {
public:
    explicit RecordStore(LedgerOptions options);
    RecordStore(const RecordStore&) = delete; ///< The index refers to members.
    RecordStore& operator=(const RecordStore&) = delete;

    /// Adds a record, whose index must not be below that of the last one and whose digest must be new.
    void append(uint64_t digest, const rpc::LedgerRecord& record);
    /// Moves segments that no longer fit into memory to files. To be called after all records of an index.
    void seal();

    std::optional<uint64_t> find(uint64_t digest) const;
    rpc::Outcome outcomeOf(uint64_t number) const;
    bool isInMemory(uint64_t number) const;
    rpc::LedgerRecord at(uint64_t number) const; ///< In memory only.
    std::optional<rpc::LedgerRecord> load(uint64_t number) const; ///< Also from a file; nothing if that is missing.
    /// Visits records with an index above `index` until `visit` returns false, or a segment is missing.
    void visitAfter(Index index, const std::function<bool(const rpc::LedgerRecord&)>& visit) const;

    uint64_t size() const { return m_size; }
    size_t sealedSegments() const { return m_sealed; }
    size_t missingSegments() const;
    size_t digests() const { return m_digests.values.size(); }

    void writeTo(log::LedgerSnapshot& snapshot) const;
    absl::Status readFrom(const log::LedgerSnapshot& snapshot);

    std::optional<Index> missingAfter() const;
    absl::Status fillMissing(const log::LedgerResults& page);

private:
    struct Segment {
        uint64_t firstNumber = 0;
        log::LedgerSegment facts; ///< The checksum is set once the segment is sealed.
        std::string bytes; ///< Of the records, until they are sealed.
        std::vector<uint32_t> ends; ///< Of each record in `bytes`.
        mutable bool isMissing = false; ///< Sealed, but its file is missing or damaged.
    };

    /// Digests of the newest records, with the outcome in the two low bits.
    struct Digests {
        std::deque<uint64_t> values;
        uint64_t first = 0; ///< Number of the first record.

        /// Numbers are kept with 32 bits, which suffice within the digests held.
        uint64_t at(uint32_t low) const { return values[low - static_cast<uint32_t>(first)]; }
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
    rpc::LedgerRecord decode(const Segment& segment, size_t place) const;
    log::LedgerSnapshot recordsOf(const Segment& segment) const;
    const log::LedgerSnapshot* loadSegment(const Segment& segment) const;
    const Segment* firstMissing() const;
    absl::Status writeFilled(const Segment& segment);

    const LedgerOptions m_options;
    SegmentFiles m_files;
    std::deque<Segment> m_segments;
    size_t m_sealed = 0; ///< Segments in files, from the front.
    size_t m_sealTried = 0; ///< Segments when sealing failed last; it is tried again with the next one.
    uint64_t m_size = 0;
    Digests m_digests;
    /// Record numbers, hashed by their digests: a third of the size of a map from digest to number.
    absl::flat_hash_set<uint32_t, HashByDigest, EqualByDigest> m_byDigest;
    Interner m_names; ///< Partners, regions, services, workers and reasons.
    mutable uint64_t m_loadedFirstIndex = 0; ///< Of the segment below; 0 for none.
    mutable log::LedgerSnapshot m_loaded; ///< The segment that was read last.
    log::LedgerSnapshot m_filling; ///< Records of the first missing segment, as far as they were received.
};

} // namespace turmericpier::ledger::detail
