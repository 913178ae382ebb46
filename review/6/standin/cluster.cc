#include "cluster.h"

#include "delay.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {
const auto startedAt = std::chrono::steady_clock::now();
std::mutex randomMutex;
std::mt19937 randomEngine { std::random_device {}() };

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

/// Returns the resident memory in KiB.
int64_t residentKb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stoll(line.substr(6));
    }
    return 0;
}

/// Returns the words of `run` of the role in the deploy file.
std::string commandOf(const std::string& role)
{
    std::ifstream in("deploy/system.toml");
    bool inRole = false;
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("[", 0) == 0)
            inRole = line == "[roles." + role + "]";
        else if (inRole && line.rfind("run = \"", 0) == 0)
            return line.substr(7, line.rfind('"') - 7);
    }
    return {};
}
} // namespace

int64_t now()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt).count();
}

void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

int randomInt(int from, int to)
{
    std::lock_guard lock(randomMutex);
    return std::uniform_int_distribution<int>(from, to)(randomEngine);
}

std::string randomJobId()
{
    std::lock_guard lock(randomMutex);
    std::string id;
    for (int i = 0; i < 16; ++i)
        id += "0123456789abcdef"[std::uniform_int_distribution<int>(0, 15)(randomEngine)];
    return id;
}

void Record::line(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now()) / 1000);
    m_out << time << text << std::endl;
}

