#pragma once

#include "soak/world.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// The processes of the cell, started from the program under test with settings as the platform writes them.
namespace turmericpier::soak {

/// Number of control processes from which on the deployment lets two be lost at a time, else one.
inline constexpr int controlsForTwoLosses = 9;

struct ClusterOptions {
    std::filesystem::path program;
    std::filesystem::path diskLibrary; ///< Preloaded into control processes, see test/soak/disk.
    std::filesystem::path folder; ///< For settings, disks and logs.
    int network = 0; ///< Second number of all addresses, which are loopback addresses.
    int controls = 5;
    int entries = 7;
    milliseconds longestLease { 10'000 }; ///< Longest lease that workers accept.
};

/// A process and what its supervisor knows about it.
struct Process {
    std::string name;
    bool isControl = false;
    std::string ip;
    std::string zone;
    pid_t pid = 0;
    bool removed = false; ///< The process is not started again.
    milliseconds restartDelay { 0 }; ///< Delay of the next start after the process has ended.
    bool endExpected = false; ///< The soak has sent a signal that ends the process.
    std::function<void()> beforeRestart; ///< Runs once before the next start.
    std::shared_ptr<boost::asio::posix::stream_descriptor> output; ///< Reading end of its output.
};

class Cluster {
public:
    Cluster(World& world, ClusterOptions options);
    ~Cluster(); ///< Ends all processes that it has started.

    /// Starts all processes for the first time.
    void start();
    /// Adds an empty control process at a new address.
    void addControl();
    /// Sends a signal; does nothing while the process is not running.
    void signal(Process& process, int number);
    /// Ends the process with `number`. It is started again `restartDelay` after its end, and killed if it has not ended
    /// after the time that the platform grants.
    void end(Process& process, int number, milliseconds restartDelay);
    /// Removes the process for good, with or without a SIGTERM before.
    void remove(Process& process, int number);
    /// Removes all files of the control process. Must be called while it is not running.
    void wipe(const Process& process) const;
    /// Sets what the disk of the control process does, see test/soak/disk; nothing unusual if `fault` is empty.
    void setDiskFault(const Process& process, const std::string& fault) const;
    /// Limits the files of the process to their present size, or takes the limit away.
    void limitFiles(const Process& process, bool limited) const;
    /// Writes the settings file again, with other seeds if `rotateSeeds`.
    void rewriteSettings(Process& process, bool rotateSeeds);

    /// Number of control processes that the deployment lets be lost at one moment, also with their disks.
    size_t bearableLosses() const;
    std::vector<Process*> controls();
    Process& anyControl(); ///< Returns one of controls() at random.
    std::vector<Process*> entries();
    std::string clientAddress(const Process& entry) const;
    std::string controlAddress(const Process& control) const;
    /// Address at which other processes reach this one, and the address on which it listens for them.
    std::string peerAddress(const Process& process) const;
    std::string peerListenAddress(const Process& process) const;
    std::string metricsAddress(const Process& process) const;
    std::string workerAddress(int number) const;
    /// Address on which a worker listens behind a proxy.
    std::string workerListenAddress(int number) const;
    std::string advisorAddress() const;

private:
    Process& add(bool isControl);
    void writeSettings(const Process& process, bool isFirstStart, bool rotateSeeds) const;
    void spawn(Process& process);
    void reap();
    void startProgram(const Process& process, int output) const;
    void copyOutput(const Process& process);
    std::filesystem::path settingsFile(const Process& process) const;
    std::filesystem::path diskFaultFile(const Process& process) const;
    std::string address(int group, int number, int port) const;

    World& m_world;
    const ClusterOptions m_options;
    std::vector<std::unique_ptr<Process>> m_processes;
    int m_nextControl = 1;
    int m_nextEntry = 1;
    bool m_stopped = false;
};

} // namespace turmericpier::soak
