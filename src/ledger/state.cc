#include "turmericpier/ledger/state.h"

#include "ledger/record-store.h"
#include "log.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <optional>
#include <vector>

namespace turmericpier::ledger {

using log::Claim;
using log::LedgerResult;
using log::LedgerResults;
using rpc::LedgerRecord;

std::string requestKey(const std::string& partner, const std::string& homeRegion, const std::string& requestId)
{
    return absl::StrCat(partner, "/", homeRegion, "/", requestId);
}

namespace {
    /// Partner, home region and request id.
    using KeyParts = std::array<std::string, 3>;

    KeyParts partsOf(const std::string& key)
    {
        const std::vector<std::string> parts = absl::StrSplit(key, absl::MaxSplits('/', 2));
        KeyParts result;
        std::copy(parts.begin(), parts.end(), result.begin());
        return result;
    }

    KeyParts partsOf(const LedgerRecord& record)
    {
        return { record.partner(), record.home_region(), record.request_id() };
    }

    uint64_t digestOf(const KeyParts& parts) { return detail::digestOf(parts[0], parts[1], parts[2]); }

    bool isSame(const LedgerRecord& a, const LedgerRecord& b)
    {
        return a.outcome() == b.outcome() && a.service() == b.service() && a.reason() == b.reason()
            && a.worker() == b.worker() && a.attempts() == b.attempts() && a.job() == b.job();
    }

    LedgerResult resultOf(LedgerResult::Code code, const Claim& claim)
    {
        LedgerResult result;
        result.set_code(code);
        *result.mutable_claim() = claim;
        return result;
    }

    LedgerResult resultOf(LedgerResult::Code code, const LedgerRecord& record)
    {
        LedgerResult result;
        result.set_code(code);
        *result.mutable_outcome() = record;
        return result;
    }
} // namespace

struct LedgerState::Impl {
    /// A claim without its key, with strings replaced by their numbers in `names`.
    struct CompactClaim {
        uint32_t entry = 0;
        uint32_t worker = 0;
        uint32_t service = 0;
        uint32_t attempt = 0;
        uint64_t incarnation = 0;
        uint64_t workerIncarnation = 0;

        friend bool operator==(const CompactClaim&, const CompactClaim&) = default;
    };
    using Claims = absl::flat_hash_map<std::string, CompactClaim>;

    explicit Impl(LedgerOptions given)
        : options(std::move(given))
        , outcomes(options)
    {
    }

    const LedgerOptions options;
    Claims claims; ///< Claims without an outcome, by key.
    detail::Interner names; ///< Entries, workers and services of the claims.
    detail::RecordStore outcomes;

    CompactClaim compact(const Claim& claim)
    {
        return { names.intern(claim.entry()), names.intern(claim.worker()), names.intern(claim.service()),
            claim.attempt(), claim.incarnation(), claim.worker_incarnation() };
    }

    Claim expand(const Claims::value_type& stored) const
    {
        Claim claim;
        claim.set_key(stored.first);
        claim.set_entry(names.textOf(stored.second.entry));
        claim.set_incarnation(stored.second.incarnation);
        claim.set_worker(names.textOf(stored.second.worker));
        claim.set_attempt(stored.second.attempt);
        claim.set_service(names.textOf(stored.second.service));
        claim.set_worker_incarnation(stored.second.workerIncarnation);
        return claim;
    }

    /// Returns the recorded outcome. If the record was moved to a file, only the key and the outcome are set, because
    /// applying a log entry must not depend on files that a replica may not have.
    std::optional<LedgerRecord> findOutcome(const KeyParts& parts) const
    {
        const auto number = outcomes.find(digestOf(parts));
        if (!number)
            return std::nullopt;
        if (outcomes.isInMemory(*number))
            return outcomes.at(*number);
        LedgerRecord record;
        record.set_partner(parts[0]);
        record.set_home_region(parts[1]);
        record.set_request_id(parts[2]);
        record.set_outcome(outcomes.outcomeOf(*number));
        return record;
    }

    /// Applies a claim by compare-and-set: it replaces the current claim only if its attempt number is the next one. An
    /// entry sends such a claim only after the worker of the current attempt has fenced that attempt. A claim that
    /// skips attempt numbers may come from an entry that has not seen the current attempt, which may still be running.
    LedgerResult apply(const Claim& claim)
    {
        if (const auto outcome = findOutcome(partsOf(claim.key())))
            return resultOf(LedgerResult::ENDED_BEFORE, *outcome);
        const auto next = compact(claim);
        const auto [current, isNew] = claims.try_emplace(claim.key(), next);
        if (isNew || current->second == next)
            return resultOf(LedgerResult::ACCEPTED, expand(*current));
        if (uint64_t { next.attempt } != uint64_t { current->second.attempt } + 1)
            return resultOf(LedgerResult::CLAIMED_BEFORE, expand(*current));
        current->second = next;
        return resultOf(LedgerResult::ACCEPTED, claim);
    }

