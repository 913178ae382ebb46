#include "limits-processes.h"

#include "peer_generated.h"
#include "turmericpier/peer/frame.h"
#include "turmericpier/peer/transport.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace turmericpier::test {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {
    constexpr auto pollInterval = milliseconds(20);
    // Ends a test whose process hangs; no verdict depends on it otherwise.
    constexpr auto hangTimeout = std::chrono::seconds(60);
    // For what is still in the buffers of the kernel and for the plans of the leader. Shorter than the time that a
    // process allows for a body.
    constexpr auto holdTime = milliseconds(2'000);
    constexpr auto resendInterval = milliseconds(300);
    constexpr int answerTimeoutMs = 5'000;
    constexpr int smallReceiveBuffer = 4'096;
    constexpr const char* queueHost = "jobs.example";
    constexpr const char* queuePrefix = "/q/";

    sockaddr_in parseAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        sockaddr_in address {};
        address.sin_family = AF_INET;
        int port = 0;
        if (colon != std::string::npos)
            REQUIRE(absl::SimpleAtoi(text.substr(colon + 1), &port));
        address.sin_port = htons(static_cast<uint16_t>(port));
        REQUIRE(::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1);
        return address;
    }

    /// A TCP socket that is closed on destruction.
    class Socket {
    public:
        explicit Socket(int file)
            : m_file(file)
        {
        }
        ~Socket() { close(); }
        Socket(Socket&& other) noexcept
            : m_file(std::exchange(other.m_file, -1))
        {
        }
        Socket(const Socket&) = delete;
        Socket& operator=(const Socket&) = delete;
        Socket& operator=(Socket&&) = delete;

        int file() const { return m_file; }
        bool isOpen() const { return m_file >= 0; }
        void close()
        {
            if (m_file >= 0)
                ::close(m_file);
            m_file = -1;
        }

    private:
        int m_file;
    };

    /// Connects from a loopback address. The socket is closed if the peer refuses.
    Socket connectFrom(const std::string& source, const std::string& target, int receiveBuffer = 0)
    {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        REQUIRE(socket.isOpen());
        if (receiveBuffer > 0)
            ::setsockopt(socket.file(), SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const auto from = parseAddress(source);
        REQUIRE(::bind(socket.file(), reinterpret_cast<const sockaddr*>(&from), sizeof from) == 0);
        const auto to = parseAddress(target);
        if (::connect(socket.file(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
            socket.close();
        return socket;
    }

    /// Sends what an attack sends over one connection, as far as the peer takes it.
    class Sender {
    public:
        Sender(Socket socket, const Attack& attack)
            : m_socket(std::move(socket))
            , m_attack(attack)
            , m_pending(attack.prefix)
        {
            if (m_socket.isOpen())
                ::fcntl(m_socket.file(), F_SETFL, O_NONBLOCK);
        }

        int file() const { return m_socket.file(); }
        bool isDone() const { return !m_socket.isOpen() || m_sent >= m_attack.bytes; }

        void write()
        {
            if (m_offset == m_pending.size()) {
                m_pending = m_attack.filler;
                m_offset = 0;
            }
            const auto size = std::min(m_pending.size() - m_offset, m_attack.bytes - m_sent);
            const auto written = ::send(m_socket.file(), m_pending.data() + m_offset, size, MSG_NOSIGNAL);
            if (written < 0 && errno != EAGAIN)
                return m_socket.close();
            m_offset += static_cast<size_t>(std::max<ssize_t>(0, written));
            m_sent += static_cast<size_t>(std::max<ssize_t>(0, written));
        }

        void read()
        {
            std::array<char, 65'536> buffer {};
            const auto size = ::recv(m_socket.file(), buffer.data(), buffer.size(), 0);
            if (size == 0 || (size < 0 && errno != EAGAIN))
                m_socket.close();
        }

    private:
        Socket m_socket;
        const Attack& m_attack;
        std::string m_pending;
        size_t m_offset = 0; ///< Bytes of `m_pending` that were sent.
        size_t m_sent = 0;
    };

    /// Sends on all connections at a time until all are done or `end` is reached.
    void sendAll(std::vector<Sender>& senders, bool reads, Clock::time_point end)
    {
        while (Clock::now() < end) {
            std::vector<pollfd> waits;
            std::vector<Sender*> open;
            for (auto& sender : senders) {
                if (sender.isDone())
                    continue;
                waits.push_back({ sender.file(), static_cast<short>(POLLOUT | (reads ? POLLIN : 0)), 0 });
                open.push_back(&sender);
            }
            if (open.empty())
                return;
            ::poll(waits.data(), waits.size(), static_cast<int>(pollInterval.count()));
            for (size_t i = 0; i < open.size(); ++i) {
                if ((waits[i].revents & POLLIN) != 0)
                    open[i]->read();
                if (!open[i]->isDone() && (waits[i].revents & (POLLOUT | POLLERR | POLLHUP)) != 0)
                    open[i]->write();
            }
        }
    }

    std::string makeRequest(const std::string& method, const std::string& path, const std::string& body)
    {
        return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: ", queueHost,
            "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: ", body.size(), "\r\n\r\n",
            body);
    }

    /// Sends a request and reads until the peer closes the connection.
    Answer exchange(const std::string& source, const std::string& target, const std::string& request)
    {
        const auto socket = connectFrom(source, target);
        if (!socket.isOpen())
            return {};
        for (size_t sent = 0; sent < request.size();) {
            const auto size = ::send(socket.file(), request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break; // The peer may have refused the request before its end.
            sent += static_cast<size_t>(size);
        }
        std::string text;
        std::array<char, 65'536> buffer {};
        while (true) {
            pollfd wait { socket.file(), POLLIN, 0 };
            if (::poll(&wait, 1, answerTimeoutMs) <= 0)
                break;
            const auto size = ::recv(socket.file(), buffer.data(), buffer.size(), 0);
            if (size <= 0)
                break;
            text.append(buffer.data(), static_cast<size_t>(size));
        }
        Answer answer;
        const auto end = text.find("\r\n\r\n");
        if (end == std::string::npos || !text.starts_with("HTTP/1.1 "))
            return answer;
        if (!absl::SimpleAtoi(text.substr(9, 3), &answer.status))
            return {};
        answer.body = text.substr(end + 4);
        return answer;
    }
} // namespace

Process::Process(const std::vector<std::string>& arguments, const std::filesystem::path& output)
{
    const auto parent = ::getpid();
    std::vector<char*> argv;
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    REQUIRE(file >= 0);
    m_pid = ::fork();
    REQUIRE(m_pid >= 0);
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(file);
}

Process::~Process()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

bool Process::isAlive()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) != 0)
        m_pid = 0;
    return m_pid > 0;
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

size_t Process::peakMemoryMb() const
{
    std::ifstream in(absl::StrCat("/proc/", m_pid, "/status"));
    std::string key;
    while (in >> key) {
        size_t kilobytes = 0;
        if (key == "VmHWM:" && in >> kilobytes)
            return kilobytes / 1'024;
    }
    return 0;
}

size_t Process::openDescriptors() const
{
    const std::filesystem::directory_iterator files(absl::StrCat("/proc/", m_pid, "/fd"));
    return static_cast<size_t>(std::distance(begin(files), end(files)));
}

TestCell::TestCell(MachineLimits control, MachineLimits entry)
    : m_controlLimits(control)
    , m_entryLimits(entry)
{
    auto folder = (std::filesystem::temp_directory_path() / "limits-XXXXXX").string();
    REQUIRE(::mkdtemp(folder.data()));
    m_folder = folder;
    std::filesystem::create_directories(m_folder / "data");
    m_control = std::make_unique<Process>(std::vector<std::string> { TURMERICPIER_PROGRAM, "cell-control",
                                              writeSettings("control", controlHost, control).string() },
        m_folder / "control.log");
    startEntry();
}

void TestCell::startEntry()
{
    m_entry = std::make_unique<Process>(
        std::vector<std::string> { TURMERICPIER_PROGRAM, "cell-entry",
            writeSettings("entry", entryHost, m_entryLimits).string(), "--metrics_port=9464" },
        m_folder / "entry.log");
}

void TestCell::stopEntry() { m_entry.reset(); }

void TestCell::suspendControl(bool suspended) const { m_control->signal(suspended ? SIGSTOP : SIGCONT); }

TestCell::~TestCell()
{
    m_entry.reset();
    m_control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::string TestCell::host(int number) const
{
    // One network for each test program, so that several may run on one machine.
    constexpr int firstNetwork = 20;
    constexpr int networks = 230;
    return absl::StrCat("127.", firstNetwork + ::getpid() % networks, ".77.", number);
}

std::string TestCell::address(int number, int port) const { return absl::StrCat(host(number), ":", port); }

std::filesystem::path TestCell::writeSettings(const std::string& name, int number, MachineLimits limits) const
{
    const bool isControl = number == controlHost;
    auto text = absl::StrCat("node = \"", name, "\"\nip = \"", host(number), "\"\nzone = \"a\"\nregion = \"r\"\n",
        "internal-port-range = [7720, 7735]\nseeds = [\"", controlAddress(), "\"]\nbootstrap = true\n",
        "heartbeat-interval-ms = 1500\n",
        isControl ? absl::StrCat("data-dir = \"", (m_folder / "data").string(), "\"\n") : "", "[listen]\n",
        isControl ? absl::StrCat("control = \"", controlAddress(), "\"\n")
                  : absl::StrCat("front = \"", clientAddress(), "\"\n"),
        "[limits]\nmemory-mb = ", limits.memoryMb, "\nmax-fds = ", limits.descriptors, "\n");
    const auto file = m_folder / (name + ".toml");
    std::ofstream(file) << text;
    return file;
}

void TestCell::configure(size_t documentBytes)
{
    const auto config = absl::StrCat("{\"version\":1,\"note\":\"", std::string(documentBytes, 'x'),
        "\",\"routes\":[{\"name\":\"q\",\"host\":\"", queueHost, "\",\"path-prefix\":\"", queuePrefix,
        "\",\"kind\":\"non_idempotent\",\"timeout-ms\":3000,\"service\":\"svc\",\"attempts\":3}],",
        "\"services\":[{\"name\":\"svc\"}],\"limits\":{}}");
    REQUIRE(request(controlAddress(), "PUT", "/turmericpier/config", config).status == 200);
    REQUIRE(submitOrdinaryJob().status == 200);
}

std::string TestCell::nextJobPath() { return absl::StrFormat("%s%016x", queuePrefix, m_nextJob++); }

Answer TestCell::request(const std::string& target, const std::string& method, const std::string& path,
    const std::string& body, int status) const
{
    const auto end = Clock::now() + hangTimeout;
    Answer answer;
    while (Clock::now() < end) {
        answer = exchange(host(ordinaryHost), target, makeRequest(method, path, body));
        if (answer.status == status)
            return answer;
        std::this_thread::sleep_for(resendInterval);
    }
    return answer;
}

Answer TestCell::submitOrdinaryJob()
{
    return request(clientAddress(), "POST", nextJobPath(),
        R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem-mb":256,"est-ms":900}]})");
}

void TestCell::submit(const std::string& body, int attempts)
{
    const auto source = untrustedHost(static_cast<int>(m_nextJob % 4));
    const auto request = makeRequest("POST", nextJobPath(), body);
    for (int i = 0; i < attempts; ++i) {
        const auto status = exchange(source, clientAddress(), request).status;
        if (status != 0 && status < 500)
            return;
        std::this_thread::sleep_for(resendInterval);
    }
}

Answer TestCell::requestFirstJob(const std::string& method) const
{
    return request(clientAddress(), method, absl::StrFormat("%s%016x", queuePrefix, 1));
}

void TestCell::sendOnce(const std::string& method, const std::string& path, const std::string& body) const
{
    exchange(untrustedHost(), controlAddress(), makeRequest(method, path, body));
}

std::shared_ptr<void> TestCell::holdConnections(const std::string& target, size_t connections) const
{
    auto held = std::make_shared<std::vector<Socket>>();
    for (size_t i = 0; i < connections; ++i)
        held->push_back(connectFrom(untrustedHost(static_cast<int>(i % 4)), target));
    return held;
}

void TestCell::attack(const std::string& target, const Attack& attack) const
{
    std::vector<Sender> senders;
    for (size_t i = 0; i < attack.connections; ++i) {
        auto socket
            = connectFrom(untrustedHost(static_cast<int>(i % 4)), target, attack.reads ? 0 : smallReceiveBuffer);
        senders.emplace_back(std::move(socket), attack);
    }
    sendAll(senders, attack.reads, Clock::now() + std::chrono::seconds(20));
    settle();
}

void TestCell::settle() { std::this_thread::sleep_for(holdTime); }

void TestCell::serveWorkers(size_t workers, const Attack& attack, milliseconds duration) const
{
    std::vector<Socket> listeners;
    for (size_t i = 0; i < workers; ++i) {
        const auto worker = absl::StrCat(untrustedHost(static_cast<int>(i) + 10), ":8080");
        Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        const int yes = 1;
        ::setsockopt(listener.file(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const auto address = parseAddress(worker);
        REQUIRE(::bind(listener.file(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(listener.file(), 64) == 0);
        listeners.push_back(std::move(listener));
        const auto heartbeat = absl::StrCat("{\"service\":\"svc\",\"addr\":\"", worker,
            "\",\"zone\":\"a\",\"state\":\"ready\",\"born\":1,\"seq\":1,\"capacity\":{\"cpu\":16000,\"mem-mb\":32768},",
            "\"labels\":[\"a\",\"r1\"]}");
        REQUIRE(
            request(controlAddress(), "PUT", absl::StrCat("/turmericpier/instances/i-", i), heartbeat).status == 200);
    }
    std::vector<Sender> senders;
    const auto end = Clock::now() + duration;
    while (Clock::now() < end) {
        for (const auto& listener : listeners) {
            const int file = ::accept4(listener.file(), nullptr, nullptr, SOCK_CLOEXEC);
            if (file >= 0)
                senders.emplace_back(Socket(file), attack);
        }
        sendAll(senders, true, std::min(end, Clock::now() + pollInterval));
    }
}

void TestCell::checkWithinLimits(Process& process, const MachineLimits& limits) const
{
    REQUIRE(process.isAlive());
    CHECK(process.openDescriptors() < limits.descriptors);
#if !defined(__SANITIZE_ADDRESS__)
    // The memory of the sanitizer itself is far above the bound.
    CHECK(process.peakMemoryMb() < limits.memoryMb);
#endif
}

void TestCell::checkAll()
{
    checkWithinLimits(entry(), m_entryLimits);
    checkWithinLimits(control(), m_controlLimits);
    CHECK(submitOrdinaryJob().status == 200);
    // Also what the ordinary request adds stays within the limits.
    checkWithinLimits(entry(), m_entryLimits);
    checkWithinLimits(control(), m_controlLimits);
}

Attack unfinishedPeerMessage(size_t connections)
{
    constexpr size_t messageBytes = 15'000'000;
    peer::wire::CellCallT body;
    body.call.resize(messageBytes);
    peer::Envelope envelope;
    envelope.from = "untrusted";
    envelope.body.Set(std::move(body));
    const auto frames = peer::encodeFrame(envelope);
    REQUIRE(frames.ok());
    return { .prefix = *frames, .filler = "", .bytes = frames->size() - 100, .connections = connections };
}

} // namespace turmericpier::test
