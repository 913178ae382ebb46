#pragma once

#include "cluster.h"
#include "http.h"
#include "record.h"

#include <boost/json.hpp>
#include <string>

/// Stand-in for clients and for the operator.
namespace review {

class Client {
public:
    Client(Record& record, const Cluster& cluster);

    /// Sends the configuration until it is acknowledged. Returns false if it was refused or not acknowledged in time.
    bool putConfig(const boost::json::object& config);
    /// Sends the job, again after no answer or a refusal, until it is accepted. Returns false if it never was.
    bool submit(const std::string& prefix, const std::string& id, const boost::json::object& job);
    /// Returns the state shown, "410" if there is no such job, or "" without an answer.
    std::string state(const std::string& prefix, const std::string& id);
    /// Returns the status of the answer; 0 without one.
    unsigned cancel(const std::string& prefix, const std::string& id);

    /// One attempt. Returns nothing without an answer.
    std::optional<Message> attempt(const std::string& method, const std::string& path, const std::string& body);

private:
    Record& m_record;
    const std::vector<std::string> m_controls;
    const std::vector<std::string> m_entries;
    size_t m_next = 0;
};

/// The host of all queues.
inline constexpr const char* host = "till.example";

/// Makes a queue of the service "svc".
boost::json::object makeQueue(const std::string& name, const std::string& prefix, int priority, int attempts);
boost::json::object makeConfig(int64_t version, boost::json::array queues);

} // namespace review
