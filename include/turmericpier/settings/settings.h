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

/// Settings of one process, which are read from a JSON file.
namespace turmericpier::settings {

/// A role of a process; one process may have several.
enum class Role {
    Entry, ///< Serves calls of callers, operators and workers.
    Control, ///< Holds a replica of the control log; needs a data folder.
    Ledger, ///< Holds a replica of a region's ledger log; needs a data folder.
};

/// Timing and snapshots of the replicated logs of this process.
struct ConsensusSettings {
    std::chrono::milliseconds heartbeat { 100 }; ///< Interval of the leader's heartbeats.
    std::chrono::milliseconds electionTimeoutMin { 1'000 };
    std::chrono::milliseconds electionTimeoutMax { 2'000 };
    uint64_t snapshotEvery = 20'000; ///< Number of log entries between two snapshots.
};

/// Settings of the role Entry.
struct EntrySettings {
    uint32_t maxAttempts = 4; ///< Largest number of dispatches of one request.
    std::chrono::milliseconds heartbeat { 200 }; ///< Interval of the heartbeats to the control leader.
    std::chrono::milliseconds defaultDeadline { 10'000 }; ///< Deadline of requests that name none.
    std::chrono::milliseconds maxDeadline { 60'000 }; ///< Requests with a longer deadline are refused.
    uint32_t maxRequests = 20'000; ///< Largest number of open requests; more are refused with NOT_RUN.
    uint32_t maxMemoryMib = 256; ///< Memory that the calls of callers, operators and workers may take, in MiB.
    uint32_t maxStreamsPerConnection = 1'000; ///< Calls that are open on one connection at a time.
};

/// Durations of leases.
struct LeaseSettings {
    std::chrono::milliseconds task { 30'000 };
    std::chrono::milliseconds grantInRegion { 4'500'000 }; ///< Lease of a grant on a worker in the entry's own region.
    std::chrono::milliseconds grantCrossRegion { 10'000 }; ///< Lease of a grant on a worker in another region.
    std::chrono::milliseconds clockSkewBound { 500 }; ///< Added to or taken off a lease for the skew of clocks.
    std::chrono::milliseconds workerLostTimeout { 3'000 }; ///< Time without a report until a worker counts as lost.
};

/// All settings of one process.
struct Settings {
    InstanceId instance;
    DataCentreId dataCentre;
    RegionId region;
    std::set<Role> roles;
    std::string rpcAddress; ///< IP address and port for gRPC; needed by the role Entry only.
    peer::Address peerAddress;
    peer::Address adminAddress;
    std::filesystem::path dataFolder; ///< Needed by the roles Control and Ledger only.
    std::map<InstanceId, peer::Address> peers; ///< Addresses of all other instances.
    std::vector<InstanceId> controlVoters;
    std::vector<InstanceId> preferredLeaders; ///< Preferred leaders of the control log; empty for no preference.
    std::map<RegionId, std::vector<InstanceId>> ledgerVoters;
    ConsensusSettings consensus;
    EntrySettings entry;
    LeaseSettings leases;
};

/// Parses and validates settings. An error names the path of the key and the accepted values, for example
/// "entry.max_attempts: 99 is out of range; accepted: 1 to 16". `name` is the file name used in syntax errors.
absl::StatusOr<Settings> parseSettings(std::string_view json, const std::string& name);

/// Reads a settings file, then parses and validates it.
absl::StatusOr<Settings> loadSettings(const std::filesystem::path& file);

/// Parses an address such as "127.0.0.1:7001". The host must be an IP address.
absl::StatusOr<peer::Address> parseAddress(std::string_view text);

} // namespace turmericpier::settings
