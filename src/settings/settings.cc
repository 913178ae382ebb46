#include "turmericpier/settings/settings.h"

#include "settings/object-reader.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/json.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace turmericpier::settings {

namespace {
    using detail::ObjectReader;

    constexpr uint64_t millisecondsPerHour = 3'600'000;

    absl::Status invalidSettings(const std::string& message)
    {
        return makeError(
            { absl::StatusCode::kInvalidArgument, Outcome::NotRun, "INVALID_SETTINGS", "parse settings", "" }, message);
    }

    peer::Address readAddress(ObjectReader& reader, std::string_view key, bool isRequired)
    {
        const auto text = reader.readString(key, isRequired);
        if (text.empty())
            return {};
        auto address = parseAddress(text);
        if (!address.ok()) {
            reader.setError(key, std::string(address.status().message()));
            return {};
        }
        return *address;
    }

    std::vector<InstanceId> readInstances(ObjectReader& reader, std::string_view key, bool isRequired)
    {
        std::vector<InstanceId> result;
        for (auto& text : reader.readStrings(key, isRequired))
            result.emplace_back(std::move(text));
        return result;
    }

    std::set<Role> readRoles(ObjectReader& reader)
    {
        std::set<Role> roles;
        for (const auto& text : reader.readStrings("roles")) {
            if (text == "entry")
                roles.insert(Role::Entry);
            else if (text == "control")
                roles.insert(Role::Control);
            else if (text == "ledger")
                roles.insert(Role::Ledger);
            else
                reader.setError("roles", "\"" + text + "\" is not a role; accepted: entry, control, ledger");
        }
        if (roles.empty())
            reader.setError("roles", "is empty; accepted: one or more of entry, control, ledger");
        return roles;
    }

