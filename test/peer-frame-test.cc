#include "turmericpier/peer/frame.h"

#include "peer-samples.h"
#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>
#include <cstring>
#include <random>
#include <set>
#include <xxhash.h>

using namespace turmericpier;
using namespace turmericpier::peer;

namespace {
std::string encode(const wire::EnvelopeT& envelope)
{
    auto frame = encodeFrame(envelope);
    REQUIRE(frame.ok());
    return *std::move(frame);
}

/// Returns a frame with a valid checksum and an arbitrary body.
std::string encodeBody(const std::string& body)
{
    std::string frame = encode(numberedEnvelope(1)).substr(0, frameHeaderSize);
    const auto length = static_cast<uint32_t>(body.size());
    std::memcpy(frame.data() + 8, &length, sizeof length);
    const uint64_t checksum = XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(frame.data(), 12));
    std::memcpy(frame.data() + 12, &checksum, sizeof checksum);
    return frame + body;
}

struct Decoded {
    std::vector<wire::EnvelopeT> envelopes;
    std::optional<FrameFault> fault;
    absl::Status status;
};

Decoded decodeStream(const std::string& stream, size_t step)
{
    FrameDecoder decoder;
    Decoded result;
    for (size_t at = 0; at < stream.size(); at += step) {
        decoder.append(std::string_view(stream).substr(at, step));
        while (true) {
            auto next = decoder.next();
            if (!next.ok() || !*next)
                break;
            result.envelopes.push_back(*std::move(*next));
        }
    }
    result.status = decoder.finish();
    result.fault = decoder.fault();
    return result;
}

/// Checks that decoding yields this fault after `envelopes` envelopes, however the stream is split. The error message
/// must contain `part`.
void checkFault(const std::string& stream, FrameFault fault, const std::string& part, size_t envelopes = 0)
{
    for (size_t step : { size_t { 1 }, size_t { 7 }, stream.size() }) {
        const auto result = decodeStream(stream, step);
        CHECK(result.envelopes.size() == envelopes);
        REQUIRE(result.fault == fault);
        CHECK(detailsOf(result.status).reason == toString(fault));
        CHECK(detailsOf(result.status).step == "decode frame");
        CHECK(std::string(result.status.message()).find(part) != std::string::npos);
    }
}

std::string flipBits(std::string frame, size_t at, int bits = 1)
{
    frame[at] = static_cast<char>(frame[at] ^ bits);
    return frame;
}
} // namespace

// Guards against a decoder that depends on how reads split the stream.
TEST_CASE("frames are decoded from reads of any size", "[peer]")
{
    std::string stream;
    for (uint64_t i = 1; i <= 5; ++i)
        stream += encode(numberedEnvelope(i));
    for (size_t step : { size_t { 1 }, size_t { 3 }, size_t { 19 }, size_t { 64 }, stream.size() }) {
        FrameDecoder decoder;
        std::vector<uint64_t> seen;
        for (size_t at = 0; at < stream.size(); at += step) {
            decoder.append(std::string_view(stream).substr(at, step));
            for (auto next = decoder.next(); next.ok() && *next; next = decoder.next()) {
                seen.push_back((*next)->correlation);
                CHECK(serialize(**next) == serialize(numberedEnvelope((*next)->correlation)));
            }
        }
        CHECK(decoder.finish().ok());
        CHECK(seen == std::vector<uint64_t> { 1, 2, 3, 4, 5 });
    }
}

// Guards against sending a message that every receiver rejects.
TEST_CASE("a message above the limit is rejected by its sender", "[peer]")
{
    const auto frame = encodeFrame(appendEnvelope(1, maxMessage));
    REQUIRE_FALSE(frame.ok());
    CHECK(detailsOf(frame.status()).reason == "TOO_LARGE");
    CHECK(detailsOf(frame.status()).outcome == Outcome::NotRun);
}

