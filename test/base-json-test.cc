#include "turmericpier/base/json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <catch2/catch.hpp>
#include <string>

using namespace turmericpier;

// Guards against a document whose values outlive their memory.
TEST_CASE("a text is parsed and can be moved", "[base]")
{
    auto document = parseJson(R"({"a":[1,2,{"b":"text of more than a few bytes, so that it is allocated"}]})");
    REQUIRE(document.ok());
    const auto moved = std::move(*document);
    CHECK(moved.value().as_object().at("a").as_array().size() == 3);
}

// Guards against texts that take many times their size while they are parsed.
TEST_CASE("a text of small values is refused at the limit of memory", "[base]")
{
    std::string text = "[0";
    for (int i = 0; i < 100'000; ++i)
        text += ",0";
    text += "]";
    CHECK(isTooLarge(parseJson(text, { .memory = 1'000'000 }).status()));
    CHECK(parseJson(text, { .memory = 20'000'000 }).ok());
    CHECK(isTooLarge(parseJson('"' + std::string(200'000, 'x') + '"', { .memory = 100'000 }).status()));
}

// Guards against nesting that exhausts the stack.
TEST_CASE("a deeply nested text is refused", "[base]")
{
    CHECK(isTooLarge(parseJson(std::string(1'000'000, '[')).status()));
    CHECK(isTooLarge(parseJson(std::string(33, '[') + std::string(33, ']')).status()));
    CHECK(parseJson(std::string(32, '[') + std::string(32, ']')).ok());
}

// Guards against taking a malformed text for one that is only too large, which may be sent again in parts.
TEST_CASE("a malformed text is invalid", "[base]")
{
    for (const char* text : { "", "{", "[1,]", "{\"a\":1}x", "\"\xff\"" }) {
        const auto document = parseJson(text);
        REQUIRE_FALSE(document.ok());
        CHECK_FALSE(isTooLarge(document.status()));
    }
}
