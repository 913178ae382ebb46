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
/// The checksum is the XXH3 of the body, seeded with the XXH3 of the 12 header bytes before it, so that it covers the
/// whole frame. Flags and reserved bytes are 0 in this version.
namespace turmericpier::peer {

constexpr std::string_view frameMagic = "TPPF";
constexpr uint8_t protocolVersion = 1;
constexpr size_t frameHeaderSize = 20;
constexpr size_t maxFrameBody = 4U << 20U; ///< Bytes; larger messages have to be split by their sender.

/// Why a frame was refused.
enum class FrameFault {
    BadMagic,
    BadVersion,
    BadFlags, ///< Flags or reserved bytes are not 0.
    TooLarge,
    BadChecksum,
    BadBody, ///< The checksum is right, but the body is no valid envelope.
    Truncated, ///< The connection ended inside a frame.
};
constexpr size_t frameFaultCount = 7;

/// Returns the fault in upper snake case, for example BAD_MAGIC. This is the reason of the error details, too.
std::string_view toString(FrameFault fault);

/// Returns header and body. Fails with TOO_LARGE if the body exceeds maxFrameBody.
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
    absl::StatusOr<wire::EnvelopeT> decodeBody(const char* body, size_t size);

    std::string m_buffer;
    size_t m_begin = 0; ///< Bytes of the buffer that are already decoded.
    std::vector<uint64_t> m_aligned; ///< FlatBuffers reads need a body that starts at a multiple of 8.
    std::optional<FrameFault> m_fault;
    absl::Status m_error;
};

} // namespace turmericpier::peer
