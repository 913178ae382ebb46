#pragma once

#include "log.pb.h"
#include "turmericpier/ledger/state.h"

#include <string>

namespace turmericpier::ledger {

/// Makes an item with a claim on the request `id` of partner duftwerk.
inline log::LedgerItem claimOf(
    const std::string& id, const std::string& entry, uint32_t attempt, const std::string& worker = "w1")
{
    log::LedgerItem item;
    auto& claim = *item.mutable_claim();
    claim.set_key(requestKey("duftwerk", "east", id));
    claim.set_entry(entry);
    claim.set_incarnation(1);
    claim.set_worker(worker);
    claim.set_attempt(attempt);
    claim.set_service("till");
    return item;
}

/// Makes an item with an outcome of the request `id`.
inline log::LedgerItem outcomeOf(
    const std::string& id, rpc::Outcome outcome, uint32_t attempts, const std::string& partner = "duftwerk")
{
    log::LedgerItem item;
    auto& record = *item.mutable_outcome();
    record.set_partner(partner);
    record.set_home_region("east");
    record.set_request_id(id);
    record.set_service("till");
    record.set_outcome(outcome);
    record.set_worker("w1");
    record.set_attempts(attempts);
    return item;
}

} // namespace turmericpier::ledger
