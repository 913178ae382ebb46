#pragma once

#include "operator.pb.h"
#include "turmericpier/base/ids.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// Compact storage of ledger records in memory.
namespace turmericpier::ledger::detail {

/// Numbers for strings that recur in many records, such as partners and workers.
class Interner {
public:
    uint32_t numberOf(const std::string& text);
    const std::string& textOf(uint32_t number) const { return *m_texts[number]; }
    size_t size() const { return m_texts.size(); }

private:
    absl::flat_hash_map<std::string, uint32_t> m_numbers;
    std::vector<const std::string*> m_texts; ///< Into a deque, whose elements do not move.
    std::deque<std::string> m_storage;
};

/// Digest of a request key. Two keys are taken for the same request if their digests are equal: with 4 million records
/// the chance that a new request meets a foreign digest is 4e6 / 2^64.
uint64_t digestOf(const std::string& partner, const std::string& homeRegion, const std::string& requestId);

/// Records in log order, numbered from 0, found by digest or log index.
class RecordStore {
public:
    RecordStore();
    RecordStore(const RecordStore&) = delete; ///< The index refers to members.
    RecordStore& operator=(const RecordStore&) = delete;

    /// Adds a record, whose index must not be below that of the last one and whose digest must be new.
    void append(uint64_t digest, const rpc::LedgerRecord& record);
    std::optional<size_t> find(uint64_t digest) const;
    rpc::LedgerRecord at(size_t number) const;
    /// Number of the first record with an index above `index`.
    size_t firstAfter(Index index) const;
    size_t size() const { return m_digests.size(); }

private:
    /// A run of records, so that no buffer grows without limit.
    struct Block {
        uint64_t firstIndex = 0;
        std::string bytes;
        std::vector<uint32_t> ends; ///< Of each record in `bytes`.
    };

    struct HashByDigest {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        const std::deque<uint64_t>* digests = nullptr;
        size_t operator()(uint32_t number) const { return (*digests)[number]; }
        size_t operator()(uint64_t digest) const { return digest; }
    };
    struct EqualByDigest {
        using is_transparent = void; // NOLINT(readability-identifier-naming)
        const std::deque<uint64_t>* digests = nullptr;
        bool operator()(uint32_t a, uint32_t b) const { return a == b; }
        bool operator()(uint32_t number, uint64_t digest) const { return (*digests)[number] == digest; }
    };

    uint64_t indexAt(size_t number) const;

    std::deque<uint64_t> m_digests; ///< By record number.
    /// Record numbers, hashed by their digests: a third of the size of a map from digest to number.
    absl::flat_hash_set<uint32_t, HashByDigest, EqualByDigest> m_byDigest;
    std::deque<Block> m_blocks;
    Interner m_names; ///< Partners, regions, services, workers and reasons.
};

} // namespace turmericpier::ledger::detail
