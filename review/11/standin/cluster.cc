#include "cluster.h"

#include "http.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {
    constexpr int clientPort = 8161;
    constexpr int controlPort = 8166;
    constexpr int readyPort = 8167;
    constexpr int firstInternalPort = 7720;

    std::string address(const std::string& ip, int port) { return ip + ":" + std::to_string(port); }
} // namespace

Cluster* Cluster::s_current = nullptr;

Cluster::Cluster(Record& record, ClusterOptions options)
    : m_record(record)
    , m_options(std::move(options))
{
    // Runs beside each other use different networks.
    for (int tries = 0; m_network == 0 && tries < 200; ++tries) {
        const int network = 20 + (::getpid() + tries * 7) % 200;
        const int probe = listenOn("127." + std::to_string(network) + ".0.1", controlPort);
        if (probe < 0)
            continue;
        ::close(probe);
        m_network = network;
    }
    if (m_network == 0)
        throw std::runtime_error("no free loopback network");
    s_current = this;
    m_folder = std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(::getpid()));
    std::filesystem::create_directories(m_folder);
    const char* zones[] = { "ost-wien", "west-ibk", "ost-graz" };
    for (int i = 0; i < m_options.controls + m_options.entries; ++i) {
        const bool isControl = i < m_options.controls;
        const int number = isControl ? i + 1 : i - m_options.controls + 1;
        Process process;
        process.name = (isControl ? "core-" : "front-") + std::to_string(number);
        process.ip = "127." + std::to_string(m_network) + (isControl ? ".0." : ".1.") + std::to_string(number);
        process.zone = zones[number % 3];
        process.isControl = isControl;
        m_processes.push_back(process);
    }
}

Cluster::~Cluster() { end(); }

void Cluster::endCurrent()
{
    if (s_current)
        s_current->end();
}

void Cluster::end()
{
    s_current = nullptr;
    for (const auto& process : m_processes) {
        if (process.pid > 0)
            ::kill(process.pid, SIGKILL);
    }
    for (auto& process : m_processes) {
        if (process.pid > 0)
            ::waitpid(std::exchange(process.pid, 0), nullptr, 0);
    }
    std::error_code ignored;
    if (!std::getenv("KEEP_FOLDER"))
        std::filesystem::remove_all(m_folder, ignored);
}

std::string Cluster::settingsOf(const Process& process, bool isFirstStart) const
{
    std::string seeds;
    for (int i = 0; i < std::min(3, m_options.controls); ++i)
        seeds += (i > 0 ? ",\"" : "\"") + address(m_processes[static_cast<size_t>(i)].ip, controlPort) + "\"";
    std::string text = "node = \"" + process.name + "\"\nrole = \"" + (process.isControl ? "control" : "entry")
        + "\"\nclass = \"" + (process.isControl ? "core" : "front") + "\"\nip = \"" + process.ip + "\"\nzone = \""
        + process.zone + "\"\nregion = \"ost\"\ninternal-port-range = [" + std::to_string(firstInternalPort) + ","
        + std::to_string(firstInternalPort + 15) + "]\nseeds = [" + seeds
        + "]\nbootstrap = " + (isFirstStart ? "true" : "false")
        + "\ncounts-as-loss = " + (process.isControl ? "true" : "false")
        + "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat-interval-ms = 1500\nconfig_mode = \"highest\"\n"
          "orders = \"call\"\nadvice = \""
        + address(advisorIp(), advisorPort) + "\"\n";
    if (process.isControl)
        text += "data-dir = \"" + (m_folder / process.name).string() + "\"\n";
    text += "[listen]\n";
    if (process.isControl)
        text += "control = \"" + address(process.ip, controlPort) + "\"\n";
    else
        text += "front = \"" + address(process.ip, clientPort) + "\"\nready = \"" + address(process.ip, readyPort) + "\"\n";
    text += std::string("[limits]\nmemory-mb = ") + (process.isControl ? "256" : "260")
        + "\nmax-fds = 4096\n[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n"
          "seed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2500\n"
          "grace-s = 6\nconfig-apply-ms = 2500\nrecover-s = 12\nmax-hold-ms = 10000\nstop-ms = 400\n"
          "gang-wait-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n"
          "lease-ms = 3000\n";
    return text;
}

void Cluster::start()
{
    for (auto& process : m_processes)
        spawn(process, true);
}

void Cluster::spawn(Process& process, bool isFirstStart)
{
    const auto settings = m_folder / (process.name + ".toml");
    std::ofstream(settings) << settingsOf(process, isFirstStart);
    if (process.isControl)
        std::filesystem::create_directories(m_folder / process.name);
    const auto output = (m_folder / (process.name + ".log")).string();
    const auto boot = "TURMERICPIER_BOOT=" + settings.string();
    const auto path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    process.pid = ::fork();
    if (process.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        if (::chdir(m_options.repository.c_str()) != 0)
            ::_exit(127);
        const char* program = "target/turmericpier";
        const char* command = process.isControl ? "cell-control" : "cell-entry";
        const char* arguments[] = { program, command, "--metrics_port=9464", nullptr };
        const char* environment[] = { boot.c_str(), path.c_str(), "HOME=/tmp", nullptr };
        ::execve(program, const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        ::_exit(127);
    }
    m_record.write("started " + process.name + " at " + process.ip + ", process " + std::to_string(process.pid));
}

void Cluster::powerOffControls(std::chrono::milliseconds time)
{
    for (const auto& process : m_processes) {
        if (process.isControl && process.pid > 0)
            ::kill(process.pid, SIGKILL);
    }
    m_record.write("all control processes are killed");
    for (auto& process : m_processes) {
        if (process.isControl && process.pid > 0)
            ::waitpid(std::exchange(process.pid, 0), nullptr, 0);
    }
    std::this_thread::sleep_for(time);
    for (auto& process : m_processes) {
        if (process.isControl)
            spawn(process, false);
    }
}

bool Cluster::hasEnded()
{
    for (auto& process : m_processes) {
        int status = 0;
        if (process.pid > 0 && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
            m_record.write(process.name + " has ended with status " + std::to_string(status));
            process.pid = 0;
            return true;
        }
    }
    return false;
}

std::vector<std::string> Cluster::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& process : m_processes) {
        if (process.isControl)
            addresses.push_back(address(process.ip, controlPort));
    }
    return addresses;
}

std::vector<std::string> Cluster::entryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& process : m_processes) {
        if (!process.isControl)
            addresses.push_back(address(process.ip, clientPort));
    }
    return addresses;
}

} // namespace review
