// Starts the project's own processes with the commands of the deploy file, and stands in for the platform.
#pragma once

#include "net.h"

#include <atomic>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

/// Milliseconds since the program was started.
int64_t now();
void sleepMs(int64_t ms);
/// Unix time in milliseconds.
int64_t unixMs();
int randomInt(int from, int to);

/// Writes the record of what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path, std::ios::trunc)
    {
    }
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Node {
    std::string name;
    std::string ip;
    bool isControl = false;
    std::string program; ///< Words of the command in the deploy file.
    pid_t pid = 0;
    int64_t restartAt = -1; ///< Time at which the platform starts it again; -1 for none.
    int64_t restartDelay = 300; ///< After it has ended.
    bool endExpected = false; ///< The script has ended it.
    int ownEnds = 0; ///< How often it ended by itself or was killed because of its memory.
    int64_t peakKb = 0; ///< Highest resident memory that was seen.
};

struct ClusterOptions {
    std::string folder; ///< For settings, data and logs.
    int controls = 5;
    int entries = 3;
    int controlMb = 256;
    int entryMb = 260;
    int statusS = 120; ///< Time for which the state of an ended job is promised.
    int peerDelayMs = 0; ///< One way, between all processes; 0 for no proxies.
};

class Cluster {
public:
    Cluster(ClusterOptions options, Record& record);
    ~Cluster();

    /// Writes the settings and starts all processes. Returns false if no addresses are free.
    bool start();
    /// Sends the configuration until it is acknowledged.
    bool configure(const std::string& config, int64_t withinMs);

    std::vector<std::string> frontAddresses() const;
    std::vector<std::string> controlAddresses() const;
    /// Address for a stand-in with this number, on the port of the workers.
    std::string workerAddress(int number) const;

    std::vector<Node>& nodes() { return m_nodes; }
    /// Kills the process; the platform starts it again after the delay.
    void kill(Node& node, int64_t restartDelay);
    /// Returns the number of control processes that have ended by themselves.
    int ownEnds();
    std::string leaderName();

private:
    std::string settingsOf(const Node& node, bool bootstrap) const;
    void spawn(Node& node);
    void watch();

    const ClusterOptions m_options;
    Record& m_record;
    std::string m_network;
    int m_port = 0; ///< First of the ports that the processes and stand-ins use on their own addresses.
    std::vector<Node> m_nodes;
    std::mutex m_mutex;
    std::atomic<bool> m_stopped { false };
    std::thread m_watcher;
};

/// A client of the system, who follows the page of the protocol.
struct JobAnswer {
    int status = 0; ///< Of the last attempt; 0 if there was no answer.
    int attempts = 0;
};

class Client {
public:
    Client(Cluster& cluster, Record& record, std::string host)
        : m_cluster(cluster)
        , m_record(record)
        , m_host(std::move(host))
    {
    }

    /// Sends the job, again after answers that leave its fate open, and again after refusals.
    JobAnswer submit(const std::string& path, const std::string& body, int maxAttempts = 5);
    /// Returns the status of one GET, and the state in `state`.
    int get(const std::string& path, std::string& state);

private:
    std::string pickFront();

    Cluster& m_cluster;
    Record& m_record;
    const std::string m_host;
};

std::string randomJobId();
