#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Starts processes of the system on loopback addresses and lets untrusted clients and workers loose on them, for tests
/// that look at memory and descriptors from outside.
namespace turmericpier::test {

/// Limits of the machine that a process is told of, which are also the bounds that it must stay below.
struct MachineLimits {
    size_t memoryMb = 0;
    size_t descriptors = 0;
};

/// A running process of the system. Its destructor kills it.
class Process {
public:
    Process(const std::vector<std::string>& arguments, const std::filesystem::path& output);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    bool isAlive();
    void signal(int number) const;
    size_t peakMemoryMb() const; ///< Largest resident memory since the start (VmHWM).
    size_t openDescriptors() const;

private:
    int m_pid = 0;
};

/// What a connection of an untrusted client sends: `prefix`, then `filler` again and again until `bytes` have been sent
/// or the peer has closed the connection.
struct Attack {
    std::string prefix;
    std::string filler;
    size_t bytes = 0;
    size_t connections = 0;
    bool reads = true; ///< Reads and drops what the peer sends. Otherwise its receive buffer is small, too.
};

/// An answer to an ordinary request.
struct Answer {
    int status = 0; ///< 0 if there was no complete answer.
    std::string body;
};

/// One control process and one entry, or one of them, with the limits of their machines.
class TestCell {
public:
    TestCell(MachineLimits control, MachineLimits entry);
    ~TestCell();

    /// Sends the first configuration, with a text of `documentBytes` in a member that the system does not know, and
    /// waits until a job is accepted.
    void configure(size_t documentBytes = 0);

    Process& control() { return *m_control; }
    Process& entry() { return *m_entry; }
    std::string clientAddress() const { return address(entryHost, 8161); }
    std::string controlAddress() const { return address(controlHost, 8166); }
    std::string peerAddress(bool ofEntry) const { return address(ofEntry ? entryHost : controlHost, 7720); }
    std::string metricsAddress() const { return address(entryHost, 9464); }
    /// A loopback address for untrusted or for ordinary clients.
    std::string untrustedHost(int number = 0) const { return host(untrustedHosts + number); }

    /// Opens the connections from untrusted addresses, sends on all of them at a time until each has sent its bytes or
    /// is closed, and closes them.
    void attack(const std::string& target, const Attack& attack) const;
    /// Sends a request from an ordinary address; resends it, as callers do, while it is refused or not answered.
    /// Returns the first answer with `status`, or else the last.
    Answer request(const std::string& target, const std::string& method, const std::string& path,
        const std::string& body = {}, int status = 200) const;
    /// Submits a job of one task through the entry.
    Answer submitOrdinaryJob();
    /// Asks for or cancels the first job, which configure() has submitted.
    Answer requestFirstJob(const std::string& method) const;
    /// Submits a job from an untrusted address, up to `attempts` times while it is not known to be accepted or invalid.
    void submit(const std::string& body, int attempts = 1);
    /// Sends a request to the control process from an untrusted address, once.
    void sendOnce(const std::string& method, const std::string& path, const std::string& body) const;
    /// Opens connections from untrusted addresses on which nothing is sent; they are closed with the result.
    std::shared_ptr<void> holdConnections(const std::string& target, size_t connections) const;
    /// Gives the processes time to work on what they have got.
    static void settle();
    void suspendControl(bool suspended) const;
    void stopEntry();
    void startEntry();
    /// Registers a worker at `number` that answers each call with `attack`; serves it for `duration`.
    void serveWorkers(size_t workers, const Attack& attack, std::chrono::milliseconds duration) const;

    /// Checks that the process lives and has stayed within the limits of its machine.
    void checkWithinLimits(Process& process, const MachineLimits& limits) const;
    void checkAll();

private:
    static constexpr int controlHost = 1;
    static constexpr int entryHost = 2;
    static constexpr int ordinaryHost = 3;
    static constexpr int untrustedHosts = 100;

    std::string host(int number) const;
    std::string address(int number, int port) const;
    std::string nextJobPath();
    std::filesystem::path writeSettings(const std::string& name, int host, MachineLimits limits) const;

    const MachineLimits m_controlLimits;
    const MachineLimits m_entryLimits;
    std::filesystem::path m_folder;
    std::unique_ptr<Process> m_control;
    std::unique_ptr<Process> m_entry;
    uint64_t m_nextJob = 1;
};

/// A message to the peer port, all but its last bytes, on each of the connections.
Attack unfinishedPeerMessage(size_t connections);

} // namespace turmericpier::test
