#include "client.h"

#include <thread>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

Client::Client(Record& record, const Cluster& cluster)
    : m_record(record)
    , m_controls(cluster.controlAddresses())
    , m_entries(cluster.entryAddresses())
{
}

bool Client::putConfig(const json::object& config)
{
    const auto body = json::serialize(config);
    const auto version = std::to_string(config.at("version").to_number<int64_t>());
    for (int tries = 0; tries < 60; ++tries) {
        const auto answer = call(
            m_controls[m_next++ % m_controls.size()], "PUT", "/turmericpier/config", {}, body, 1'000);
        m_record.write("configuration " + version + ": "
            + (answer ? std::to_string(answer->status) + " " + answer->body : std::string("no answer")));
        if (answer && answer->status == 200)
            return true;
        if (answer && answer->status >= 400 && answer->status < 500 && answer->status != 408 && answer->status != 429)
            return false;
        std::this_thread::sleep_for(milliseconds(300));
    }
    return false;
}

std::optional<Message> Client::attempt(const std::string& method, const std::string& path, const std::string& body)
{
    return call(m_entries[m_next++ % m_entries.size()], method, path,
        { { "Host", host }, { "X-Turmericpier-Deadline-Ms", "3000" } }, body, 3'500);
}

bool Client::submit(const std::string& prefix, const std::string& id, const json::object& job)
{
    const auto body = json::serialize(job);
    for (int tries = 0; tries < 20; ++tries) {
        const auto answer = attempt("POST", prefix + id, body);
        m_record.write("POST " + prefix + id + " " + body + ": "
            + (answer ? std::to_string(answer->status) + " " + answer->body : std::string("no answer")));
        if (answer && answer->status == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(200));
    }
    return false;
}

std::string Client::state(const std::string& prefix, const std::string& id)
{
    const auto answer = attempt("GET", prefix + id, "");
    std::string state;
    if (answer && answer->status == 410)
        state = "410";
    if (answer && answer->status == 200) {
        json::error_code error;
        const auto value = json::parse(answer->body, error);
        if (!error && value.is_object() && value.get_object().contains("state"))
            state = std::string(value.get_object().at("state").as_string());
    }
    m_record.write("GET " + prefix + id + ": " + (state.empty() ? "no clear answer" : state));
    return state;
}

unsigned Client::cancel(const std::string& prefix, const std::string& id)
{
    const auto answer = attempt("DELETE", prefix + id, "");
    m_record.write("DELETE " + prefix + id + ": " + (answer ? std::to_string(answer->status) : "no answer"));
    return answer ? answer->status : 0;
}

json::object makeQueue(const std::string& name, const std::string& prefix, int priority, int attempts)
{
    return { { "name", name }, { "host", host }, { "path-prefix", prefix }, { "kind", "non_idempotent" },
        { "timeout-ms", 3000 }, { "target-runtime-ms", 1200 }, { "priority", priority }, { "service", "svc" },
        { "attempts", attempts }, { "stretch", 2.2 } };
}

json::object makeConfig(int64_t version, json::array queues)
{
    return { { "version", version }, { "routes", std::move(queues) },
        { "services",
            json::array { json::object { { "name", "svc" }, { "health-path", "/health" }, { "max-conns", 64 },
                { "protocol", "h1" }, { "tls", false }, { "admission-check", false }, { "spare", false } } } },
        { "limits",
            json::object { { "max-header-bytes", 16384 }, { "max-body-bytes", 262144 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } } };
}

} // namespace review
