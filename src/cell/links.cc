#include "turmericpier/cell/links.h"

#include "cell/bytes.h"
#include "peer_generated.h"
#include "turmericpier/base/log.h"
#include "turmericpier/peer/convert.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>

namespace turmericpier::cell {

namespace asio = boost::asio;

namespace {
    const GroupId cellGroup("cell");
    constexpr uint64_t noCorrelation = 0; // Marks a call that is not replied to.
    constexpr uint32_t maxUnansweredTicks = 2;

    peer::Address parseOrEmpty(const std::string& address)
    {
        return peer::parseAddress(address).value_or(peer::Address {});
    }

    template <typename Table> std::vector<uint8_t> packBody(const typename Table::NativeTableType& record)
    {
        const auto bytes = pack<Table>(record);
        return { bytes.begin(), bytes.end() };
    }

    /// Returns a random number, so that a late reply to a former process with the same identity has no call here.
    uint64_t chooseFirstCall()
    {
        std::random_device device;
        return (uint64_t { device() } << 32U | device()) | 1U;
    }

    peer::Envelope envelopeOf(const record::CallT& call, uint64_t correlation)
    {
        peer::wire::CellCallT body;
        body.call = packBody<record::Call>(call);
        peer::Envelope envelope;
        envelope.correlation = correlation;
        envelope.body.Set(std::move(body));
        return envelope;
    }

    template <typename Table>
    bool unpackBody(const std::vector<uint8_t>& bytes, typename Table::NativeTableType& record)
    {
        // Tables may take many times their size once they are unpacked.
        constexpr uint32_t maxTables = 100'000;
        return unpack<Table>({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, record, maxTables);
    }

    /// Returns the size of a call or a reply in memory.
    size_t bodyBytes(const peer::Envelope& envelope)
    {
        size_t bytes = sizeof(envelope) + envelope.from.capacity() + envelope.to.capacity();
        if (const auto* call = envelope.body.AsCellCall())
            bytes += call->call.capacity();
        else if (const auto* reply = envelope.body.AsCellReply())
            bytes += reply->reply.capacity();
        return bytes;
    }

    peer::TransportOptions transportOptions(const LinksOptions& options)
    {
        peer::TransportOptions transport;
        transport.self = InstanceId(options.self);
        transport.listen = parseOrEmpty(options.listen.empty() ? addressOf(options.self) : options.listen);
        transport.userTimeout = options.userTimeout;
        transport.maxIncoming = options.maxIncoming;
        transport.maxMessageBytes = options.maxMessageBytes;
        transport.memoryBytes = options.memoryBytes / 2;
        return transport;
    }
} // namespace

std::string addressOf(const std::string& identity) { return identity.substr(0, identity.find('/')); }

Links::Links(asio::io_context& io, LinksOptions options, Metrics& metrics)
    : m_io(io)
    , m_options(std::move(options))
    , m_calls(metrics.counter("cell_peer_calls_total"))
    , m_timeouts(metrics.counter("cell_peer_call_timeouts_total"))
    , m_misdirected(metrics.counter("cell_messages_for_former_replicas_total"))
    , m_probesAnswered(metrics.counter("cell_probes_answered_total"))
    , m_silentConnections(metrics.counter("cell_silent_connections_total"))
    , m_overMemory(metrics.counter("peer_messages_over_memory_total"))
    , m_overPeers(metrics.counter("peer_messages_over_peers_total"))
    , m_transport(transportOptions(m_options), metrics)
    , m_probeTimer(io)
    , m_nextCall(chooseFirstCall())
{
}

Links::~Links() { stop(); }

absl::Status Links::start()
{
    m_transport.setHandler([this](peer::Envelope envelope) { receive(std::move(envelope)); });
    if (auto status = m_transport.start(); !status.ok())
        return status;
    probePeers();
    return absl::OkStatus();
}

void Links::stop()
{
    m_probeTimer.cancel();
    m_transport.stop();
}

void Links::sendEnvelope(const std::string& to, peer::Envelope envelope)
{
    const auto address = addressOf(to);
    if (address != to)
        envelope.to = to;
    if (address == addressOf(m_options.self)) {
        m_transport.send(InstanceId(m_options.self), std::move(envelope));
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        // The address may come from a message, and each one costs a connection.
        if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(address) && !evictPeer()) {
            m_overPeers.increment();
            return;
        }
        const auto [peer, isNew] = m_peers.try_emplace(address);
        if (isNew)
            m_transport.setPeer(InstanceId(address), parseOrEmpty(address));
        peer->second.hasTraffic |= envelope.body.AsCellProbe() == nullptr;
    }
    m_transport.send(InstanceId(address), std::move(envelope));
}

/// Removes an address that has never answered a probe, as one that was made up. Returns false if there is none. The
/// caller holds the lock.
bool Links::evictPeer()
{
    const auto found = std::ranges::find_if(m_peers, [](const auto& entry) { return !entry.second.answersProbes; });
    if (found == m_peers.end())
        return false;
    m_transport.removePeer(InstanceId(found->first));
    m_peers.erase(found);
    return true;
}

void Links::sendProbe(const std::string& to, bool answer)
{
    peer::wire::CellProbeT body;
    body.answer = answer;
    peer::Envelope envelope;
    envelope.body.Set(body);
    sendEnvelope(to, std::move(envelope));
}

/// Runs on the transport's thread, so that a busy event loop does not look like a silent connection.
void Links::onProbe(const std::string& from, bool answer)
{
    if (!answer)
        return sendProbe(from, true);
    m_probesAnswered.increment();
    std::lock_guard lock(m_mutex);
    const auto peer = m_peers.find(addressOf(from));
    if (peer == m_peers.end())
        return;
    peer->second.answersProbes = true;
    peer->second.unansweredTicks = 0;
}

/// Replaces connections that deliver nothing although they are open. A middlebox, for example, may keep acknowledging
/// data that it no longer forwards, which no timeout of TCP shows.
void Links::probePeers()
{
    std::vector<std::string> silent;
    std::vector<std::string> due;
    {
        std::lock_guard lock(m_mutex);
        for (auto& [address, peer] : m_peers) {
            if (peer.unansweredTicks >= maxUnansweredTicks) {
                if (peer.answersProbes)
                    silent.push_back(address);
                peer.unansweredTicks = 0;
            }
            if (peer.unansweredTicks > 0) {
                ++peer.unansweredTicks;
            } else if (std::exchange(peer.hasTraffic, false)) {
                peer.unansweredTicks = 1;
                due.push_back(address);
            }
        }
    }
    for (const auto& address : silent) {
        m_silentConnections.increment();
        logState("cell", "connection is silent", { { "peer", address } });
        m_transport.reconnect(InstanceId(address));
    }
    for (const auto& address : due)
        sendProbe(address, false);
    m_probeTimer.expires_after(m_options.probeInterval);
    m_probeTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            probePeers();
    });
}

