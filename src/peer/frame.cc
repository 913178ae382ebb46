#include "turmericpier/peer/frame.h"

#include "peer_generated.h"
#include "turmericpier/base/error.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <bit>
#include <cstring>
#include <xxhash.h>

namespace turmericpier::peer {

static_assert(std::endian::native == std::endian::little, "frame headers are copied in host byte order");

namespace {
    constexpr size_t versionOffset = 4;
    constexpr size_t flagsOffset = 5;
    constexpr size_t reservedOffset = 6;
    constexpr size_t lengthOffset = 8;
    constexpr size_t checksumOffset = 12;

    // Larger buffers are freed after use: those of each sending thread and those of each incoming connection.
    constexpr size_t maxRetainedBuilderBytes = 256U << 10U;
    constexpr size_t maxRetainedMessageBytes = 256U << 10U;
    constexpr size_t maxRetainedBufferBytes = 64U << 10U;

    constexpr size_t maxTableDepth = 16; // The schema nests up to four tables.
    constexpr size_t minTableBytes = 8; // The offset in the parent and the offset of the vtable.

    template <typename T> T loadUnaligned(const char* from)
    {
        T value;
        std::memcpy(&value, from, sizeof value);
        return value;
    }

    uint64_t computeChecksum(const char* header, const void* body, size_t size, uint64_t previous)
    {
        return XXH3_64bits_withSeed(body, size, XXH3_64bits_withSeed(header, checksumOffset, previous));
    }

    /// Appends a frame to `out` and returns its checksum.
    uint64_t appendFrame(std::string& out, const char* body, size_t size, uint8_t flags, uint64_t previous)
    {
        std::array<char, frameHeaderSize> header {};
        frameMagic.copy(header.data(), frameMagic.size());
        header[versionOffset] = static_cast<char>(protocolVersion);
        header[flagsOffset] = static_cast<char>(flags);
        const auto length = static_cast<uint32_t>(size);
        std::memcpy(header.data() + lengthOffset, &length, sizeof length);
        const uint64_t checksum = computeChecksum(header.data(), body, size, previous);
        std::memcpy(header.data() + checksumOffset, &checksum, sizeof checksum);
        out.append(header.data(), header.size());
        out.append(body, size);
        return checksum;
    }

    /// Returns the bytes of log entries in an envelope. Several entries may refer to the same bytes, which would be
    /// copied for each of them.
    size_t unpackedBytes(const wire::Envelope& envelope)
    {
        const auto* consensus = envelope.body_as_Consensus();
        if (!consensus || !consensus->entries())
            return 0;
        size_t bytes = 0;
        for (const auto* entry : *consensus->entries())
            bytes += entry->data() ? entry->data()->size() : 0;
        return bytes;
    }

    absl::Status makeFrameError(FrameFault fault, std::string_view step, std::string_view message)
    {
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, std::string(toString(fault)),
                             std::string(step), std::string() },
            message);
    }
} // namespace

std::string_view toString(FrameFault fault)
{
    switch (fault) {
    case FrameFault::BadMagic:
        return "BAD_MAGIC";
    case FrameFault::BadVersion:
        return "BAD_VERSION";
    case FrameFault::BadFlags:
        return "BAD_FLAGS";
    case FrameFault::TooLarge:
        return "TOO_LARGE";
    case FrameFault::BadChecksum:
        return "BAD_CHECKSUM";
    case FrameFault::BadBody:
        return "BAD_BODY";
    case FrameFault::Truncated:
        break;
    }
    return "TRUNCATED";
}

absl::StatusOr<std::string> encodeFrame(const wire::EnvelopeT& envelope)
{
    // Reused between calls, because growing a new buffer would copy a large message several times.
    thread_local flatbuffers::FlatBufferBuilder builder;
    builder.Clear();
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    const size_t size = builder.GetSize();
    if (size > maxMessage)
        return makeError({ absl::StatusCode::kResourceExhausted, Outcome::NotRun,
                             std::string(toString(FrameFault::TooLarge)), "encode frame", envelope.from },
            absl::StrCat("message of ", size, " bytes exceeds the limit of ", maxMessage));
    const auto* body = reinterpret_cast<const char*>(builder.GetBufferPointer());
    std::string frames;
    frames.reserve(size + frameHeaderSize * (size / maxFrameBody + 1));
    uint64_t checksum = 0;
    size_t begin = 0;
    for (; size - begin > maxFrameBody; begin += maxFrameBody)
        checksum = appendFrame(frames, body + begin, maxFrameBody, flagMoreFollows, checksum);
    appendFrame(frames, body + begin, size - begin, 0, checksum);
    if (size > maxRetainedBuilderBytes)
        builder.Reset();
    return frames;
}

void FrameDecoder::append(std::string_view bytes)
{
    if (m_fault)
        return;
    if (m_decodedBytes == m_buffer.size()) {
        m_buffer.clear();
        m_decodedBytes = 0;
        if (m_buffer.capacity() > maxRetainedBufferBytes)
            m_buffer.shrink_to_fit();
    } else if (m_decodedBytes > m_buffer.size() / 2) {
        // Moving only when most of the buffer is decoded keeps the amortized cost per received byte constant.
        m_buffer.erase(0, m_decodedBytes);
        m_decodedBytes = 0;
    }
    m_buffer.append(bytes);
}

