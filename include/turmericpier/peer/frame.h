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

/// Frames of the inner protocol. All numbers are little-endian:
///
///     magic (4) | version (1) | flags (1) | reserved (2) | body length (4) | checksum (8) | body
///
/// A message whose body is longer than a frame's, such as a snapshot, is sent as several frames in a row, all but the
/// last with flagMoreFollows. Reserved bytes are 0.
///
/// The checksum is the XXH3 of the body, seeded with the XXH3 of the 12 header bytes before it. That in turn is seeded
/// with the checksum of the message's frame before, or 0 for its first frame. So the checksum covers the whole frame,
/// and a message that lacks one of its frames is refused.
namespace turmericpier::peer {

constexpr std::string_view frameMagic = "TPPF";
constexpr uint8_t protocolVersion = 1;
constexpr size_t frameHeaderSize = 20;
constexpr uint8_t flagMoreFollows = 1;
constexpr size_t maxFrameBody = 4U << 20U; ///< Bytes.
constexpr size_t maxMessage = 64U << 20U; ///< Bytes of all bodies of a message.

/// Why a frame was refused.
enum class FrameFault {
    BadMagic,
    BadVersion,
    BadFlags, ///< An unknown flag, or reserved bytes that are not 0.
    TooLarge,
    BadChecksum,
    BadBody, ///< The checksum is right, but the body is no valid envelope.
    Truncated, ///< The connection ended inside a frame.
};
constexpr size_t frameFaultCount = 7;

/// Returns the fault in upper snake case, for example BAD_MAGIC. This is the reason of the error details, too.
std::string_view toString(FrameFault fault);

/// Returns the frame or frames of a message. Fails with TOO_LARGE if it exceeds maxMessage.
absl::StatusOr<std::string> encodeFrame(const wire::EnvelopeT& envelope);

/// Cuts a byte stream into envelopes:
///
///     decoder.append(received);
///     for (auto next = decoder.next(); next.ok() && *next; next = decoder.next())
///         handle(std::move(**next));
///
/// After the first fault every further call returns the same error.
class FrameDecoder {
public:
    void append(std::string_view bytes);
    /// Returns the next envelope, or nothing if more bytes are needed.
    absl::StatusOr<std::optional<wire::EnvelopeT>> next();
    /// To be called at the end of the stream; fails with TRUNCATED if it ended inside a frame.
    absl::Status finish();
    std::optional<FrameFault> fault() const { return m_fault; }

private:
    absl::Status fail(FrameFault fault, std::string_view message);
    absl::Status checkHeader(const char* header, size_t available);
    absl::Status takeBody(const char* body, size_t size);
    absl::StatusOr<wire::EnvelopeT> decodeMessage();

    std::string m_buffer;
    size_t m_begin = 0; ///< Bytes of the buffer that are already decoded.
    std::vector<uint64_t> m_message; ///< Bodies of the current message; FlatBuffers needs an address divisible by 8.
    size_t m_messageSize = 0; ///< Bytes of the bodies received so far.
    uint64_t m_lastChecksum = 0; ///< Of the message's frame before.
    std::optional<FrameFault> m_fault;
    absl::Status m_error;
};

} // namespace turmericpier::peer
