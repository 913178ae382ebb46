#include "delay.h"

#include "cluster.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <deque>
#include <memory>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {
sockaddr_in parse(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

struct Sockets {
    int a;
    int b;
    Sockets(int a, int b)
        : a(a)
        , b(b)
    {
    }
    ~Sockets()
    {
        ::close(a);
        ::close(b);
    }
};

/// Forwards from one socket to the other until either is closed.
void forward(const std::shared_ptr<Sockets>& sockets, int from, int to, int delayMs)
{
    struct Queue {
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::pair<int64_t, std::string>> parts; ///< With the times of their delivery; empty at the end.
    };
    auto queue = std::make_shared<Queue>();
    std::thread([sockets, queue, from, delayMs] {
        char bytes[65536];
        while (true) {
            const auto n = ::recv(from, bytes, sizeof bytes, 0);
            std::lock_guard lock(queue->mutex);
            queue->parts.emplace_back(now() + delayMs, std::string(bytes, n > 0 ? static_cast<size_t>(n) : 0));
            queue->changed.notify_one();
            if (n <= 0)
                return;
        }
    }).detach();
    std::thread([sockets, queue, to] {
        while (true) {
            std::unique_lock lock(queue->mutex);
            queue->changed.wait(lock, [&] { return !queue->parts.empty(); });
            auto part = std::move(queue->parts.front());
            queue->parts.pop_front();
            lock.unlock();
            sleepMs(part.first - now());
            size_t sent = 0;
            while (sent < part.second.size()) {
                const auto n = ::send(to, part.second.data() + sent, part.second.size() - sent, MSG_NOSIGNAL);
                if (n <= 0)
                    break;
                sent += static_cast<size_t>(n);
            }
            if (part.second.empty() || sent < part.second.size()) {
                ::shutdown(sockets->a, SHUT_RDWR);
                ::shutdown(sockets->b, SHUT_RDWR);
                return;
            }
        }
    }).detach();
}
} // namespace

bool startDelay(const std::string& from, const std::string& to, int delayMs)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = parse(from);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(listener, 256) != 0) {
        ::close(listener);
        return false;
    }
    std::thread([listener, to, delayMs] {
        while (true) {
            const int in = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (in < 0)
                continue;
            const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto target = parse(to);
            auto sockets = std::make_shared<Sockets>(in, out);
            if (::connect(out, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
                continue;
            const int noDelay = 1;
            ::setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            ::setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            forward(sockets, in, out, delayMs);
            forward(sockets, out, in, delayMs);
        }
    }).detach();
    return true;
}
