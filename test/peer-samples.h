#pragma once

#include "peer_generated.h"

#include <string>

namespace turmericpier::peer {

/// An envelope with a consensus message of `entries` log entries of `size` bytes each.
inline wire::EnvelopeT appendEnvelope(size_t entries, size_t size)
{
    wire::ConsensusT append;
    append.group = "control";
    append.type = wire::ConsensusType::Append;
    append.term = 7;
    append.log_index = 41;
    for (size_t i = 0; i < entries; ++i) {
        auto& entry = append.entries.emplace_back(std::make_unique<wire::LogEntryT>());
        entry->term = 7;
        entry->index = 42 + i;
        entry->data.assign(size, static_cast<uint8_t>('a' + i % 26));
    }
    wire::EnvelopeT envelope;
    envelope.from = "i1";
    envelope.incarnation = 3;
    envelope.correlation = 9;
    envelope.body.Set(std::move(append));
    return envelope;
}

/// An envelope whose correlation is `number`.
inline wire::EnvelopeT numberedEnvelope(uint64_t number)
{
    auto envelope = appendEnvelope(1, 16);
    envelope.correlation = number;
    return envelope;
}

/// Serializes an envelope with FlatBuffers, for example to compare envelopes by content.
inline std::string serialize(const wire::EnvelopeT& envelope)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

} // namespace turmericpier::peer
