#pragma once

#include "soak/jobs.h"
#include "soak/world.h"
#include "turmericpier/http/client.h"
#include "turmericpier/http/server.h"

#include <boost/json.hpp>
#include <map>
#include <string>

/// Stand-in for a worker of the users' platform: heartbeats, orders, polls, leases and fencing tokens.
namespace turmericpier::soak {

struct WorkerOptions {
    std::string id;
    std::string address;
    std::string listen; ///< Address of the server if it is behind a proxy; empty if it is `address`.
    std::string rack;
    milliseconds stopTime { 100 }; ///< Time that a stop takes.
    milliseconds longestLease { 10'000 };
    milliseconds firstHeartbeatDelay { 250 }; ///< Longest time from a restart to the first heartbeat.
    std::string label; ///< Empty for none beside the usual ones.
    /// Returns the addresses to which heartbeats can be sent.
    std::function<std::vector<std::string>()> controls;
};

class Worker {
public:
    Worker(World& world, Jobs& jobs, http::Client& client, WorkerOptions options);

    void start();
    /// Ends at once, and starts again under the same id and address after `downTime`. The next incarnation serves
    /// before it sends its first heartbeat.
    void crash(milliseconds downTime);
    /// Carries the orders that come until `end` out then, and ends runs meanwhile. Its answers may find no one.
    void hang(Time end);
    /// Leaves some of the orders that come until `end` unanswered and carries them out seconds later.
    void actLate(Time end) { m_lateUntil = std::max(m_lateUntil, end); }
    /// Loses the heartbeats until `end`.
    void loseHeartbeats(Time end) { m_heartbeatsLostUntil = std::max(m_heartbeatsLostUntil, end); }
    bool isUp() const { return m_server != nullptr; }
    bool isIdle() const { return m_running.empty(); }
    const std::string& address() const { return m_options.address; }
    /// Sends no more heartbeats.
    void stop() { m_stopped = true; }

private:
    struct ActiveRun {
        int64_t number = 0;
        size_t history = 0; ///< Place of the run in the history of its task.
        bool stopping = false;
    };
    struct End {
        int64_t number = 0;
        std::string task;
        int64_t run = 0;
        std::string how;
        size_t history = 0;
        bool lapsed = false; ///< The lease of the worker has lapsed since, so that the end is never noted.
    };
    struct Wait {
        Time until;
        http::Respond respond;
    };

    void handle(const http::Request& request, const http::Respond& respond);
    void receive(const http::Request& request, const http::Respond& respond);
    void forgetUnnotedEnds();
    http::Response startRun(const boost::json::object& body);
    http::Response stopRun(const boost::json::object& body);
    void poll(const boost::json::object& body, const http::Respond& respond);
    http::Response listRuns() const;
    http::Response makeAnswer(unsigned status, boost::json::object body) const;
    bool isFenced(const boost::json::object& body);
    void extendLease(const boost::json::object& body);
    void end(const std::string& task, const std::string& how);
    void check(uint64_t incarnation);
    void sendHeartbeat(uint64_t incarnation, size_t attempts);
    bool isHanging() const { return m_world.now() < m_hangsUntil; }
    int64_t clockMs() const { return (m_world.now() - m_startedAt).count() + 1; }

    World& m_world;
    Jobs& m_jobs;
    http::Client& m_client;
    const WorkerOptions m_options;
    std::unique_ptr<http::Server> m_server;
    uint64_t m_incarnation = 0;
    bool m_stopped = false;
    int64_t m_born = 0; ///< Unix time in milliseconds.
    Time m_startedAt { 0 };
    int64_t m_fence = 0;
    int64_t m_leaseUntilMs = 0;
    int64_t m_nextEnd = 1;
    int64_t m_heartbeats = 0;
    std::string m_heartbeatAddress; ///< Empty if a new one is to be chosen.
    std::map<std::string, ActiveRun> m_running;
    std::map<std::string, int64_t> m_highestEnded; ///< Highest run of each task that was stopped or has ended here.
    std::vector<End> m_ends;
    std::vector<Wait> m_waits;
    Time m_hangsUntil { 0 };
    Time m_lateUntil { 0 };
    Time m_heartbeatsLostUntil { 0 };
};

} // namespace turmericpier::soak
