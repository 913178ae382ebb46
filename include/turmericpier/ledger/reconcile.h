#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <istream>
#include <string>
#include <vector>

/// Comparison of two ledgers, request by request.
namespace turmericpier::ledger {

/// One line of a ledger file: a JSON object with request_id, service, outcome and, optionally, further members.
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

/// Reads JSON lines. A malformed line is an error that names its number.
absl::StatusOr<std::vector<LedgerLine>> parseLedger(std::istream& in, const std::string& name);
Reconciliation reconcile(const std::vector<LedgerLine>& here, const std::vector<LedgerLine>& there);
std::string toString(const Difference& difference);

} // namespace turmericpier::ledger
