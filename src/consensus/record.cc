#include "consensus/record.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

namespace turmericpier::consensus::detail {

namespace {
    using boost::endian::load_little_u32;
    using boost::endian::load_little_u64;

    constexpr uint32_t magic = 0x4c575054; // "TPWL"
    constexpr size_t lengthOffset = 4;
    constexpr size_t sequenceOffset = 8;
    constexpr size_t crcOffset = 16;
    constexpr size_t headerBytes = 20;

    const unsigned char* bytesAt(std::string_view bytes, size_t offset)
    {
        return reinterpret_cast<const unsigned char*>(bytes.data()) + offset;
    }

    uint32_t checksum(std::string_view header, std::string_view body)
    {
        boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc; // CRC-32C
        crc.process_bytes(header.data(), crcOffset);
        crc.process_bytes(body.data(), body.size());
        return crc.checksum();
    }
} // namespace

std::string frameRecord(uint64_t sequence, std::string_view body)
{
    std::string bytes(headerBytes, '\0');
    auto* header = reinterpret_cast<unsigned char*>(bytes.data());
    boost::endian::store_little_u32(header, magic);
    boost::endian::store_little_u32(header + lengthOffset, static_cast<uint32_t>(body.size()));
    boost::endian::store_little_u64(header + sequenceOffset, sequence);
    boost::endian::store_little_u32(header + crcOffset, checksum(bytes, body));
    bytes.append(body);
    return bytes;
}

std::optional<Record> readRecord(std::string_view bytes, size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < headerBytes
        || load_little_u32(bytesAt(bytes, offset)) != magic)
        return std::nullopt;
    const size_t length = load_little_u32(bytesAt(bytes, offset + lengthOffset));
    if (bytes.size() - offset - headerBytes < length)
        return std::nullopt;
    const auto body = bytes.substr(offset + headerBytes, length);
    if (load_little_u32(bytesAt(bytes, offset + crcOffset)) != checksum(bytes.substr(offset, headerBytes), body))
        return std::nullopt;
    return Record { load_little_u64(bytesAt(bytes, offset + sequenceOffset)), body, headerBytes + length };
}

std::optional<size_t> findRecord(std::string_view bytes, size_t offset, uint64_t sequence)
{
    std::string pattern(sizeof magic, '\0');
    boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(pattern.data()), magic);
    for (auto found = bytes.find(pattern, offset); found != std::string_view::npos;
         found = bytes.find(pattern, found + 1)) {
        const auto record = readRecord(bytes, found);
        if (record && record->sequence >= sequence)
            return found;
    }
    return std::nullopt;
}

} // namespace turmericpier::consensus::detail
