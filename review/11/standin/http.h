#pragma once

#include <map>
#include <optional>
#include <string>

/// Blocking HTTP/1.1 over loopback sockets, as far as the stand-ins need it.
namespace review {

struct Message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    unsigned status = 0; ///< Of a response.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Reads messages from a socket and keeps what follows a message for the next one.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    /// Returns nothing if the connection ends or times out before the message is complete.
    std::optional<Message> read(bool isRequest);

private:
    bool receive();

    const int m_socket;
    std::string m_buffer;
};

bool sendAll(int socket, const std::string& bytes);
std::string makeResponse(unsigned status, const std::string& body);

/// Opens a listening socket; returns -1 on failure.
int listenOn(const std::string& ip, int port);
/// Returns a connected socket with the time-out for reads, or -1.
int connectTo(const std::string& address, int timeoutMs);

/// Sends a request on a new connection and returns the response, or nothing.
std::optional<Message> call(const std::string& address, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs);

} // namespace review