// Guards against a snapshot that never arrives because it is longer than a frame, and against reassembling one from
// missing or reordered frames.
TEST_CASE("a message longer than a frame is split into several frames", "[peer]")
{
    const auto large = appendEnvelope(3, maxFrameBody);
    const std::string frames = encode(large);
    const std::string small = encode(numberedEnvelope(5));
    const auto result = decodeStream(small + frames + small, 100'000);
    REQUIRE(result.status.ok());
    REQUIRE(result.envelopes.size() == 3);
    CHECK(result.envelopes[0].correlation == 5);
    CHECK(serialize(result.envelopes[1]) == serialize(large));
    CHECK(result.envelopes[2].correlation == 5);

    constexpr size_t whole = frameHeaderSize + maxFrameBody;
    REQUIRE(frames.size() > 3 * whole);
    const auto faultOf = [](const std::string& stream) { return decodeStream(stream, 1'000'000).fault; };
    const std::string swapped = frames.substr(0, whole) + frames.substr(2 * whole, whole) + frames.substr(whole, whole)
        + frames.substr(3 * whole);
    CHECK(faultOf(frames.substr(whole)) == FrameFault::BadChecksum); // The first frame is missing.
    CHECK(faultOf(frames.substr(0, whole) + frames.substr(2 * whole))
        == FrameFault::BadChecksum); // The second frame is missing.
    CHECK(faultOf(swapped) == FrameFault::BadChecksum);
    CHECK(faultOf(frames.substr(0, whole) + small) == FrameFault::BadChecksum);
    CHECK(faultOf(frames.substr(0, 2 * whole)) == FrameFault::Truncated);
}

// Guards against a peer that exhausts the memory with an endless message.
TEST_CASE("the total size of the frames of a message is limited", "[peer]")
{
    FrameDecoder decoder;
    const std::string body(maxFrameBody, 'x');
    std::string frame = encode(numberedEnvelope(1)).substr(0, frameHeaderSize);
    const auto length = static_cast<uint32_t>(body.size());
    std::memcpy(frame.data() + 8, &length, sizeof length);
    frame[5] = flagMoreFollows;
    uint64_t checksum = 0;
    size_t accepted = 0;
    while (!decoder.fault() && accepted < 100) {
        checksum = XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits_withSeed(frame.data(), 12, checksum));
        std::memcpy(frame.data() + 12, &checksum, sizeof checksum);
        decoder.append(frame);
        decoder.append(body);
        accepted += decoder.next().ok() ? 1 : 0;
    }
    CHECK(decoder.fault() == FrameFault::TooLarge);
    CHECK(accepted == maxMessage / maxFrameBody);
}

// Guards against decoding a corrupted frame, and against an error that does not name the reason.
TEST_CASE("each kind of malformed frame has its own fault", "[peer]")
{
    const std::string good = encode(numberedEnvelope(1));
    checkFault(good + flipBits(good, 2), FrameFault::BadMagic, "magic", 1);
    checkFault("GET /dump HTTP/1.1\r\n\r\n", FrameFault::BadMagic, "frame starts with 47");
    checkFault("G", FrameFault::BadMagic, "47");
    checkFault(good + flipBits(good, 4), FrameFault::BadVersion, "protocol version 0, this process speaks 1", 1);
    checkFault(good + flipBits(good, 5, 2), FrameFault::BadFlags, "must be 0", 1);
    checkFault(good + flipBits(good, 5, flagMoreFollows), FrameFault::BadChecksum, "checksum", 1);
    checkFault(good + flipBits(good, 7), FrameFault::BadFlags, "must be 0", 1);
    checkFault(good + flipBits(good, 11), FrameFault::TooLarge, "exceeds the limit of 4194304", 1);
    checkFault(good + flipBits(good, 15), FrameFault::BadChecksum, "checksum", 1);
    checkFault(good + flipBits(good, good.size() - 1), FrameFault::BadChecksum, "checksum", 1);
    checkFault(good + good.substr(0, 5), FrameFault::Truncated, "5 bytes into a frame", 1);
    checkFault(good + good.substr(0, good.size() - 1), FrameFault::Truncated, "bytes into a frame", 1);
}

