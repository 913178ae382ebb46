#pragma once

#include "soak/cluster.h"
#include "soak/jobs.h"
#include "soak/operator.h"
#include "soak/world.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

/// A client that keeps its connection to an entry and uses it until the entry closes it.
namespace turmericpier::soak {

class Client : public std::enable_shared_from_this<Client> {
public:
    /// Sends the keys of the tenant with this number, if there are tenants.
    Client(World& world, Cluster& cluster, Operator& configuration, Jobs& jobs, int tenant);

    /// Sends requests one after the other until stop().
    void start();
    void stop() { m_stopped = true; }
    /// Asks for the state of accepted jobs, in turn, until each has ended or `until` has come.
    static void askForJobs(World& world, Cluster& cluster, Operator& configuration, Jobs& jobs, Time until);

private:
    struct Exchange {
        std::string method;
        std::string path;
        std::string body;
        std::string route; ///< Prefix of the route that the path names.
        std::string job; ///< Id of a job that the request is about; may be empty.
        std::string key; ///< Of the last attempt.
        int attempts = 0;
        Time startedAt { 0 };
        Time sentAt { 0 }; ///< Time at which the last byte was sent.
        unsigned status = 0;
        std::string answer;
    };
    enum class Failure { Refused, Cut, NoAnswer };

    void next();
    void submitJob();
    bool isForeign(const std::string& job);
    void send(const std::shared_ptr<Exchange>& exchange);
    void connect(const std::shared_ptr<Exchange>& exchange);
    void write(const std::shared_ptr<Exchange>& exchange, size_t offset);
    void read(const std::shared_ptr<Exchange>& exchange);
    void onFailure(const std::shared_ptr<Exchange>& exchange, Failure failure);
    void onAnswer(const std::shared_ptr<Exchange>& exchange);
    void onSubmitAnswer(const std::shared_ptr<Exchange>& exchange);
    void retry(const std::shared_ptr<Exchange>& exchange);
    void finish();
    bool isOpen();
    void close();

    World& m_world;
    Cluster& m_cluster;
    Operator& m_operator;
    Jobs& m_jobs;
    const int m_tenant;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    std::string m_request; ///< Bytes of the request that is being sent.
    Process* m_entry = nullptr;
    bool m_connected = false;
    bool m_stopped = false;
    bool m_hasPaused = false;
    bool m_asksForJobs = false; ///< Only reads the states of `m_openJobs`.
    std::vector<std::string> m_openJobs;
    Time m_until { 0 };
};

} // namespace turmericpier::soak
