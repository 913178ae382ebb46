#include "turmericpier/peer/frame.h"

#include "peer-samples.h"
#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::peer;

namespace {
std::string frameOf(const wire::EnvelopeT& envelope)
{
    auto frame = encodeFrame(envelope);
    REQUIRE(frame.ok());
    return *std::move(frame);
}
} // namespace

// Guards against a decoder that depends on how the stream was cut into reads.
TEST_CASE("frames arrive whole from reads of any size", "[peer]")
{
    std::string stream;
    for (uint64_t i = 1; i <= 5; ++i)
        stream += frameOf(numberedEnvelope(i));
    for (size_t step : { size_t { 1 }, size_t { 3 }, size_t { 19 }, size_t { 64 }, stream.size() }) {
        FrameDecoder decoder;
        std::vector<uint64_t> seen;
        for (size_t at = 0; at < stream.size(); at += step) {
            decoder.append(std::string_view(stream).substr(at, step));
            for (auto next = decoder.next(); next.ok() && *next; next = decoder.next()) {
                seen.push_back((*next)->correlation);
                CHECK(bytesOf(**next) == bytesOf(numberedEnvelope((*next)->correlation)));
            }
        }
        CHECK(decoder.finish().ok());
        CHECK(seen == std::vector<uint64_t> { 1, 2, 3, 4, 5 });
    }
}

// Guards against a message that is sent but refused by every receiver.
TEST_CASE("a message above the limit is refused by its sender", "[peer]")
{
    const auto frame = encodeFrame(appendEnvelope(1, maxFrameBody));
    REQUIRE_FALSE(frame.ok());
    CHECK(detailsOf(frame.status()).reason == "TOO_LARGE");
    CHECK(detailsOf(frame.status()).outcome == Outcome::NotRun);
}
