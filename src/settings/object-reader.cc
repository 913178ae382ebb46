#include "settings/object-reader.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::settings::detail {

namespace {
    std::string_view typeName(const boost::json::value& value)
    {
        const auto name = boost::json::to_string(value.kind());
        return { name.data(), name.size() };
    }
} // namespace

ObjectReader::ObjectReader(const boost::json::value& value, std::string path, absl::Status& status)
    : m_path(std::move(path))
    , m_status(status)
{
    m_object = value.if_object();
    if (!m_object)
        setError("", absl::StrCat("is of type ", std::string(typeName(value)), "; accepted: object"));
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    if (key.empty())
        return m_path.empty() ? "settings" : m_path;
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void ObjectReader::setError(std::string_view key, const std::string& message)
{
    if (m_status.ok())
        m_status = makeError(
            { absl::StatusCode::kInvalidArgument, Outcome::NotRun, "INVALID_SETTINGS", "parse settings", "" },
            pathOf(key) + ": " + message);
}

const boost::json::value* ObjectReader::findMember(std::string_view key, bool isRequired)
{
    m_knownKeys.emplace(key);
    const auto* value = m_object ? m_object->if_contains(boost::json::string_view(key.data(), key.size())) : nullptr;
    if (!value && isRequired)
        setError(key, "is missing");
    return value;
}

std::string ObjectReader::readString(std::string_view key, bool isRequired)
{
    const auto* value = findMember(key, isRequired);
    if (!value)
        return {};
    if (!value->is_string() || value->as_string().empty()) {
        setError(
            key, absl::StrCat("is of type ", std::string(typeName(*value)), " or empty; accepted: non-empty string"));
        return {};
    }
    return std::string(value->as_string());
}

uint64_t ObjectReader::readInteger(std::string_view key, uint64_t fallback, uint64_t min, uint64_t max)
{
    const auto* value = findMember(key, false);
    if (!value)
        return fallback;
    if (!value->is_int64() && !value->is_uint64()) {
        setError(key,
            absl::StrCat("is of type ", std::string(typeName(*value)), "; accepted: integer from ", min, " to ", max));
        return fallback;
    }
    boost::json::error_code error;
    const auto number = value->to_number<uint64_t>(error);
    if (error || number < min || number > max) {
        setError(key, absl::StrCat(boost::json::serialize(*value), " is out of range; accepted: ", min, " to ", max));
        return fallback;
    }
    return number;
}

std::chrono::milliseconds ObjectReader::readMilliseconds(
    std::string_view key, std::chrono::milliseconds fallback, uint64_t min, uint64_t max)
{
    return std::chrono::milliseconds(readInteger(key, static_cast<uint64_t>(fallback.count()), min, max));
}

std::vector<std::string> ObjectReader::readStrings(std::string_view key, bool isRequired)
{
    std::vector<std::string> result;
    const auto* value = findMember(key, isRequired);
    if (!value)
        return result;
    if (!value->is_array()) {
        setError(key, absl::StrCat("is of type ", std::string(typeName(*value)), "; accepted: array of strings"));
        return result;
    }
    for (const auto& item : value->as_array()) {
        if (!item.is_string() || item.as_string().empty()) {
            setError(key, "has an item that is not a non-empty string");
            return result;
        }
        result.emplace_back(item.as_string());
    }
    return result;
}

const boost::json::value* ObjectReader::readObject(std::string_view key, bool isRequired)
{
    const auto* value = findMember(key, isRequired);
    if (value && !value->is_object()) {
        setError(key, absl::StrCat("is of type ", std::string(typeName(*value)), "; accepted: object"));
        return nullptr;
    }
    return value;
}

std::vector<std::string> ObjectReader::readAllKeys()
{
    std::vector<std::string> keys;
    if (!m_object)
        return keys;
    for (const auto& member : *m_object) {
        keys.emplace_back(member.key());
        m_knownKeys.insert(keys.back());
    }
    return keys;
}

void ObjectReader::rejectUnknownKeys()
{
    if (!m_object)
        return;
    for (const auto& member : *m_object) {
        const std::string key(member.key());
        if (!m_knownKeys.count(key)) {
            std::string accepted;
            for (const auto& known : m_knownKeys)
                absl::StrAppend(&accepted, accepted.empty() ? "" : ", ", known);
            setError(key, "is not a known key; accepted: " + accepted);
            return;
        }
    }
}

} // namespace turmericpier::settings::detail
