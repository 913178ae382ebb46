#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Framing of the records in log segments and snapshot files.
namespace turmericpier::consensus::detail {

/// A record that was read from a file.
struct Record {
    uint64_t sequence = 0;
    std::string_view body;
    size_t size = 0; ///< Size in bytes, including the header.
};

/// Returns the header and `body` as written to a file.
std::string frameRecord(uint64_t sequence, std::string_view body);

/// Returns the record at `offset`, or nullopt if it is incomplete or its magic number or checksum does not match.
std::optional<Record> readRecord(std::string_view bytes, size_t offset);

/// Returns the offset of the first intact record at or after `offset` whose sequence number is at least `sequence`, or
/// nullopt if there is none.
std::optional<size_t> findRecord(std::string_view bytes, size_t offset, uint64_t sequence);

} // namespace turmericpier::consensus::detail
