#pragma once

#include "soak/cluster.h"
#include "soak/tenants.h"
#include "soak/world.h"
#include "turmericpier/http/client.h"

#include <map>
#include <set>
#include <string>

/// Operators that change the configuration, several at a time, and read it back. Checks what the answers promise.
namespace turmericpier::soak {

class Operator {
public:
    static constexpr const char* host = "jobs.example";

    Operator(World& world, Cluster& cluster, http::Client& client, int tenants);

    /// Sends the first configuration until it is acknowledged.
    void sendFirst(std::function<void()> done);
    /// Changes and reads the configuration until stop().
    void start();
    void stop() { m_stopped = true; }
    /// Reads the configuration at all control processes until `until`, and checks that the newest is known.
    void readBack(Time until);
    /// Checks, after the end of readBack(), that the configuration was read.
    void checkReadBack() const;

    std::string baseRoute() const { return "/base/"; }
    /// Returns the prefix of a route that exists, existed, or never existed.
    std::string anyRoute();
    /// Checks the answer to a request on a route: 200 says that the route exists, 404 that it does not.
    void onRouteAnswer(const std::string& route, Time sentAt, unsigned status);
    Tenants& tenants() { return m_tenants; }
    /// Checks the answer to a request with a key: 401 says that no tenant has it, other answers that one has.
    void onKeyAnswer(const std::string& key, Time sentAt, unsigned status);
    /// Returns the highest cap of the first tenant that a start at this time may follow.
    int64_t maxCapAt(Time time) const;

private:
    struct Version {
        std::string document;
        std::set<std::string> routes; ///< Prefixes.
        TenantSettings tenants;
        std::optional<Time> sentAt;
        std::optional<Time> acknowledgedAt;
    };
    enum class Resend { UntilAcknowledged, Once };

    int64_t addVersion();
    std::string makeInvalidDocument();
    void change();
    void put(int64_t version, Resend resend);
    void putInvalid(const std::string& document, int attempts);
    void readLoop();
    void read(Process& control);
    /// Returns the newest version acknowledged by `time`, or 0.
    int64_t acknowledgedBy(Time time) const;
    /// Returns the versions that may be in force for a request sent at `sentAt`: the newest that must be, and all later
    /// ones that were sent. A null one stands for none.
    std::vector<const Version*> versionsFor(Time sentAt) const;

    World& m_world;
    Cluster& m_cluster;
    http::Client& m_client;
    std::map<int64_t, Version> m_versions;
    std::set<std::string> m_routes; ///< Routes of the newest version.
    std::vector<std::string> m_knownRoutes; ///< All routes that any version has had.
    Tenants m_tenants;
    int m_nextRoute = 1;
    int m_inFlight = 0;
    bool m_stopped = false;
    bool m_readingBack = false;
    int m_readBack = 0; ///< Answers during readBack().
};

} // namespace turmericpier::soak
