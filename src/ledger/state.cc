#include "turmericpier/ledger/state.h"

#include "log.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
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
    std::string keyOf(const LedgerRecord& record)
    {
        return requestKey(record.partner(), record.home_region(), record.request_id());
    }

    bool isSame(const Claim& a, const Claim& b)
    {
        return a.entry() == b.entry() && a.incarnation() == b.incarnation() && a.worker() == b.worker()
            && a.attempt() == b.attempt();
    }

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
    absl::flat_hash_map<std::string, Claim> claims; ///< Those without an outcome.
    absl::flat_hash_map<std::string, size_t> outcomeOf; ///< Position in `outcomes`.
    std::vector<LedgerRecord> outcomes; ///< In log order.
    Index applied;

    const LedgerRecord* findOutcome(const std::string& key) const
    {
        const auto found = outcomeOf.find(key);
        return found == outcomeOf.end() ? nullptr : &outcomes[found->second];
    }

    /// The attempts of a key are counted up by compare-and-set: only the claim that follows the standing one replaces
    /// it. An entry sends it only once the worker of the standing attempt has fenced that attempt. A claim that skips
    /// attempts may come from an entry that has not seen the standing one, which may still run.
    LedgerResult apply(const Claim& claim)
    {
        if (const auto* outcome = findOutcome(claim.key()))
            return resultOf(LedgerResult::ENDED_BEFORE, *outcome);
        const auto [standing, isNew] = claims.try_emplace(claim.key(), claim);
        if (isNew || isSame(standing->second, claim))
            return resultOf(LedgerResult::ACCEPTED, claim);
        if (uint64_t { claim.attempt() } != uint64_t { standing->second.attempt() } + 1)
            return resultOf(LedgerResult::CLAIMED_BEFORE, standing->second);
        standing->second = claim;
        return resultOf(LedgerResult::ACCEPTED, claim);
    }

    /// RAN stands also for an attempt that was replaced: the ledger accounts for what happened, and the attempt that
    /// replaced it ends with ENDED_BEFORE. NOT_RUN and UNKNOWN of a replaced attempt prove nothing about the standing
    /// one.
    LedgerResult apply(Index index, const LedgerRecord& record)
    {
        const std::string key = keyOf(record);
        if (const auto* outcome = findOutcome(key)) {
            const auto code = isSame(*outcome, record) ? LedgerResult::ACCEPTED : LedgerResult::ENDED_BEFORE;
            return resultOf(code, *outcome);
        }
        const auto claim = claims.find(key);
        if (claim != claims.end()) {
            if (record.attempts() < claim->second.attempt() && record.outcome() != rpc::RAN)
                return resultOf(LedgerResult::STALE_ATTEMPT, claim->second);
            claims.erase(claim);
        }
        outcomeOf.emplace(key, outcomes.size());
        outcomes.push_back(record);
        outcomes.back().set_index(index.value);
        return resultOf(LedgerResult::ACCEPTED, outcomes.back());
    }

    std::vector<const Claim*> sortedClaims() const
    {
        std::vector<const Claim*> sorted;
        sorted.reserve(claims.size());
        for (const auto& [key, claim] : claims)
            sorted.push_back(&claim);
        std::ranges::sort(sorted, {}, [](const Claim* claim) -> const std::string& { return claim->key(); });
        return sorted;
    }
};

LedgerState::LedgerState()
    : m_impl(std::make_unique<Impl>())
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
    m_impl->applied = index;
    return results;
}

LedgerResult LedgerState::find(const std::string& key) const
{
    if (const auto* outcome = m_impl->findOutcome(key))
        return resultOf(LedgerResult::ENDED_BEFORE, *outcome);
    const auto claim = m_impl->claims.find(key);
    return claim == m_impl->claims.end() ? LedgerResult() : resultOf(LedgerResult::CLAIMED_BEFORE, claim->second);
}

LedgerResults LedgerState::outcomesAfter(Index after, const std::string& partner, size_t limit) const
{
    LedgerResults results;
    const auto& outcomes = m_impl->outcomes;
    const auto first = std::ranges::upper_bound(outcomes, after.value, {}, &LedgerRecord::index);
    size_t wholeIndexes = 0; // Results up to the last change of index.
    uint64_t index = 0;
    for (auto next = first; next != outcomes.end(); ++next) {
        if (!partner.empty() && next->partner() != partner)
            continue;
        const auto size = static_cast<size_t>(results.results_size());
        if (next->index() != index) {
            index = next->index();
            wholeIndexes = size;
        }
        // Records of one index are not parted: the reader goes on after the last index that it has seen.
        if (size >= limit && wholeIndexes > 0) {
            results.mutable_results()->DeleteSubrange(
                static_cast<int>(wholeIndexes), static_cast<int>(size - wholeIndexes));
            break;
        }
        *results.add_results() = resultOf(LedgerResult::ENDED_BEFORE, *next);
    }
    return results;
}

LedgerResults LedgerState::openClaims(size_t limit) const
{
    LedgerResults results;
    for (const auto* claim : m_impl->sortedClaims()) {
        if (static_cast<size_t>(results.results_size()) >= limit)
            break;
        *results.add_results() = resultOf(LedgerResult::CLAIMED_BEFORE, *claim);
    }
    return results;
}

std::string LedgerState::snapshot() const
{
    log::LedgerSnapshot snapshot;
    for (const auto* claim : m_impl->sortedClaims())
        *snapshot.add_claims() = *claim;
    for (const auto& outcome : m_impl->outcomes)
        *snapshot.add_outcomes() = outcome;
    return snapshot.SerializeAsString();
}

absl::Status LedgerState::restore(std::string_view data)
{
    log::LedgerSnapshot snapshot;
    if (!snapshot.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return absl::DataLossError(absl::StrCat("ledger snapshot of ", data.size(), " bytes is malformed"));
    auto impl = std::make_unique<Impl>();
    for (auto& claim : *snapshot.mutable_claims())
        impl->claims.emplace(claim.key(), claim);
    for (auto& outcome : *snapshot.mutable_outcomes()) {
        impl->outcomeOf.emplace(keyOf(outcome), impl->outcomes.size());
        impl->applied.value = std::max(impl->applied.value, outcome.index());
        impl->outcomes.push_back(std::move(outcome));
    }
    m_impl = std::move(impl);
    return absl::OkStatus();
}

std::string LedgerState::dump() const
{
    return boost::json::serialize(boost::json::object {
        { "claims", m_impl->claims.size() },
        { "outcomes", m_impl->outcomes.size() },
        { "last_outcome_index", m_impl->outcomes.empty() ? 0 : m_impl->outcomes.back().index() },
    });
}

} // namespace turmericpier::ledger