void Links::send(const InstanceId& to, const consensus::Message& message)
{
    peer::Envelope envelope;
    envelope.body.Set(peer::toWire(cellGroup, message));
    sendEnvelope(to.str(), std::move(envelope));
}

void Links::call(
    const std::string& to, const record::CallT& call, std::chrono::milliseconds timeout, ReplyCallback done)
{
    m_calls.increment();
    const auto number = m_nextCall++;
    auto& pending = m_pending[number];
    pending.done = std::move(done);
    pending.timer = std::make_unique<asio::steady_timer>(m_io, timeout);
    pending.timer->async_wait([this, number](const boost::system::error_code& error) {
        if (error)
            return;
        auto expired = m_pending.extract(number);
        if (expired.empty())
            return;
        m_timeouts.increment();
        expired.mapped().done(std::nullopt);
    });
    sendEnvelope(to, envelopeOf(call, number));
}

void Links::notify(const std::string& to, const record::CallT& call)
{
    m_calls.increment();
    sendEnvelope(to, envelopeOf(call, noCorrelation));
}

void Links::receive(peer::Envelope envelope)
{
    // The message is for a replica that had this address before its disk was lost.
    if (!envelope.to.empty() && envelope.to != m_options.self) {
        m_misdirected.increment();
        return;
    }
    if (const auto* probe = envelope.body.AsCellProbe())
        return onProbe(envelope.from, probe->answer);
    if (const auto* consensus = envelope.body.AsConsensus()) {
        auto message = peer::fromWire(*consensus);
        if (message.ok() && m_onMessage)
            m_onMessage(InstanceId(envelope.from), *std::move(message));
        else if (!message.ok())
            logError("cell", "consensus message refused",
                { { "peer", envelope.from }, { "message", std::string(message.status().message()) } });
        return;
    }
    const auto bytes = bodyBytes(envelope);
    if (!tryQueue(envelope, bytes))
        return;
    asio::post(m_io, [this, bytes, shared = std::make_shared<peer::Envelope>(std::move(envelope))] {
        m_queuedBytes -= bytes;
        if (shared->body.AsCellCall())
            onCall(*shared);
        else if (shared->body.AsCellReply())
            onReply(*shared);
    });
}

/// Counts a message that is to wait for the event loop. Returns false if too much waits already. Runs on the
/// transport's thread, the only one that adds to what waits.
bool Links::tryQueue(const peer::Envelope& envelope, size_t bytes)
{
    if (m_options.memoryBytes > 0 && m_queuedBytes + bytes > m_options.memoryBytes / 2) {
        m_overMemory.increment();
        logDecision("cell", "memory", envelope.from, "refused",
            { { "inputs",
                absl::StrCat("share=calls limit=", m_options.memoryBytes / 2, " used=", m_queuedBytes.load(),
                    " wanted=", bytes) } });
        return false;
    }
    m_queuedBytes += bytes;
    return true;
}

void Links::onCall(peer::Envelope& envelope)
{
    auto call = std::make_unique<record::CallT>();
    if (!unpackBody<record::Call>(envelope.body.AsCellCall()->call, *call)) {
        logError("cell", "cannot decode the call", { { "peer", envelope.from } });
        return;
    }
    if (!m_onCall)
        return;
    m_onCall(envelope.from, std::move(call),
        [this, from = envelope.from, number = envelope.correlation](const record::ReplyT& reply) {
            peer::wire::CellReplyT body;
            body.reply = packBody<record::Reply>(reply);
            peer::Envelope answer;
            answer.correlation = number;
            answer.body.Set(std::move(body));
            sendEnvelope(from, std::move(answer));
        });
}

void Links::onReply(peer::Envelope& envelope)
{
    auto pending = m_pending.extract(envelope.correlation);
    if (pending.empty())
        return;
    record::ReplyT reply;
    if (unpackBody<record::Reply>(envelope.body.AsCellReply()->reply, reply))
        return pending.mapped().done(std::move(reply));
    logError("cell", "cannot decode the reply", { { "peer", envelope.from } });
    pending.mapped().done(std::nullopt);
}

} // namespace turmericpier::cell
