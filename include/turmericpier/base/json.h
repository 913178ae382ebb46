#pragma once

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>
#include <cstddef>
#include <memory>
#include <string_view>

/// Parsing of JSON from outside the process, with a bound on the memory that a text can take.
namespace turmericpier {

struct JsonLimits {
    /// Memory that the parsed text and the parser may take. A text of small values takes over ten times its size.
    size_t memory = size_t { 32 } << 20U;
    size_t depth = 32; ///< Nesting of arrays and objects.
};

/// A parsed JSON text with the memory that it uses:
///
///     const auto document = parseJson(body, { .memory = 1U << 20U });
///     if (document.ok())
///         use(document->value());
class JsonDocument {
public:
    JsonDocument(std::unique_ptr<boost::json::memory_resource> memory, std::unique_ptr<boost::json::value> value);
    ~JsonDocument();
    JsonDocument(JsonDocument&& other) noexcept;
    JsonDocument& operator=(JsonDocument&&) = delete;

    const boost::json::value& value() const { return *m_value; }

private:
    // Destroyed after the value, which gives its memory back to it.
    std::unique_ptr<boost::json::memory_resource> m_memory;
    std::unique_ptr<boost::json::value> m_value;
};

/// Fails with INVALID_JSON, or with JSON_TOO_LARGE if the text needs more memory than allowed or is nested too deeply.
absl::StatusOr<JsonDocument> parseJson(std::string_view text, const JsonLimits& limits = {});

/// Returns true for the error of a text that exceeds a limit.
bool isTooLarge(const absl::Status& status);

} // namespace turmericpier
