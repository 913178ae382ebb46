#include "turmericpier/peer/transport.h"

#include "peer/incoming.h"
#include "peer/outgoing.h"
#include "peer_generated.h"
#include "turmericpier/base/log.h"
#include "turmericpier/peer/frame.h"

#include <absl/hash/hash.h>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>
#include <mutex>
#include <optional>
#include <thread>

namespace turmericpier::peer {

namespace asio = boost::asio;

struct Transport::Impl {
    Impl(TransportOptions transportOptions, Metrics& metrics)
        : options(std::move(transportOptions))
        , metrics(metrics)
        , dropped(metrics.counter("peer_messages_dropped_total"))
        , incoming(io, { options.maxIncoming, options.maxMessageBytes, options.memoryBytes }, metrics)
    {
        for (const auto& [peer, address] : options.peers)
            addPeer(peer, address);
    }

    std::shared_ptr<detail::Outgoing> addPeer(InstanceId peer, Address address)
    {
        auto link = std::make_shared<detail::Outgoing>(io, peer, std::move(address),
            detail::Outgoing::Limits { options.queuePerPeer, options.queueBytesPerPeer, options.userTimeout }, metrics,
            std::hash<std::string> {}(options.self.str() + '/' + peer.str()));
        peers[std::move(peer)] = link;
        return link;
    }

    std::shared_ptr<detail::Outgoing> find(const InstanceId& peer)
    {
        std::lock_guard lock(mutex);
        const auto found = peers.find(peer);
        return found == peers.end() ? nullptr : found->second;
    }

    bool sendToSelf(Envelope envelope)
    {
        if (selfQueued.fetch_add(1) >= options.queuePerPeer) {
            --selfQueued;
            dropped.increment();
            return false;
        }
        // Asio may copy handlers; a shared pointer avoids copies of the envelope.
        asio::post(io, [this, shared = std::make_shared<Envelope>(std::move(envelope))] {
            --selfQueued;
            if (handler)
                handler(std::move(*shared));
        });
        return true;
    }

    const TransportOptions options;
    Metrics& metrics;
    Counter& dropped;
    asio::io_context io { 1 }; // Declared before the members with sockets or timers, which must not outlive it.
    detail::Incoming incoming;
    Handler handler;
    std::atomic<size_t> selfQueued { 0 }; ///< Messages of this process to itself that the handler has not received yet.
    mutable std::mutex mutex; ///< Guards `peers`.
    std::map<InstanceId, std::shared_ptr<detail::Outgoing>> peers;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work; ///< Keeps the event loop running.
    std::thread thread;
};

Transport::Transport(TransportOptions options, Metrics& metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), metrics))
{
}

Transport::~Transport() { stop(); }

void Transport::setHandler(Handler handler)
{
    m_impl->incoming.setHandler(handler);
    m_impl->handler = std::move(handler);
}

absl::Status Transport::start()
{
    if (auto status = m_impl->incoming.listen(m_impl->options.listen); !status.ok())
        return status;
    {
        std::lock_guard lock(m_impl->mutex);
        for (const auto& [peer, link] : m_impl->peers)
            asio::post(m_impl->io, [link = link] { link->connect(); });
    }
    m_impl->work.emplace(m_impl->io.get_executor());
    m_impl->thread = std::thread([this] { m_impl->io.run(); });
    return absl::OkStatus();
}

void Transport::stop()
{
    m_impl->io.stop();
    if (m_impl->thread.joinable())
        m_impl->thread.join();
}

bool Transport::send(const InstanceId& to, Envelope envelope)
{
    envelope.from = m_impl->options.self.str();
    envelope.incarnation = m_impl->options.incarnation.value;
    if (to == m_impl->options.self)
        return m_impl->sendToSelf(std::move(envelope));
    const auto link = m_impl->find(to);
    if (!link) {
        m_impl->dropped.increment();
        return false;
    }
    auto frame = encodeFrame(envelope);
    if (!frame.ok()) {
        m_impl->dropped.increment();
        logError(
            "peer", "message not sent", { { "peer", to.str() }, { "message", std::string(frame.status().message()) } });
        return false;
    }
    return link->push(*std::move(frame));
}

void Transport::setPeer(InstanceId peer, Address address)
{
    std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->peers.find(peer);
    if (found != m_impl->peers.end()) {
        asio::post(m_impl->io, [link = found->second, address = std::move(address)] { link->setAddress(address); });
        return;
    }
    const auto link = m_impl->addPeer(std::move(peer), std::move(address));
    asio::post(m_impl->io, [link] { link->connect(); });
}

void Transport::removePeer(const InstanceId& peer)
{
    std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->peers.find(peer);
    if (found == m_impl->peers.end())
        return;
    asio::post(m_impl->io, [link = found->second] { link->close(); });
    m_impl->peers.erase(found);
}

void Transport::reconnect(const InstanceId& peer)
{
    if (const auto link = m_impl->find(peer))
        asio::post(m_impl->io, [link] { link->reconnect(); });
}

uint16_t Transport::port() const { return m_impl->incoming.port(); }

std::string Transport::dump() const
{
    boost::json::object peers;
    std::lock_guard lock(m_impl->mutex);
    for (const auto& [peer, link] : m_impl->peers)
        peers[peer.str()] = link->dump();
    return boost::json::serialize(boost::json::object {
        { "port", port() }, { "incoming", m_impl->incoming.connections() }, { "peers", std::move(peers) } });
}

} // namespace turmericpier::peer
