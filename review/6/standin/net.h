// Blocking HTTP/1.1 over loopback, for the stand-ins of the second review.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct Reply {
    int status = 0; // 0: no complete response.
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
    bool refused = false; // No process listens at the address.
};

struct Request {
    std::string method;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
};

using Headers = std::map<std::string, std::string>;

/// Sends one request on a connection of its own and waits for the response.
Reply call(const std::string& address, const std::string& method, const std::string& path, const Headers& headers,
    const std::string& body, int timeoutMs);

/// Accepts connections and answers the requests on each of them, one after the other, on a thread for each connection.
class HttpServer {
public:
    using Handler = std::function<Reply(const Request&)>;

    ~HttpServer() { stop(); }
    /// Returns false if the address is in use.
    bool start(const std::string& address, Handler handler);
    /// Closes the listener and resets all connections, as if the process had ended.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Returns true if nothing is bound to the address.
bool isFree(const std::string& address);
