#include "turmericpier/peer/convert.h"

#include "peer_generated.h"

#include <catch2/catch.hpp>

using namespace turmericpier;
using namespace turmericpier::peer;

// Guards against a conversion that drops a field or confuses two fields.
TEST_CASE("a consensus message keeps every field through the conversion", "[peer]")
{
    const consensus::Message message {
        .type = consensus::MessageType::AppendReply,
        .term = Term { 1 },
        .logIndex = Index { 2 },
        .logTerm = Term { 3 },
        .commit = Index { 4 },
        .reject = true,
        .rejectHint = Index { 5 },
        .context = 6,
        .entries = { { Term { 7 }, Index { 8 }, consensus::EntryKind::Membership, std::string("a\0b", 3) } },
        .snapshot = consensus::Snapshot { Index { 9 }, Term { 10 }, { InstanceId("i1"), InstanceId("i2") }, "state" },
        .silent = { InstanceId("i3"), InstanceId("i4") },
    };
    const auto wire = toWire(GroupId("east"), message);
    CHECK(wire.group == "east");
    const auto back = fromWire(wire);
    REQUIRE(back.ok());
    CHECK(back->type == message.type);
    CHECK(back->term == message.term);
    CHECK(back->logIndex == message.logIndex);
    CHECK(back->logTerm == message.logTerm);
    CHECK(back->commit == message.commit);
    CHECK(back->reject);
    CHECK(back->rejectHint == message.rejectHint);
    CHECK(back->context == message.context);
    REQUIRE(back->entries.size() == 1);
    CHECK(back->entries[0].term == Term { 7 });
    CHECK(back->entries[0].index == Index { 8 });
    CHECK(back->entries[0].kind == consensus::EntryKind::Membership);
    CHECK(back->entries[0].data == message.entries[0].data);
    REQUIRE(back->snapshot);
    CHECK(back->snapshot->index == Index { 9 });
    CHECK(back->snapshot->term == Term { 10 });
    CHECK(back->snapshot->voters == message.snapshot->voters);
    CHECK(back->snapshot->data == "state");
    CHECK(back->silent == message.silent);
}

// Guards against misinterpreting a message of a newer version.
TEST_CASE("unknown message types and entry kinds are rejected", "[peer]")
{
    auto wire = toWire(GroupId("east"), {});
    wire.type = static_cast<wire::ConsensusType>(200);
    CHECK_FALSE(fromWire(wire).ok());
    wire.type = wire::ConsensusType::Append;
    wire.entries.push_back(std::make_unique<wire::LogEntryT>());
    CHECK(fromWire(wire).ok());
    wire.entries[0]->kind = static_cast<wire::EntryKind>(9);
    CHECK_FALSE(fromWire(wire).ok());
}