// Guards against reading past the end of a body whose checksum matches, or reading it as another type.
TEST_CASE("a body that is not an envelope is rejected", "[peer]")
{
    checkFault(encodeBody(""), FrameFault::BadBody, "0 bytes");
    checkFault(encodeBody(std::string(64, '\xff')), FrameFault::BadBody, "64 bytes");
    const auto withType = [](uint8_t type, bool withTable) {
        flatbuffers::FlatBufferBuilder builder;
        const auto table = wire::CreateForward(builder).Union();
        wire::EnvelopeBuilder envelope(builder);
        envelope.add_body_type(static_cast<wire::Body>(type));
        if (withTable)
            envelope.add_body(table);
        builder.Finish(envelope.Finish());
        return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    };
    const auto forward = static_cast<uint8_t>(wire::Body::Forward);
    CHECK(decodeStream(encodeBody(withType(forward, true)), 1'000).status.ok());
    checkFault(encodeBody(withType(forward, false)), FrameFault::BadBody, "has no table");
    checkFault(encodeBody(withType(200, true)), FrameFault::BadBody, "body type 200");
    checkFault(encodeBody(withType(0, true)), FrameFault::BadBody, "body type 0");
}

// Guards against a decoder that continues after a fault: it might find a frame inside the body of another one.
TEST_CASE("nothing is decoded after a fault", "[peer]")
{
    const std::string good = encode(numberedEnvelope(1));
    FrameDecoder decoder;
    decoder.append(flipBits(good, 0));
    const auto first = decoder.next().status();
    decoder.append(good);
    CHECK(decoder.next().status() == first);
    CHECK(decoder.finish() == first);
}

// Guards against crashes and wrong messages on streams corrupted by bit flips, deletions and insertions.
TEST_CASE("a corrupted stream yields only messages that were sent", "[peer]")
{
    std::vector<std::string> frames;
    std::set<std::string> sent;
    for (uint64_t i = 0; i < 6; ++i) {
        const auto envelope = i % 2 == 0 ? numberedEnvelope(i) : appendEnvelope(i, 40 * i);
        frames.push_back(encode(envelope));
        sent.insert(serialize(envelope));
    }
    std::mt19937_64 random(20'240'601);
    const auto below = [&](size_t bound) { return static_cast<size_t>(random() % bound); };
    size_t faults = 0;
    size_t decoded = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string stream;
        for (size_t n = 1 + below(5); n > 0; --n)
            stream += frames[below(frames.size())];
        for (size_t n = below(4); n > 0; --n) {
            const size_t at = below(stream.size());
            switch (below(4)) {
            case 0:
                stream[at] = static_cast<char>(stream[at] ^ (1 << below(8)));
                break;
            case 1:
                stream.erase(at, 1 + below(40));
                break;
            case 2:
                stream.insert(at, frames[below(frames.size())].substr(below(100)));
                break;
            default:
                stream[at] = static_cast<char>(below(256));
            }
            if (stream.empty())
                stream = "x";
        }
        const auto result = decodeStream(stream, 1 + below(stream.size()));
        faults += result.fault ? 1 : 0;
        decoded += result.envelopes.size();
        for (const auto& envelope : result.envelopes)
            REQUIRE(sent.contains(serialize(envelope)));
    }
    // The corruption must be frequent, but not so heavy that hardly anything is decoded.
    CHECK(faults > 5'000);
    CHECK(decoded > 20'000);
}

// Guards against out-of-bounds reads when a faulty sender computes a valid checksum for a corrupted body.
TEST_CASE("a corrupted body with a valid checksum does not crash the decoder", "[peer]")
{
    const std::string body = serialize(appendEnvelope(4, 30));
    std::mt19937_64 random(7);
    size_t accepted = 0;
    for (int round = 0; round < 30'000; ++round) {
        std::string corrupted = body;
        for (size_t n = 1 + random() % 3; n > 0; --n)
            corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        if (random() % 4 == 0)
            corrupted.resize(random() % corrupted.size());
        const auto result = decodeStream(encodeBody(corrupted), 10'000);
        REQUIRE((!result.fault || result.fault == FrameFault::BadBody));
        // Serializing the envelope reads every member.
        for (const auto& envelope : result.envelopes)
            accepted += serialize(envelope).empty() ? 0 : 1;
    }
    CHECK(accepted > 1'000);
}
