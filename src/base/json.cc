#include "turmericpier/base/json.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json/parser.hpp>
#include <new>

namespace turmericpier {

namespace json = boost::json;

namespace {
    constexpr const char* tooLargeReason = "JSON_TOO_LARGE";

    /// Allocates from the heap up to a limit.
    class BoundedResource final : public json::memory_resource {
    public:
        explicit BoundedResource(size_t limit)
            : m_limit(limit)
        {
        }

    private:
        // Boost.JSON gives keys back with another alignment than it asked for. No value needs more than the default
        // one.
        void* do_allocate(size_t bytes, size_t) override
        {
            if (bytes > m_limit - m_used)
                throw std::bad_alloc();
            void* memory = ::operator new(bytes);
            m_used += bytes;
            return memory;
        }

        void do_deallocate(void* memory, size_t bytes, size_t) override
        {
            ::operator delete(memory);
            m_used -= std::min(bytes, m_used);
        }

        bool do_is_equal(const json::memory_resource& other) const noexcept override { return this == &other; }

        const size_t m_limit;
        size_t m_used = 0;
    };

    absl::Status makeJsonError(const char* reason, absl::StatusCode code, const std::string& message)
    {
        return makeError({ code, Outcome::NotRun, reason, "parse JSON", "" }, message);
    }

    absl::Status tooLarge(const JsonLimits& limits)
    {
        return makeJsonError(tooLargeReason, absl::StatusCode::kResourceExhausted,
            absl::StrCat("the text needs more than ", limits.memory, " bytes of memory, or is nested more than ",
                limits.depth, " deep"));
    }
} // namespace

JsonDocument::JsonDocument(std::unique_ptr<json::memory_resource> memory, std::unique_ptr<json::value> value)
    : m_memory(std::move(memory))
    , m_value(std::move(value))
{
}

JsonDocument::~JsonDocument() = default;
JsonDocument::JsonDocument(JsonDocument&& other) noexcept = default;

absl::StatusOr<JsonDocument> parseJson(std::string_view text, const JsonLimits& limits)
{
    auto memory = std::make_unique<BoundedResource>(limits.memory);
    const json::storage_ptr storage(memory.get());
    json::parse_options options;
    options.max_depth = limits.depth;
    json::error_code error;
    try {
        // The stack of the parser takes as much as the values, so it gets the same resource.
        json::parser parser(storage, options);
        parser.reset(storage);
        parser.write(json::string_view(text.data(), text.size()), error);
        if (error == json::error::too_deep)
            return tooLarge(limits);
        if (error)
            return makeJsonError("INVALID_JSON", absl::StatusCode::kInvalidArgument,
                absl::StrCat("the text is no JSON: ", error.message()));
        // The value is destroyed before its memory, also if this allocation fails.
        auto value = std::make_unique<json::value>(parser.release());
        return JsonDocument(std::move(memory), std::move(value));
    } catch (const std::bad_alloc&) {
        return tooLarge(limits);
    }
}

bool isTooLarge(const absl::Status& status) { return !status.ok() && detailsOf(status).reason == tooLargeReason; }

} // namespace turmericpier
