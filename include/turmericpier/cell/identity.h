#pragma once

#include <absl/status/statusor.h>
#include <filesystem>
#include <string>
#include <vector>

/// Identity of a replica, which is generated when the disk is empty and stored beside the log.
namespace turmericpier::cell {

struct Identity {
    std::string replica; ///< Address and random part, "10.1.0.16:7720/5f3c..".
    /// False if the disk refused the identity. It may then not be told to other processes, because it is another one
    /// after a restart.
    bool stored = true;
    bool mayFormGroup = false; ///< The identity was generated at the first start of the whole system.
    /// Initial voters of the group; empty if this replica took no part in forming it.
    std::vector<std::string> initialVoters;
};

/// Returns a new identity for the process at the address.
std::string generateIdentity(const std::string& address);

/// Reads the identity stored in the folder, or generates one and makes it durable. An identity with another address is
/// replaced, because the disk has been moved to another machine. If the disk is full or fails, returns an identity that
/// is not stored.
absl::StatusOr<Identity> openIdentity(
    const std::filesystem::path& folder, const std::string& address, bool mayFormGroup);

/// Makes a changed identity durable.
absl::Status saveIdentity(const std::filesystem::path& folder, const Identity& identity);

} // namespace turmericpier::cell
