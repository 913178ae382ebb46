#pragma once

#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

/// Conversion of FlatBuffers records to and from the bytes of messages, log entries and snapshots.
namespace turmericpier::cell {

/// Returns the record in serialized form.
template <typename Table> std::string pack(const typename Table::NativeTableType& record)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &record));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

/// Returns false and leaves `record` unchanged if the bytes are not a valid table of this type. More than `maxTables`
/// tables are refused, which limits the memory that data from another process can take.
template <typename Table>
bool unpack(std::string_view bytes, typename Table::NativeTableType& record, uint32_t maxTables = 10'000'000)
{
    constexpr uint32_t maxDepth = 64;
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), maxDepth, maxTables);
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return false;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&record);
    return true;
}

} // namespace turmericpier::cell