Cluster::Cluster(ClusterOptions options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
{
}

Cluster::~Cluster()
{
    m_stopped = true;
    if (m_watcher.joinable())
        m_watcher.join();
    std::lock_guard lock(m_mutex);
    for (auto& node : m_nodes) {
        if (node.pid == 0)
            continue;
        ::kill(node.pid, SIGKILL);
        ::waitpid(node.pid, nullptr, 0);
    }
}

std::string Cluster::settingsOf(const Node& node, bool bootstrap) const
{
    std::vector<std::string> seeds;
    for (const auto& other : m_nodes) {
        if (other.isControl && seeds.size() < 3)
            seeds.push_back(quoted(other.ip + ":" + std::to_string(m_port + 1)));
    }
    std::ostringstream out;
    out << "node = " << quoted(node.name) << "\nrole = " << quoted(node.isControl ? "control" : "entry")
        << "\nclass = " << quoted(node.isControl ? "core" : "front") << "\nip = " << quoted(node.ip)
        << "\nzone = \"ost-wien\"\nregion = \"ost\"\ninternal-port-range = [" << m_port + 10 << "," << m_port + 25
        << "]\nseeds = [" << seeds[0];
    for (size_t i = 1; i < seeds.size(); ++i)
        out << "," << seeds[i];
    out << "]\nbootstrap = " << (bootstrap ? "true" : "false")
        << "\ncounts-as-loss = " << (node.isControl ? "true" : "false")
        << "\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeat-interval-ms = 1500\nconfig_mode = "
           "\"highest\"\norders "
           "= \"call\"\n";
    if (m_options.peerDelayMs > 0)
        out << "internal-listen = " << quoted(node.ip + ":" + std::to_string(m_port + 30)) << "\n";
    if (node.isControl)
        out << "data-dir = " << quoted(m_options.folder + "/" + node.name) << "\n";
    out << "[zones]\nost-wien = \"ost\"\n[listen]\n";
    if (node.isControl)
        out << "control = " << quoted(node.ip + ":" + std::to_string(m_port + 1)) << "\n";
    else
        out << "front = " << quoted(node.ip + ":" + std::to_string(m_port + 2))
            << "\nready = " << quoted(node.ip + ":" + std::to_string(m_port + 3)) << "\n";
    out << "[limits]\ncores = 1\nmemory-mb = " << (node.isControl ? m_options.controlMb : m_options.entryMb)
        << "\nmax-fds = " << (node.isControl ? 4096 : 4100)
        << "\n[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\naddr-reuse-s = "
           "2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2500\ngrace-s = 6\nloss-slack-ms = "
           "200\nconfig-apply-ms = 2500\nrollback-slack-ms = 250\nmax-stretch-ms = 5000\nrecover-s = 12\nmax-hold-ms = "
           "10000\nstop-ms = 400\ngang-wait-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = "
           "14\nstatus_s = "
        << m_options.statusS << "\n";
    return out.str();
}

bool Cluster::start()
{
    for (int attempt = 0; attempt < 20 && m_network.empty(); ++attempt) {
        const auto network
            = "127." + std::to_string(randomInt(10, 240)) + "." + std::to_string(randomInt(10, 240)) + ".";
        m_port = randomInt(10, 29) * 1000;
        bool free = true;
        for (int number = 1; number <= 60 && free; ++number) {
            for (const int offset : { 0, 1, 2, 3, 10, 30, 9464 - m_port })
                free = free && isFree(network + std::to_string(number) + ":" + std::to_string(m_port + offset));
        }
        if (free)
            m_network = network;
    }
    if (m_network.empty())
        return false;
    for (int i = 0; i < m_options.controls + m_options.entries; ++i) {
        Node node;
        node.isControl = i < m_options.controls;
        node.name = node.isControl ? "control-" + std::to_string(i + 1)
                                   : "entry-" + std::to_string(i - m_options.controls + 1);
        node.ip = m_network + std::to_string(i + 1);
        node.program = commandOf(node.isControl ? "control" : "entry");
        if (node.program.empty())
            return false;
        if (node.isControl)
            std::filesystem::create_directories(m_options.folder + "/" + node.name);
        m_nodes.push_back(node);
    }
    for (auto& node : m_nodes)
        std::ofstream(m_options.folder + "/" + node.name + ".toml") << settingsOf(node, true);
    for (const auto& node : m_nodes) {
        if (m_options.peerDelayMs > 0
            && !startDelay(node.ip + ":" + std::to_string(m_port + 10), node.ip + ":" + std::to_string(m_port + 30),
                m_options.peerDelayMs))
            return false;
    }
    for (auto& node : m_nodes)
        spawn(node);
    m_watcher = std::thread([this] { watch(); });
    return true;
}

void Cluster::spawn(Node& node)
{
    const auto settings = m_options.folder + "/" + node.name + ".toml";
    const auto log = m_options.folder + "/" + node.name + ".log";
    std::vector<std::string> words;
    std::istringstream in(node.program);
    for (std::string word; in >> word;)
        words.push_back(word);
    std::vector<char*> arguments;
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const auto boot = "TURMERICPIER_BOOT=" + settings;
    const std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = { const_cast<char*>(boot.c_str()), const_cast<char*>(path.c_str()), nullptr };
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const auto parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The process must not outlive the script.
        if (::getppid() != parent)
            ::_exit(1);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
    ::close(output);
    node.pid = pid;
    node.endExpected = false;
    m_record.line("platform: starts " + node.name);
}

/// Starts processes that have ended again, and kills those that use more memory than their machine has.
void Cluster::watch()
{
    while (!m_stopped) {
        {
            std::lock_guard lock(m_mutex);
            for (auto& node : m_nodes) {
                if (node.pid == 0) {
                    if (node.restartAt >= 0 && now() >= node.restartAt) {
                        node.restartAt = -1;
                        std::ofstream(m_options.folder + "/" + node.name + ".toml") << settingsOf(node, false);
                        spawn(node);
                    }
                    continue;
                }
                const auto limit = int64_t { 1024 } * (node.isControl ? m_options.controlMb : m_options.entryMb);
                const auto used = residentKb(node.pid);
                node.peakKb = std::max(node.peakKb, used);
                if (used > limit && !node.endExpected) {
                    m_record.line("platform: kills " + node.name + ", which uses " + std::to_string(used)
                        + " KiB of memory; its machine has " + std::to_string(limit) + " KiB");
                    ::kill(node.pid, SIGKILL);
                }
                int status = 0;
                if (::waitpid(node.pid, &status, WNOHANG) != node.pid)
                    continue;
                node.pid = 0;
                if (!node.endExpected) {
                    ++node.ownEnds;
                    m_record.line("platform: " + node.name + " has ended by itself, "
                        + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                               : "exit " + std::to_string(WEXITSTATUS(status))));
                }
                node.restartAt = now() + (node.endExpected ? node.restartDelay : 300);
            }
        }
        sleepMs(5);
    }
}

