#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpier::peer::wire {
struct EnvelopeT;
}

/// Frames of the protocol between the processes of a cluster. All numbers are little-endian:
///
///     magic (4) | version (1) | flags (1) | reserved (2) | body length (4) | checksum (8) | body
///
/// A message whose body exceeds maxFrameBody, such as a snapshot, is sent as several consecutive frames, all but the
/// last with flagMoreFollows. Reserved bytes are 0.
///
/// The checksum is the 64-bit XXH3 of the body, seeded with the XXH3 of the 12 header bytes before it. That hash in
/// turn is seeded with the checksum of the previous frame of the message, or 0 for its first frame. The checksum
/// therefore covers the whole frame, and a message with a missing frame is rejected.
namespace turmericpier::peer {

constexpr std::string_view frameMagic = "TPPF";
constexpr uint8_t protocolVersion = 1;
constexpr size_t frameHeaderSize = 20;
constexpr uint8_t flagMoreFollows = 1; ///< The message continues in the next frame.
constexpr size_t maxFrameBody = 4U << 20U; ///< Maximum body length of a frame in bytes.
constexpr size_t maxMessage = 64U << 20U; ///< Maximum total body length of a message in bytes.

/// Reasons to reject a frame.
enum class FrameFault {
    BadMagic,
    BadVersion,
    BadFlags, ///< An unknown flag, or reserved bytes that are not 0.
    TooLarge, ///< The frame or its message exceeds the limit.
    BadChecksum,
    BadBody, ///< The checksum matches, but the body is not a valid envelope.
    Truncated, ///< The stream ended within a message.
};
constexpr size_t frameFaultCount = 7;

/// Returns the fault in upper snake case, for example BAD_MAGIC, which is also the reason in the error details.
std::string_view toString(FrameFault fault);

/// Encodes a message as one or more frames. Fails with TOO_LARGE if the message exceeds maxMessage.
absl::StatusOr<std::string> encodeFrame(const wire::EnvelopeT& envelope);

/// Decodes a byte stream into envelopes:
///
///     decoder.append(received);
///     for (auto next = decoder.next(); next.ok() && *next; next = decoder.next())
///         handle(std::move(**next));
///
/// After the first fault every call returns the same error.
class FrameDecoder {
public:
    /// Refuses messages of more than `maxMessageBytes`, which is at most maxMessage.
    explicit FrameDecoder(size_t maxMessageBytes = maxMessage)
        : m_maxMessageBytes(maxMessageBytes)
    {
    }

    /// Adds received bytes; ignored after a fault.
    void append(std::string_view bytes);
    /// Returns the next envelope, or nothing if more bytes are needed.
    absl::StatusOr<std::optional<wire::EnvelopeT>> next();
    /// Must be called at the end of the stream. Fails with TRUNCATED if the stream ended within a message.
    absl::Status finish();
    /// Returns the fault that stopped the decoder, if any.
    std::optional<FrameFault> fault() const { return m_fault; }
    /// Drops what has arrived and frees its memory. Must not be used afterwards.
    void release();
    /// Memory that is held for messages that are not complete.
    size_t memory() const { return m_buffer.capacity() + m_messageBuffer.capacity() * sizeof(uint64_t); }

private:
    absl::Status fail(FrameFault fault, std::string_view message);
    absl::Status checkHeader(const char* header, size_t available);
    absl::Status appendBody(const char* body, size_t size);
    absl::StatusOr<wire::EnvelopeT> decodeMessage();

    const size_t m_maxMessageBytes;
    std::string m_buffer;
    size_t m_decodedBytes = 0; ///< Bytes of m_buffer that are already decoded.
    std::vector<uint64_t> m_messageBuffer; ///< Bodies of the current message, 8-byte aligned as FlatBuffers requires.
    size_t m_messageSize = 0; ///< Bytes used in m_messageBuffer.
    uint64_t m_previousChecksum = 0; ///< Checksum of the previous frame of the message; 0 before its first frame.
    std::optional<FrameFault> m_fault;
    absl::Status m_error;
};

} // namespace turmericpier::peer