    ConsensusSettings readConsensus(const boost::json::value* value, absl::Status& status)
    {
        ConsensusSettings result;
        if (!value)
            return result;
        ObjectReader reader(*value, "consensus", status);
        result.heartbeat = reader.readMilliseconds("heartbeat_ms", result.heartbeat, 10, 10'000);
        result.electionTimeoutMin
            = reader.readMilliseconds("election_timeout_min_ms", result.electionTimeoutMin, 50, 60'000);
        result.electionTimeoutMax
            = reader.readMilliseconds("election_timeout_max_ms", result.electionTimeoutMax, 50, 120'000);
        result.snapshotEvery = reader.readInteger("snapshot_every", result.snapshotEvery, 10, 10'000'000);
        if (result.electionTimeoutMin < 3 * result.heartbeat)
            reader.setError("election_timeout_min_ms", "must be at least 3 times heartbeat_ms");
        if (result.electionTimeoutMax <= result.electionTimeoutMin)
            reader.setError("election_timeout_max_ms", "must be above election_timeout_min_ms");
        reader.rejectUnknownKeys();
        return result;
    }

    EntrySettings readEntry(const boost::json::value* value, absl::Status& status)
    {
        EntrySettings result;
        if (!value)
            return result;
        ObjectReader reader(*value, "entry", status);
        result.maxAttempts = static_cast<uint32_t>(reader.readInteger("max_attempts", result.maxAttempts, 1, 16));
        result.heartbeat = reader.readMilliseconds("heartbeat_ms", result.heartbeat, 50, 5'000);
        result.defaultDeadline
            = reader.readMilliseconds("default_deadline_ms", result.defaultDeadline, 10, millisecondsPerHour);
        result.maxDeadline = reader.readMilliseconds("max_deadline_ms", result.maxDeadline, 10, millisecondsPerHour);
        result.maxRequests
            = static_cast<uint32_t>(reader.readInteger("max_requests", result.maxRequests, 1, 1'000'000));
        result.maxMemoryMib
            = static_cast<uint32_t>(reader.readInteger("max_memory_mib", result.maxMemoryMib, 16, 1'000'000));
        result.maxStreamsPerConnection = static_cast<uint32_t>(
            reader.readInteger("max_streams_per_connection", result.maxStreamsPerConnection, 1, 1'000'000));
        reader.rejectUnknownKeys();
        return result;
    }

    LeaseSettings readLeases(const boost::json::value* value, absl::Status& status)
    {
        LeaseSettings result;
        if (!value)
            return result;
        ObjectReader reader(*value, "leases", status);
        result.task = reader.readMilliseconds("task_ms", result.task, 1'000, 24 * millisecondsPerHour);
        result.grantInRegion
            = reader.readMilliseconds("grant_in_region_ms", result.grantInRegion, 1'000, 24 * millisecondsPerHour);
        result.grantCrossRegion = reader.readMilliseconds(
            "grant_cross_region_ms", result.grantCrossRegion, 1'000, 24 * millisecondsPerHour);
        result.clockSkewBound = reader.readMilliseconds("clock_skew_bound_ms", result.clockSkewBound, 0, 10'000);
        result.workerLostTimeout
            = reader.readMilliseconds("worker_lost_ms", result.workerLostTimeout, 500, millisecondsPerHour);
        const auto shortestLease = std::min({ result.task, result.grantInRegion, result.grantCrossRegion });
        if (result.clockSkewBound * 2 > shortestLease)
            reader.setError("clock_skew_bound_ms", "must be at most half of the shortest lease");
        reader.rejectUnknownKeys();
        return result;
    }

    void readPeers(ObjectReader& parent, Settings& settings, absl::Status& status)
    {
        const auto* value = parent.readObject("peers");
        if (!value)
            return;
        ObjectReader reader(*value, "peers", status);
        for (const auto& key : reader.readAllKeys()) {
            const auto address = readAddress(reader, key, true);
            if (InstanceId(key) != settings.instance)
                settings.peers[InstanceId(key)] = address;
        }
    }

    void readLedgerVoters(ObjectReader& parent, Settings& settings, absl::Status& status)
    {
        const auto* value = parent.readObject("ledger_voters", true);
        if (!value)
            return;
        ObjectReader reader(*value, "ledger_voters", status);
        for (const auto& key : reader.readAllKeys())
            settings.ledgerVoters[RegionId(key)] = readInstances(reader, key, true);
    }

    bool isKnownInstance(const Settings& settings, const InstanceId& instance)
    {
        return instance == settings.instance || settings.peers.count(instance) > 0;
    }

    absl::Status validateVoters(
        const Settings& settings, const std::string& path, const std::vector<InstanceId>& voters)
    {
        if (voters.empty() || voters.size() > 9)
            return invalidSettings(absl::StrCat(path, ": has ", voters.size(), " voters; accepted: 1 to 9"));
        for (const auto& voter : voters) {
            if (!isKnownInstance(settings, voter))
                return invalidSettings(
                    absl::StrCat(path, ": ", voter.str(), " is neither this instance nor one of peers"));
        }
        return absl::OkStatus();
    }

    absl::Status validateSettings(const Settings& settings)
    {
        if (auto status = validateVoters(settings, "control_voters", settings.controlVoters); !status.ok())
            return status;
        for (const auto& [region, voters] : settings.ledgerVoters) {
            if (auto status = validateVoters(settings, "ledger_voters." + region.str(), voters); !status.ok())
                return status;
        }
        const bool needsDisk = settings.roles.count(Role::Control) || settings.roles.count(Role::Ledger);
        if (needsDisk && settings.dataFolder.empty())
            return invalidSettings("data_folder: is missing; the roles control and ledger need it");
        if (settings.roles.count(Role::Entry) && settings.rpcAddress.empty())
            return invalidSettings("rpc_address: is missing; the role entry needs it");
        return absl::OkStatus();
    }
} // namespace

absl::StatusOr<peer::Address> parseAddress(std::string_view text)
{
    if (auto address = peer::parseAddress(text))
        return *std::move(address);
    return invalidSettings("\"" + std::string(text) + "\" is not an address; accepted: IP address, colon and port");
}

absl::StatusOr<Settings> parseSettings(std::string_view json, const std::string& name)
{
    const auto document = parseJson(json);
    if (!document.ok())
        return invalidSettings(name + ": is not valid JSON: " + std::string(document.status().message()));
    absl::Status status;
    Settings settings;
    ObjectReader reader(document->value(), "", status);
    settings.instance = InstanceId(reader.readString("instance"));
    settings.dataCentre = DataCentreId(reader.readString("data_centre"));
    settings.region = RegionId(reader.readString("region"));
    settings.roles = readRoles(reader);
    const auto rpc = readAddress(reader, "rpc_address", false);
    if (!rpc.host.empty())
        settings.rpcAddress = absl::StrCat(rpc.host, ":", rpc.port);
    settings.peerAddress = readAddress(reader, "peer_address", true);
    settings.adminAddress = readAddress(reader, "admin_address", true);
    settings.dataFolder = reader.readString("data_folder", false);
    readPeers(reader, settings, status);
    settings.controlVoters = readInstances(reader, "control_voters", true);
    settings.preferredLeaders = readInstances(reader, "preferred_leaders", false);
    readLedgerVoters(reader, settings, status);
    settings.consensus = readConsensus(reader.readObject("consensus"), status);
    settings.entry = readEntry(reader.readObject("entry"), status);
    settings.leases = readLeases(reader.readObject("leases"), status);
    reader.rejectUnknownKeys();
    if (status.ok())
        status = validateSettings(settings);
    if (!status.ok())
        return status;
    return settings;
}

absl::StatusOr<Settings> loadSettings(const std::filesystem::path& file)
{
    std::ifstream in(file);
    if (!in)
        return makeError(
            { absl::StatusCode::kNotFound, Outcome::NotRun, "SETTINGS_UNREADABLE", "read settings", file.string() },
            "cannot open settings file " + file.string());
    std::stringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file.string());
}

} // namespace turmericpier::settings