void Cluster::kill(Node& node, int64_t restartDelay)
{
    std::lock_guard lock(m_mutex);
    if (node.pid == 0)
        return;
    node.endExpected = true;
    node.restartDelay = restartDelay;
    m_record.line("platform: SIGKILL to " + node.name);
    ::kill(node.pid, SIGKILL);
}

int Cluster::ownEnds()
{
    std::lock_guard lock(m_mutex);
    int ends = 0;
    for (const auto& node : m_nodes)
        ends += node.isControl ? node.ownEnds : 0;
    return ends;
}

bool Cluster::configure(const std::string& config, int64_t withinMs)
{
    const auto end = now() + withinMs;
    while (now() < end) {
        const auto controls = controlAddresses();
        const auto& to = controls[static_cast<size_t>(randomInt(0, static_cast<int>(controls.size()) - 1))];
        const auto reply = call(to, "PUT", "/turmericpier/config", {}, config, 1000);
        m_record.line("operator: PUT configuration to " + to + " -> " + std::to_string(reply.status));
        if (reply.status == 200)
            return true;
        sleepMs(200);
    }
    return false;
}

std::vector<std::string> Cluster::frontAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& node : m_nodes) {
        if (!node.isControl)
            addresses.push_back(node.ip + ":" + std::to_string(m_port + 2));
    }
    return addresses;
}

std::vector<std::string> Cluster::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& node : m_nodes) {
        if (node.isControl)
            addresses.push_back(node.ip + ":" + std::to_string(m_port + 1));
    }
    return addresses;
}

std::string Cluster::workerAddress(int number) const
{
    return m_network + std::to_string(10 + number) + ":" + std::to_string(m_port);
}

std::string Cluster::leaderName()
{
    for (const auto& node : m_nodes) {
        if (!node.isControl)
            continue;
        const auto reply = call(node.ip + ":9464", "GET", "/dump", {}, "", 500);
        if (reply.body.find("\"leader\":{\"active\":true") != std::string::npos)
            return node.name;
    }
    return {};
}

std::string Client::pickFront()
{
    const auto fronts = m_cluster.frontAddresses();
    return fronts[static_cast<size_t>(randomInt(0, static_cast<int>(fronts.size()) - 1))];
}

JobAnswer Client::submit(const std::string& path, const std::string& body, int maxAttempts)
{
    JobAnswer answer;
    while (answer.attempts < maxAttempts) {
        ++answer.attempts;
        const auto sentAt = now();
        const auto to = pickFront();
        const auto reply
            = call(to, "POST", path, { { "Host", m_host }, { "X-Turmericpier-Deadline-Ms", "3000" } }, body, 3000);
        answer.status = reply.status;
        m_record.line("client: POST " + path + " (" + std::to_string(body.size()) + " bytes) to " + to + " sent at "
            + std::to_string(sentAt) + " ms -> "
            + (reply.status == 0 ? "no answer" : std::to_string(reply.status) + " " + reply.body));
        if (reply.status == 200 || reply.status == 404 || reply.status == 400 || reply.status == 413)
            return answer;
        if (answer.attempts == maxAttempts)
            break;
        const auto wait = reply.headers.find("retry-after");
        sleepMs(wait == reply.headers.end() ? 200 : 1000 * std::stoi(wait->second));
    }
    return answer;
}

int Client::get(const std::string& path, std::string& state)
{
    const auto reply
        = call(pickFront(), "GET", path, { { "Host", m_host }, { "X-Turmericpier-Deadline-Ms", "3000" } }, "", 3000);
    const auto found = reply.body.find("\"state\":\"");
    state = found == std::string::npos ? "" : reply.body.substr(found + 9, reply.body.find('"', found + 9) - found - 9);
    return reply.status;
}