    /// Applies an outcome; the first one of a request is final. RAN is accepted from a replaced attempt too, because
    /// the ledger records what happened; the attempt that replaced it then ends with ENDED_BEFORE. NOT_RUN and UNKNOWN
    /// of a replaced attempt say nothing about the current one and are rejected as stale.
    LedgerResult apply(Index index, const LedgerRecord& record)
    {
        const auto parts = partsOf(record);
        if (const auto outcome = findOutcome(parts)) {
            const auto code = isSame(*outcome, record) ? LedgerResult::ACCEPTED : LedgerResult::ENDED_BEFORE;
            return resultOf(code, *outcome);
        }
        const auto claim = claims.find(requestKey(record.partner(), record.home_region(), record.request_id()));
        if (claim != claims.end()) {
            if (record.claim_attempt() < claim->second.attempt && record.outcome() != rpc::RAN)
                return resultOf(LedgerResult::STALE_ATTEMPT, expand(*claim));
            claims.erase(claim);
        }
        auto result = resultOf(LedgerResult::ACCEPTED, record);
        result.mutable_outcome()->set_index(index.value);
        outcomes.append(digestOf(parts), result.outcome());
        return result;
    }

    /// Returns the first `limit` claims ordered by key.
    std::vector<const Claims::value_type*> sortedClaims(size_t limit) const
    {
        std::vector<const Claims::value_type*> sorted;
        sorted.reserve(claims.size());
        for (const auto& claim : claims)
            sorted.push_back(&claim);
        const auto end = sorted.begin() + static_cast<ptrdiff_t>(std::min(limit, sorted.size()));
        std::ranges::partial_sort(
            sorted, end, {}, [](const auto* claim) -> const std::string& { return claim->first; });
        sorted.erase(end, sorted.end());
        return sorted;
    }
};

LedgerState::LedgerState(LedgerOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

LedgerState::~LedgerState() = default;

LedgerResults LedgerState::apply(Index index, const log::LedgerBatch& batch)
{
    LedgerResults results;
    results.mutable_results()->Reserve(batch.items_size());
    for (const auto& item : batch.items()) {
        auto& result = *results.add_results();
        if (item.has_claim())
            result = m_impl->apply(item.claim());
        else if (item.has_outcome())
            result = m_impl->apply(index, item.outcome());
    }
    m_impl->outcomes.seal();
    return results;
}

LedgerResult LedgerState::find(const std::string& key) const
{
    const auto parts = partsOf(key);
    if (const auto outcome = m_impl->findOutcome(parts)) {
        const auto record = m_impl->outcomes.load(*m_impl->outcomes.find(digestOf(parts)));
        return resultOf(LedgerResult::ENDED_BEFORE, record ? *record : *outcome);
    }
    const auto claim = m_impl->claims.find(key);
    return claim == m_impl->claims.end() ? LedgerResult()
                                         : resultOf(LedgerResult::CLAIMED_BEFORE, m_impl->expand(*claim));
}

LedgerResults LedgerState::outcomesAfter(Index after, const std::string& partner, size_t limit) const
{
    LedgerResults results;
    size_t completeResults = 0; // Number of results before the current index.
    uint64_t index = 0;
    m_impl->outcomes.visitAfter(after, [&](const LedgerRecord& record) {
        if (!partner.empty() && record.partner() != partner)
            return true;
        const auto size = static_cast<size_t>(results.results_size());
        if (record.index() != index) {
            index = record.index();
            completeResults = size;
        }
        // Records of one index are not split, because the next page starts after the last index of this one.
        if (size >= limit && completeResults > 0) {
            results.mutable_results()->DeleteSubrange(
                static_cast<int>(completeResults), static_cast<int>(size - completeResults));
            return false;
        }
        *results.add_results() = resultOf(LedgerResult::ENDED_BEFORE, record);
        return true;
    });
    return results;
}

LedgerResults LedgerState::openClaims(size_t limit) const
{
    LedgerResults results;
    for (const auto* claim : m_impl->sortedClaims(limit))
        *results.add_results() = resultOf(LedgerResult::CLAIMED_BEFORE, m_impl->expand(*claim));
    return results;
}

std::string LedgerState::snapshot() const
{
    log::LedgerSnapshot snapshot;
    for (const auto* claim : m_impl->sortedClaims(m_impl->claims.size()))
        *snapshot.add_claims() = m_impl->expand(*claim);
    m_impl->outcomes.writeTo(snapshot);
    return snapshot.SerializeAsString();
}

absl::Status LedgerState::restore(std::string_view data)
{
    log::LedgerSnapshot snapshot;
    if (!snapshot.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return absl::DataLossError(absl::StrCat("ledger snapshot of ", data.size(), " bytes is malformed"));
    auto impl = std::make_unique<Impl>(m_impl->options);
    for (const auto& claim : snapshot.claims())
        impl->claims.emplace(claim.key(), impl->compact(claim));
    if (auto status = impl->outcomes.readFrom(snapshot); !status.ok())
        return status;
    m_impl = std::move(impl);
    return absl::OkStatus();
}

std::optional<Index> LedgerState::missingAfter() const { return m_impl->outcomes.missingAfter(); }

absl::Status LedgerState::backfill(const LedgerResults& page) { return m_impl->outcomes.backfill(page); }

std::string LedgerState::dump() const
{
    const auto& outcomes = m_impl->outcomes;
    return boost::json::serialize(boost::json::object {
        { "claims", m_impl->claims.size() },
        { "outcomes", outcomes.size() },
        { "digests", outcomes.digests() },
        { "sealed_segments", outcomes.sealedSegments() },
        { "missing_segments", outcomes.missingSegments() },
    });
}

} // namespace turmericpier::ledger
