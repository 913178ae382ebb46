#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace turmericpier::rpc {
class LedgerRecord;
}

/// Comparison of two ledgers, request by request.
namespace turmericpier::ledger {

/// One line of a ledger file: a JSON object with request_id, service, outcome and, optionally, partner, home_region and
/// further members:
///
///     {"partner":"duftwerk","home_region":"east","request_id":"r1","service":"till","outcome":"RAN"}
struct LedgerLine {
    std::string partner;
    std::string homeRegion;
    std::string requestId;
    std::string service;
    std::string outcome; ///< RAN, NOT_RUN or UNKNOWN
};

enum class DifferenceKind {
    MissingHere, ///< Only the partner counts the request.
    MissingThere, ///< Only we count it.
    OutcomeDiffers,
    ServiceDiffers,
    DuplicateHere,
    DuplicateThere,
};

struct Difference {
    DifferenceKind kind = DifferenceKind::MissingHere;
    std::string partner;
    std::string homeRegion;
    std::string requestId;
    std::string here; ///< Our outcome or service.
    std::string there;
};

struct Reconciliation {
    uint64_t requests = 0; ///< Distinct requests in either ledger.
    std::vector<Difference> differences; ///< Ordered by partner, home region and request id.
};

/// The line of a record in a ledger file, without the line feed.
std::string toJsonLine(const rpc::LedgerRecord& record);
/// Reads JSON lines. A malformed line is an error that names its number. Empty lines are passed over.
absl::StatusOr<std::vector<LedgerLine>> parseLedger(std::istream& in, const std::string& name);
/// Partners and home regions are compared only if some line of either ledger names them: a partner may keep the ledger
/// of its own requests alone. Of a duplicated request, the first line counts.
Reconciliation reconcile(const std::vector<LedgerLine>& here, const std::vector<LedgerLine>& there);
std::string toString(const Difference& difference);

} // namespace turmericpier::ledger
