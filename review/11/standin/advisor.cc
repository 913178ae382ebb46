#include "advisor.h"

#include "http.h"

#include <boost/json.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {
    constexpr std::chrono::milliseconds decisionTime { 28 };
} // namespace

Advisor::Advisor(Record& record, std::string ip, int port)
    : m_record(record)
    , m_ip(std::move(ip))
    , m_port(port)
{
}

bool Advisor::start()
{
    m_listener = listenOn(m_ip, m_port);
    if (m_listener < 0)
        return false;
    std::thread([this] {
        for (;;) {
            const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0)
                std::thread([this, socket] { serveConnection(socket); }).detach();
        }
    }).detach();
    return true;
}

void Advisor::serveConnection(int socket)
{
    Reader reader(socket);
    while (const auto request = reader.read(true)) {
        json::error_code error;
        const auto value = json::parse(request->body, error);
        const auto* body = error ? nullptr : value.if_object();
        const auto* workers = body ? body->if_contains("workers") : nullptr;
        json::array good;
        if (workers && workers->is_array()) {
            for (const auto& worker : workers->get_array())
                good.push_back(json::array { worker, "ticket" });
        }
        m_record.write("advise " + request->body.substr(0, 60));
        std::this_thread::sleep_for(decisionTime);
        if (!sendAll(socket, makeResponse(200, json::serialize(json::object { { "good", std::move(good) } }))))
            break;
    }
    ::close(socket);
}

} // namespace review
