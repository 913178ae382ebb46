#pragma once

#include <absl/status/statusor.h>
#include <filesystem>
#include <string>
#include <vector>

/// Identity of a replica: drawn when its disk is empty, and kept beside the log.
namespace turmericpier::cell {

struct Identity {
    std::string replica; ///< Address and a random part, "10.1.0.16:7720/5f3c..".
    bool mayFormGroup = false; ///< The whole system started for the first time when it was drawn.
    /// First voters of the group, if this replica has taken part in its formation.
    std::vector<std::string> initialVoters;
};

/// Draws the identity of a process at the address.
std::string generateIdentity(const std::string& address);

/// Reads the identity in the folder, or draws one and makes it durable. An identity of another address is replaced,
/// because the disk belongs to another machine now.
absl::StatusOr<Identity> openIdentity(
    const std::filesystem::path& folder, const std::string& address, bool mayFormGroup);

/// Makes a changed identity durable.
absl::Status saveIdentity(const std::filesystem::path& folder, const Identity& identity);

} // namespace turmericpier::cell
