#pragma once

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpier::settings::detail {

/// Reads and checks the members of one JSON object. Only the first error is kept in the status; it names the path of
/// its key. A member that is absent or wrong reads as empty or as the fallback.
class ObjectReader {
public:
    /// `path` is the path of the object in the settings, empty for the root. `value` and `status` must outlive the
    /// reader.
    ObjectReader(const boost::json::value& value, std::string path, absl::Status& status);

    std::string readString(std::string_view key, bool isRequired = true);
    uint64_t readInteger(std::string_view key, uint64_t fallback, uint64_t min, uint64_t max);
    std::chrono::milliseconds readMilliseconds(
        std::string_view key, std::chrono::milliseconds fallback, uint64_t min, uint64_t max);
    std::vector<std::string> readStrings(std::string_view key, bool isRequired = true);
    /// Returns the member if it is an object, otherwise null.
    const boost::json::value* readObject(std::string_view key, bool isRequired = false);
    /// Returns all keys of the object in their order and marks them as known.
    std::vector<std::string> readAllKeys();
    /// Returns the path of the member `key`, or of the object itself if `key` is empty.
    std::string pathOf(std::string_view key) const;
    /// Sets the status to an error about `key`, unless it has one.
    void setError(std::string_view key, const std::string& message);
    /// Sets an error for the first key that was neither read nor marked as known.
    void rejectUnknownKeys();

private:
    const boost::json::value* findMember(std::string_view key, bool isRequired);

    const boost::json::object* m_object = nullptr;
    std::string m_path;
    absl::Status& m_status;
    std::set<std::string, std::less<>> m_knownKeys;
};

} // namespace turmericpier::settings::detail
