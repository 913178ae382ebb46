#pragma once

#include "soak/world.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>

/// Loopback proxies in front of the peer addresses of all processes. A connection between two processes carries
/// messages one way only, so that each direction can be disturbed alone.
namespace turmericpier::soak {

/// Addresses of the sender and the receiver of messages.
using Link = std::pair<std::string, std::string>;

class Links {
public:
    explicit Links(World& world)
        : m_world(world)
    {
    }

    /// Accepts connections for the process with the peer address `to` and forwards them to `listen`.
    void add(const std::string& to, const std::string& listen);
    /// Holds the bytes on the link back until `end`, also on new connections. They are delivered afterwards.
    void cut(const Link& link, Time end);
    void delay(const Link& link, milliseconds time) { m_delays[link] = time; }
    void clearDelays() { m_delays.clear(); }
    /// Resets all connections.
    void resetAll();
    /// Forwards nothing more on the present connections, and keeps them open. New connections work.
    void silenceAll();

private:
    struct Listener;
    class Connection;

    void accept(const std::shared_ptr<Listener>& listener);
    milliseconds holdTime(const Link& link) const;

    World& m_world;
    std::map<Link, Time> m_cutUntil;
    std::map<Link, milliseconds> m_delays;
    std::set<std::shared_ptr<Connection>> m_connections;
};

} // namespace turmericpier::soak
