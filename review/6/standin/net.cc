#include <memory>

#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {
using Clock = std::chrono::steady_clock;

sockaddr_in parse(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

int msLeft(Clock::time_point end)
{
    return static_cast<int>(
        std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count()));
}

bool sendAll(int fd, const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

/// Reads one message with a content length into `head` and `body`. `buffer` keeps what follows it.
bool readMessage(int fd, std::string& buffer, std::string& head, std::string& body, int timeoutMs)
{
    const auto end = Clock::now() + std::chrono::milliseconds(timeoutMs);
    size_t headEnd = std::string::npos;
    size_t length = 0;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                head = buffer.substr(0, headEnd + 2);
                buffer.erase(0, headEnd + 4);
                auto lower = head;
                std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
                const auto field = lower.find("\r\ncontent-length:");
                length = field == std::string::npos ? 0 : std::stoul(lower.substr(field + 17));
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= length) {
            body = buffer.substr(0, length);
            buffer.erase(0, length);
            return true;
        }
        pollfd wait { fd, POLLIN, 0 };
        if (::poll(&wait, 1, timeoutMs < 0 ? -1 : msLeft(end)) <= 0)
            return false;
        char bytes[65536];
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buffer.append(bytes, static_cast<size_t>(n));
    }
}

Headers parseHeaders(const std::string& head)
{
    Headers headers;
    for (auto line = head.find("\r\n"); line != std::string::npos && line + 2 < head.size();) {
        const auto next = head.find("\r\n", line + 2);
        const auto text = head.substr(line + 2, next - line - 2);
        if (const auto colon = text.find(':'); colon != std::string::npos) {
            auto name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const auto value = text.find_first_not_of(' ', colon + 1);
            headers[name] = value == std::string::npos ? "" : text.substr(value);
        }
        line = next;
    }
    return headers;
}
} // namespace

Reply call(const std::string& address, const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body, int timeoutMs)
{
    Reply reply;
    const auto end = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const auto to = parse(address);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return reply;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        reply.refused = errno == ECONNREFUSED;
        ::close(fd);
        return reply;
    }
    pollfd wait { fd, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, msLeft(end)) <= 0 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        reply.refused = error == ECONNREFUSED;
        ::close(fd);
        return reply;
    }
    timeval sendLimit { 1, 0 };
    ::fcntl(fd, F_SETFL, 0);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &sendLimit, sizeof sendLimit);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (!headers.count("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (sendAll(fd, text) && readMessage(fd, buffer, head, reply.body, msLeft(end))) {
        reply.status = std::stoi(head.substr(9, 3));
        reply.headers = parseHeaders(head);
    }
    ::close(fd);
    return reply;
}

struct HttpServer::State {
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    std::set<int> open;
    bool stopped = false;
};

bool HttpServer::start(const std::string& address, Handler handler)
{
    auto state = std::make_shared<State>();
    state->handler = std::move(handler);
    state->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = parse(address);
    if (::bind(state->listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0
        || ::listen(state->listener, 256) != 0) {
        ::close(state->listener);
        return false;
    }
    m_state = state;
    std::thread([state] {
        while (true) {
            const int fd = ::accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                std::lock_guard lock(state->mutex);
                if (state->stopped)
                    return;
                continue;
            }
            {
                std::lock_guard lock(state->mutex);
                if (state->stopped) {
                    ::close(fd);
                    return;
                }
                state->open.insert(fd);
            }
            std::thread([state, fd] {
                const int noDelay = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
                std::string buffer;
                std::string head;
                std::string body;
                while (readMessage(fd, buffer, head, body, -1)) {
                    Request request;
                    const auto first = head.find(' ');
                    const auto second = head.find(' ', first + 1);
                    request.method = head.substr(0, first);
                    request.path = head.substr(first + 1, second - first - 1);
                    request.headers = parseHeaders(head);
                    request.body = std::move(body);
                    const auto reply = state->handler(request);
                    if (reply.status == 0)
                        break; // No response: the connection ends.
                    const auto text = "HTTP/1.1 " + std::to_string(reply.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size())
                        + "\r\n\r\n" + reply.body;
                    if (!sendAll(fd, text))
                        break;
                }
                std::lock_guard lock(state->mutex);
                state->open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
    return true;
}

void HttpServer::stop()
{
    if (!m_state)
        return;
    std::lock_guard lock(m_state->mutex);
    m_state->stopped = true;
    ::shutdown(m_state->listener, SHUT_RDWR);
    ::close(m_state->listener);
    for (const int fd : m_state->open)
        ::shutdown(fd, SHUT_RDWR);
    m_state = nullptr;
}

bool isFree(const std::string& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = parse(address);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    return free;
}
