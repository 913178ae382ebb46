#pragma once

#include "record.h"

#include <filesystem>
#include <string>
#include <sys/types.h>
#include <vector>

/// The processes of the system, started with the commands of the deploy file on loopback addresses.
namespace review {

struct ClusterOptions {
    std::filesystem::path repository; ///< Working directory of the processes.
    int controls = 5;
    int entries = 3;
};

struct Process {
    std::string name;
    std::string ip;
    std::string zone;
    bool isControl = false;
    pid_t pid = 0;
};

class Cluster {
public:
    Cluster(Record& record, ClusterOptions options);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// Ends all processes and removes their folder.
    void end();
    /// Ends the processes of the cluster that was made last, if there is one.
    static void endCurrent();

    void start();
    const std::vector<Process>& processes() const { return m_processes; }
    /// Kills all control processes at once, as a loss of power does, and starts them again after the time.
    void powerOffControls(std::chrono::milliseconds time);
    std::string advisorIp() const { return "127." + std::to_string(m_network) + ".3.1"; }
    std::vector<std::string> controlAddresses() const;
    std::vector<std::string> entryAddresses() const;
    /// Second number of all loopback addresses of this run.
    int network() const { return m_network; }
    static constexpr int advisorPort = 8169;
    /// Returns true if a process has ended by itself.
    bool hasEnded();

private:
    void spawn(Process& process, bool isFirstStart);
    std::string settingsOf(const Process& process, bool isFirstStart) const;

    static Cluster* s_current;

    Record& m_record;
    const ClusterOptions m_options;
    int m_network = 0;
    std::filesystem::path m_folder;
    std::vector<Process> m_processes;
};

} // namespace review
