#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace turmericpier::rpc {
class LedgerRecord;
}

/// Compares two ledgers request by request.
namespace turmericpier::ledger {

/// Holds one line of a ledger file: a JSON object with the members request_id, service and outcome. The members partner
/// and home_region are optional, and other members are ignored:
///
///     {"partner":"duftwerk","home_region":"east","request_id":"r1","service":"till","outcome":"RAN"}
struct LedgerLine {
    std::string partner;
    std::string homeRegion;
    std::string requestId;
    std::string service;
    std::string outcome; ///< RAN, NOT_RUN or UNKNOWN.
};

enum class DifferenceKind {
    MissingHere, ///< Only the ledger of the partner has the request.
    MissingThere, ///< Only our ledger has the request.
    OutcomeDiffers,
    ServiceDiffers,
    DuplicateHere,
    DuplicateThere,
};

/// Describes how the two ledgers differ on one request.
struct Difference {
    DifferenceKind kind = DifferenceKind::MissingHere;
    std::string partner;
    std::string homeRegion;
    std::string requestId;
    std::string here; ///< Our outcome or service; empty if we do not have the request.
    std::string there; ///< The outcome or service of the partner; empty if it does not have the request.
};

struct Reconciliation {
    uint64_t requests = 0; ///< Distinct requests in either ledger.
    std::vector<Difference> differences; ///< Ordered by partner, home region and request id.
};

/// Formats a record as a line of a ledger file, without the line feed.
std::string toJsonLine(const rpc::LedgerRecord& record);
/// Parses JSON lines and skips blank ones. The error for a malformed line contains `name` and the line number.
absl::StatusOr<std::vector<LedgerLine>> parseLedger(std::istream& in, const std::string& name);
/// Compares our ledger with that of a partner. Partners and home regions identify a request only if both ledgers set
/// them on at least one line, because a partner whose ledger contains only its own requests may omit them. If a ledger
/// has several lines for a request, its first line is compared.
Reconciliation reconcile(const std::vector<LedgerLine>& here, const std::vector<LedgerLine>& there);
/// Formats a difference as one line of text for an operator.
std::string toString(const Difference& difference);

} // namespace turmericpier::ledger
