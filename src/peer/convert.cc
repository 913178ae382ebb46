#include "turmericpier/peer/convert.h"

#include "peer_generated.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::peer {

namespace {
    using consensus::EntryKind;
    using consensus::MessageType;

    // The conversion casts these enumerations, so that their values must be the same.
    static_assert(static_cast<int>(MessageType::PreVote) == static_cast<int>(wire::ConsensusType::PreVote));
    static_assert(static_cast<int>(MessageType::Append) == static_cast<int>(wire::ConsensusType::Append));
    static_assert(static_cast<int>(MessageType::SnapshotReply) == static_cast<int>(wire::ConsensusType::MAX));
    static_assert(static_cast<int>(EntryKind::Data) == static_cast<int>(wire::EntryKind::Data));
    static_assert(static_cast<int>(EntryKind::Empty) == static_cast<int>(wire::EntryKind::MAX));

    std::vector<uint8_t> toBytes(const std::string& text) { return { text.begin(), text.end() }; }
    std::string toText(const std::vector<uint8_t>& bytes) { return { bytes.begin(), bytes.end() }; }

    absl::Status makeConversionError(std::string_view message)
    {
        return makeError({ absl::StatusCode::kInvalidArgument, Outcome::Unknown, "BAD_CONSENSUS_MESSAGE",
                             "decode consensus message", std::string() },
            message);
    }
} // namespace

wire::ConsensusT toWire(const GroupId& group, const consensus::Message& message)
{
    wire::ConsensusT out;
    out.group = group.str();
    out.type = static_cast<wire::ConsensusType>(message.type);
    out.term = message.term.value;
    out.log_index = message.logIndex.value;
    out.log_term = message.logTerm.value;
    out.commit = message.commit.value;
    out.reject = message.reject;
    out.reject_hint = message.rejectHint.value;
    out.context = message.context;
    out.entries.reserve(message.entries.size());
    for (const auto& entry : message.entries) {
        auto& to = out.entries.emplace_back(std::make_unique<wire::LogEntryT>());
        to->term = entry.term.value;
        to->index = entry.index.value;
        to->kind = static_cast<wire::EntryKind>(entry.kind);
        to->data = toBytes(entry.data);
    }
    for (const auto& voter : message.silent)
        out.silent.push_back(voter.str());
    if (!message.snapshot)
        return out;
    out.snapshot = std::make_unique<wire::SnapshotDataT>();
    out.snapshot->index = message.snapshot->index.value;
    out.snapshot->term = message.snapshot->term.value;
    for (const auto& voter : message.snapshot->voters)
        out.snapshot->voters.push_back(voter.str());
    out.snapshot->data = toBytes(message.snapshot->data);
    return out;
}

absl::StatusOr<consensus::Message> fromWire(const wire::ConsensusT& wire)
{
    if (wire.type > wire::ConsensusType::MAX)
        return makeConversionError(absl::StrCat("unknown consensus message type ", static_cast<int>(wire.type)));
    consensus::Message message {
        .type = static_cast<MessageType>(wire.type),
        .term = Term { wire.term },
        .logIndex = Index { wire.log_index },
        .logTerm = Term { wire.log_term },
        .commit = Index { wire.commit },
        .reject = wire.reject,
        .rejectHint = Index { wire.reject_hint },
        .context = wire.context,
        .entries = {},
        .snapshot = {},
        .silent = {},
    };
    for (const auto& voter : wire.silent)
        message.silent.emplace_back(voter);
    message.entries.reserve(wire.entries.size());
    for (const auto& entry : wire.entries) {
        if (!entry)
            return makeConversionError("consensus message contains a null log entry");
        if (entry->kind > wire::EntryKind::MAX)
            return makeConversionError(absl::StrCat("unknown log entry kind ", static_cast<int>(entry->kind)));
        message.entries.push_back(
            { Term { entry->term }, Index { entry->index }, static_cast<EntryKind>(entry->kind), toText(entry->data) });
    }
    if (!wire.snapshot)
        return message;
    auto& snapshot = message.snapshot.emplace();
    snapshot.index = Index { wire.snapshot->index };
    snapshot.term = Term { wire.snapshot->term };
    for (const auto& voter : wire.snapshot->voters)
        snapshot.voters.emplace_back(voter);
    snapshot.data = toText(wire.snapshot->data);
    return message;
}

} // namespace turmericpier::peer
