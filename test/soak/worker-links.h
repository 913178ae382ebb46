#pragma once

#include "soak/world.h"

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <set>
#include <string>

/// Loopback proxies in front of workers. A connection ends with the incarnation of the worker to which it was made.
namespace turmericpier::soak {

/// What a cut holds back: bytes that go to a worker, and bytes that come from it.
struct Cut {
    bool toWorker = true;
    bool fromWorker = true;
};

class WorkerLinks {
public:
    explicit WorkerLinks(World& world)
        : m_world(world)
    {
    }

    /// Accepts connections for the worker at `address` and forwards them to `listen`.
    void add(const std::string& address, const std::string& listen);
    /// Holds bytes, and the ends of connections, back until `end`. They are delivered afterwards if both sides of their
    /// connection still exist. No connection is made meanwhile, whichever way is cut.
    void cut(const std::string& address, Cut cut, Time end);
    /// Refuses connections from now on, as a machine does on which no process listens, or accepts them again.
    void refuse(const std::string& address, bool refuses);

private:
    struct Listener;
    class Connection;
    struct Cuts {
        Time toWorker { 0 };
        Time fromWorker { 0 };
    };

    void listen(const std::shared_ptr<Listener>& listener);
    void accept(const std::shared_ptr<Listener>& listener);

    World& m_world;
    std::map<std::string, std::shared_ptr<Listener>> m_listeners; ///< By address.
    std::map<std::string, Cuts> m_cuts; ///< Ends of the cuts by address.
    std::set<std::shared_ptr<Connection>> m_connections;
};

} // namespace turmericpier::soak
