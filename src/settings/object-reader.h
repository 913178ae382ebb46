#pragma once

#include <absl/status/statusor.h>
#include <boost/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpier::settings::detail {

/// Reads the members of one JSON object. The first error sticks and names the path of its key.
class ObjectReader {
public:
    ObjectReader(const boost::json::value& value, std::string path, absl::Status& status);

    std::string text(std::string_view key, bool isRequired = true);
    uint64_t integer(std::string_view key, uint64_t fallback, uint64_t min, uint64_t max);
    std::chrono::milliseconds millis(
        std::string_view key, std::chrono::milliseconds fallback, uint64_t min, uint64_t max);
    std::vector<std::string> texts(std::string_view key, bool isRequired = true);
    /// The member as an object; null if it is absent.
    const boost::json::value* object(std::string_view key, bool isRequired = false);
    /// Keys of the object in their order; all count as known.
    std::vector<std::string> takeAllKeys();
    std::string pathOf(std::string_view key) const;
    void fail(std::string_view key, const std::string& message);
    /// Reports the first key that was never read.
    void finish();

private:
    const boost::json::value* find(std::string_view key, bool isRequired);

    const boost::json::object* m_object = nullptr;
    std::string m_path;
    absl::Status& m_status;
    std::set<std::string, std::less<>> m_known;
};

} // namespace turmericpier::settings::detail
