#include "http.h"

#include <arpa/inet.h>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {
    std::string toLower(std::string text)
    {
        for (auto& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }

    sockaddr_in makeAddress(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }
} // namespace

bool Reader::receive()
{
    char bytes[16384];
    const auto size = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(size));
    return true;
}

std::optional<Message> Reader::read(bool isRequest)
{
    size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive())
            return std::nullopt;
    }
    Message message;
    const auto head = m_buffer.substr(0, end + 2);
    const auto lineEnd = head.find("\r\n");
    const auto line = head.substr(0, lineEnd);
    const auto first = line.find(' ');
    if (first == std::string::npos)
        return std::nullopt;
    if (isRequest) {
        message.method = line.substr(0, first);
        message.target = line.substr(first + 1, line.find(' ', first + 1) - first - 1);
    } else {
        message.status = static_cast<unsigned>(std::stoul(line.substr(first + 1, 3)));
    }
    for (size_t at = lineEnd + 2; at < head.size();) {
        const auto next = head.find("\r\n", at);
        const auto field = head.substr(at, next - at);
        const auto colon = field.find(':');
        if (colon != std::string::npos) {
            const auto value = field.find_first_not_of(' ', colon + 1);
            message.headers[toLower(field.substr(0, colon))] = value == std::string::npos ? "" : field.substr(value);
        }
        at = next + 2;
    }
    m_buffer.erase(0, end + 4);
    const auto length = message.headers.find("content-length");
    const auto size = length == message.headers.end() ? 0 : std::stoul(length->second);
    while (m_buffer.size() < size) {
        if (!receive())
            return std::nullopt;
    }
    message.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return message;
}

bool sendAll(int socket, const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const auto size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<size_t>(size);
    }
    return true;
}

std::string makeResponse(unsigned status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int listenOn(const std::string& ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = makeAddress(ip, port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && ::listen(socket, 256) == 0)
        return socket;
    ::close(socket);
    return -1;
}

int connectTo(const std::string& address, int timeoutMs)
{
    const auto colon = address.rfind(':');
    const auto target = makeAddress(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

std::optional<Message> call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    const int socket = connectTo(address, timeoutMs);
    if (socket < 0)
        return std::nullopt;
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        request += "Host: " + address + "\r\n";
    for (const auto& [name, value] : headers)
        request += name + ": " + value + "\r\n";
    if (!body.empty())
        request += "Content-Type: application/json\r\n";
    request += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::optional<Message> response;
    if (sendAll(socket, request))
        response = Reader(socket).read(false);
    ::close(socket);
    return response;
}

} // namespace review
