#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Framing of the records in log segments and snapshot files.
namespace turmericpier::consensus::detail {

struct Record {
    uint64_t sequence = 0;
    std::string_view body;
    size_t size = 0; ///< With the header.
};

/// Returns header and body as they are written.
std::string frameRecord(uint64_t sequence, std::string_view body);

/// The record at `offset`, or nothing if it is incomplete or its checksum does not match.
std::optional<Record> readRecord(std::string_view bytes, size_t offset);

/// The offset of the first intact record at or after `offset` with a sequence number of at least `sequence`.
std::optional<size_t> findRecord(std::string_view bytes, size_t offset, uint64_t sequence);

} // namespace turmericpier::consensus::detail