absl::StatusOr<std::optional<wire::EnvelopeT>> FrameDecoder::next()
{
    if (m_fault)
        return m_error;
    while (true) {
        const size_t available = m_buffer.size() - m_decodedBytes;
        const char* header = m_buffer.data() + m_decodedBytes;
        if (auto status = checkHeader(header, available); !status.ok())
            return status;
        if (available < frameHeaderSize)
            return std::optional<wire::EnvelopeT>();
        const auto size = loadUnaligned<uint32_t>(header + lengthOffset);
        if (available < frameHeaderSize + size)
            return std::optional<wire::EnvelopeT>();
        const char* body = header + frameHeaderSize;
        const auto checksum = loadUnaligned<uint64_t>(header + checksumOffset);
        if (checksum != computeChecksum(header, body, size, m_previousChecksum))
            return fail(FrameFault::BadChecksum, absl::StrCat("frame of ", size, " bytes does not match its checksum"));
        if (auto status = appendBody(body, size); !status.ok())
            return status;
        m_decodedBytes += frameHeaderSize + size;
        m_previousChecksum = checksum;
        if (header[flagsOffset] == flagMoreFollows)
            continue;
        auto envelope = decodeMessage();
        if (!envelope.ok())
            return envelope.status();
        m_previousChecksum = 0;
        m_messageSize = 0;
        if (m_messageBuffer.size() * sizeof(uint64_t) > maxRetainedMessageBytes)
            m_messageBuffer = std::vector<uint64_t>();
        return std::optional<wire::EnvelopeT>(*std::move(envelope));
    }
}

absl::Status FrameDecoder::finish()
{
    if (m_fault)
        return m_error;
    const size_t remaining = m_buffer.size() - m_decodedBytes;
    if (remaining > 0)
        return fail(FrameFault::Truncated, absl::StrCat("stream ended ", remaining, " bytes into a frame"));
    if (m_previousChecksum != 0)
        return fail(FrameFault::Truncated,
            absl::StrCat("stream ended after ", m_messageSize, " bytes of a message in several frames"));
    return absl::OkStatus();
}

absl::Status FrameDecoder::fail(FrameFault fault, std::string_view message)
{
    m_fault = fault;
    m_error = makeFrameError(fault, "decode frame", message);
    release();
    return m_error;
}

void FrameDecoder::release()
{
    std::string().swap(m_buffer); // Assigning an empty string would keep the allocation.
    m_decodedBytes = 0;
    m_messageBuffer = std::vector<uint64_t>();
}

/// Checks each field as soon as it is complete, so that a stream of another protocol fails on its first bytes.
absl::Status FrameDecoder::checkHeader(const char* header, size_t available)
{
    const std::string_view magic(header, std::min(available, frameMagic.size()));
    if (magic != frameMagic.substr(0, magic.size()))
        return fail(FrameFault::BadMagic,
            absl::StrCat(
                "frame starts with ", absl::BytesToHexString(std::string(magic)), ", not with the magic number"));
    if (available <= versionOffset)
        return absl::OkStatus();
    const auto version = static_cast<uint8_t>(header[versionOffset]);
    if (version != protocolVersion)
        return fail(FrameFault::BadVersion,
            absl::StrCat("frame has protocol version ", version, ", this process speaks ", protocolVersion));
    if (available < lengthOffset + sizeof(uint32_t))
        return absl::OkStatus();
    const auto flags = static_cast<uint8_t>(header[flagsOffset]);
    if ((flags & ~flagMoreFollows) != 0 || loadUnaligned<uint16_t>(header + reservedOffset) != 0)
        return fail(FrameFault::BadFlags, "unknown flags and reserved bytes of a frame must be 0");
    const auto size = loadUnaligned<uint32_t>(header + lengthOffset);
    if (size > maxFrameBody)
        return fail(
            FrameFault::TooLarge, absl::StrCat("frame body of ", size, " bytes exceeds the limit of ", maxFrameBody));
    return absl::OkStatus();
}

absl::Status FrameDecoder::appendBody(const char* body, size_t size)
{
    if (m_messageSize + size > m_maxMessageBytes)
        return fail(FrameFault::TooLarge,
            absl::StrCat(
                "message of at least ", m_messageSize + size, " bytes exceeds the limit of ", m_maxMessageBytes));
    const size_t needed = (m_messageSize + size + sizeof(uint64_t) - 1) / sizeof(uint64_t);
    if (m_messageBuffer.size() < needed)
        m_messageBuffer.resize(needed);
    if (size > 0)
        std::memcpy(reinterpret_cast<char*>(m_messageBuffer.data()) + m_messageSize, body, size);
    m_messageSize += size;
    return absl::OkStatus();
}

absl::StatusOr<wire::EnvelopeT> FrameDecoder::decodeMessage()
{
    const auto* data = reinterpret_cast<const uint8_t*>(m_messageBuffer.data());
    const size_t size = m_messageSize;
    flatbuffers::Verifier verifier(
        data, size, maxTableDepth, static_cast<flatbuffers::uoffset_t>(m_maxMessageBytes / minTableBytes));
    if (!wire::VerifyEnvelopeBuffer(verifier))
        return fail(FrameFault::BadBody, absl::StrCat("message of ", size, " bytes is not a valid envelope"));
    // The generated verifier accepts a union with an unknown type or without a table.
    const auto* root = wire::GetEnvelope(data);
    const auto type = root->body_type();
    if (type > wire::Body::MAX || (type != wire::Body::NONE) != (root->body() != nullptr))
        return fail(FrameFault::BadBody,
            absl::StrCat("envelope has body type ", static_cast<int>(type), ", which is unknown or has no table"));
    if (unpackedBytes(*root) > size)
        return fail(
            FrameFault::BadBody, absl::StrCat("message of ", size, " bytes refers to the same data repeatedly"));
    wire::EnvelopeT envelope;
    root->UnPackTo(&envelope);
    return envelope;
}

} // namespace turmericpier::peer
