#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"
#include "turmericpier/peer/transport.h"

#include <absl/status/statusor.h>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one process, read from a JSON file.
namespace turmericpier::settings {

enum class Role {
    Entry, ///< Takes calls of callers, operators and workers.
    Control, ///< Replica of the control log; needs a data folder.
    Ledger, ///< Replica of a region's ledger log; needs a data folder.
};

/// Timing of the replicated logs of this process.
struct ConsensusSettings {
    std::chrono::milliseconds heartbeat { 100 };
    std::chrono::milliseconds electionTimeoutMin { 1'000 };
    std::chrono::milliseconds electionTimeoutMax { 2'000 };
    uint64_t snapshotEvery = 20'000; ///< Log entries between two snapshots.
};

struct EntrySettings {
    uint32_t maxAttempts = 4; ///< Dispatches of one request.
    std::chrono::milliseconds heartbeat { 200 }; ///< To the control leader.
    std::chrono::milliseconds defaultDeadline { 10'000 }; ///< Of requests that name none.
    std::chrono::milliseconds maxDeadline { 60'000 };
    uint32_t maxRequests = 20'000; ///< Requests held at once; more are refused with NOT_RUN.
};

struct LeaseSettings {
    std::chrono::milliseconds task { 30'000 };
    std::chrono::milliseconds grantInRegion { 4'500'000 };
    std::chrono::milliseconds grantCrossRegion { 10'000 };
    std::chrono::milliseconds clockSkewBound { 500 };
    std::chrono::milliseconds workerLostTimeout { 3'000 }; ///< Without a report, after which a worker counts as lost.
};

struct Settings {
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
    std::set<Role> roles;
    std::string rpcAddress; ///< IP address and port for gRPC; entries only.
    peer::Address peerAddress;
    peer::Address adminAddress;
    std::filesystem::path dataFolder; ///< Control and ledger only.
    std::map<InstanceId, peer::Address> peers; ///< All instances but this one.
    std::vector<InstanceId> controlVoters;
    std::vector<InstanceId> preferredLeaders; ///< Of the control log; empty for no preference.
    std::map<RegionId, std::vector<InstanceId>> ledgerVoters;
    ConsensusSettings consensus;
    EntrySettings entry;
    LeaseSettings leases;
};

/// Parses and checks settings. The error names the path of the key and the accepted values, for example
/// "entry.max_attempts: 99 is out of range; accepted: 1 to 16". `name` is the file, given as the peer of the error.
absl::StatusOr<Settings> parseSettings(std::string_view json, const std::string& name);

/// Reads and parses a file.
absl::StatusOr<Settings> loadSettings(const std::filesystem::path& file);

/// Parses "127.0.0.1:7001"; the host must be an IP address.
absl::StatusOr<peer::Address> parseAddress(std::string_view text);

} // namespace turmericpier::settings
