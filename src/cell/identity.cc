#include "turmericpier/cell/identity.h"

#include "turmericpier/base/disk-error.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"
#include "turmericpier/cell/links.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace turmericpier::cell {

namespace {
    constexpr const char* fileName = "identity.json";

    absl::Status ioError(const std::filesystem::path& path, std::string_view what)
    {
        const int number = errno;
        const auto code = mayDiskRecover(number) ? absl::StatusCode::kUnavailable : absl::StatusCode::kInternal;
        return makeError({ code, Outcome::NotRun, "IDENTITY", "identity", path.string() },
            absl::StrCat(std::string(what), " ", path.string(), ": ", std::strerror(number)));
    }

    absl::Status syncPath(const std::filesystem::path& path, int flags)
    {
        const int file = ::open(path.c_str(), flags);
        if (file < 0)
            return ioError(path, "cannot open");
        const bool synced = ::fsync(file) == 0;
        ::close(file);
        return synced ? absl::OkStatus() : ioError(path, "cannot sync");
    }
} // namespace

std::string generateIdentity(const std::string& address)
{
    std::random_device device;
    const auto number = uint64_t { device() } << 32U | device();
    return absl::StrCat(address, "/", absl::Hex(number, absl::kZeroPad16));
}

absl::Status saveIdentity(const std::filesystem::path& folder, const Identity& identity)
{
    boost::json::array initialVoters;
    for (const auto& voter : identity.initialVoters)
        initialVoters.emplace_back(voter);
    const auto text = boost::json::serialize(boost::json::object { { "replica", identity.replica },
        { "may_form", identity.mayFormGroup }, { "formed_with", std::move(initialVoters) } });
    const auto temporary = folder / absl::StrCat(fileName, ".new");
    {
        std::ofstream out(temporary, std::ios::trunc);
        out << text;
        if (!out.flush())
            return ioError(temporary, "cannot write");
    }
    if (auto status = syncPath(temporary, O_RDONLY); !status.ok())
        return status;
    std::error_code error;
    std::filesystem::rename(temporary, folder / fileName, error);
    if (error) {
        errno = error.value();
        return ioError(folder / fileName, "cannot rename to");
    }
    return syncPath(folder, O_RDONLY | O_DIRECTORY);
}

absl::StatusOr<Identity> openIdentity(
    const std::filesystem::path& folder, const std::string& address, bool mayFormGroup)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    std::ifstream in(folder / fileName);
    if (in) {
        std::stringstream text;
        text << in.rdbuf();
        boost::json::error_code parseError;
        const auto value = boost::json::parse(text.str(), parseError);
        const auto* object = parseError ? nullptr : value.if_object();
        const auto* replica = object ? object->if_contains("replica") : nullptr;
        if (!replica || !replica->is_string()) {
            return makeError(
                { absl::StatusCode::kDataLoss, Outcome::NotRun, "IDENTITY", "identity", (folder / fileName).string() },
                "the identity file is not valid");
        }
        Identity identity { .replica = std::string(replica->as_string()) };
        if (const auto* may = object->if_contains("may_form"); may && may->is_bool())
            identity.mayFormGroup = may->as_bool();
        if (const auto* formed = object->if_contains("formed_with"); formed && formed->is_array()) {
            for (const auto& voter : formed->as_array()) {
                if (voter.is_string())
                    identity.initialVoters.emplace_back(voter.as_string());
            }
        }
        if (addressOf(identity.replica) == address)
            return identity;
    }
    Identity identity { .replica = generateIdentity(address), .mayFormGroup = mayFormGroup };
    if (auto status = saveIdentity(folder, identity); !status.ok()) {
        if (!absl::IsUnavailable(status))
            return status;
        logError("cell", "identity not stored", { { "message", std::string(status.message()) } });
        identity.stored = false;
    }
    return identity;
}

} // namespace turmericpier::cell
