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
    std::string rack;
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
    };
    struct Wait {
        Time until;
        http::Respond respond;
    };

    void handle(const http::Request& request, const http::Respond& respond);
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
};

} // namespace turmericpier::soak
