#include "soak/cluster.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace turmericpier::soak {

namespace {
    constexpr milliseconds reapInterval { 5 };
    constexpr milliseconds firstStartTime { 1'500 }; // Within which all processes have read their settings.
    constexpr milliseconds graceTime { 6'000 };
    constexpr int clientPort = 8161;
    constexpr int controlPort = 8166;
    constexpr int readyPort = 8167;
    constexpr int peerPort = 7720;
    constexpr int peerListenPort = 7721;
    constexpr int workerPort = 8080;
    constexpr int metricsPort = 9464;
    constexpr int controlGroup = 1;
    constexpr int entryGroup = 2;
    constexpr int workerGroup = 3;
    constexpr int advisorGroup = 4;
    const char* const zones[] = { "zone-a", "zone-b", "zone-c" };

    /// Bounds of the deployment, in the platform's format.
    constexpr const char* bounds = "[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\n"
                                   "addr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n"
                                   "drain-ms = 2500\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2500\n"
                                   "max-hold-ms = 10000\nstop-ms = 400\nvisible_ms = 3000\nstatus_s = 120\n";
} // namespace

Cluster::Cluster(World& world, ClusterOptions options)
    : m_world(world)
    , m_options(std::move(options))
{
}

Cluster::~Cluster()
{
    m_stopped = true;
    for (const auto& process : m_processes) {
        if (process->pid == 0)
            continue;
        ::kill(process->pid, SIGKILL);
        ::waitpid(process->pid, nullptr, 0);
    }
}

std::string Cluster::address(int group, int number, int port) const
{
    return absl::StrCat("127.", m_options.network, ".", group, ".", number, ":", port);
}

std::string Cluster::clientAddress(const Process& entry) const { return absl::StrCat(entry.ip, ":", clientPort); }
std::string Cluster::controlAddress(const Process& control) const { return absl::StrCat(control.ip, ":", controlPort); }
std::string Cluster::peerAddress(const Process& process) const { return absl::StrCat(process.ip, ":", peerPort); }
std::string Cluster::peerListenAddress(const Process& process) const
{
    return absl::StrCat(process.ip, ":", peerListenPort);
}
std::string Cluster::workerAddress(int number) const { return address(workerGroup, number, workerPort); }
std::string Cluster::advisorAddress() const { return address(advisorGroup, 1, workerPort); }

std::filesystem::path Cluster::settingsFile(const Process& process) const
{
    return m_options.folder / (process.name + ".toml");
}

Process& Cluster::add(bool isControl)
{
    auto& process = *m_processes.emplace_back(std::make_unique<Process>());
    const int number = isControl ? m_nextControl++ : m_nextEntry++;
    process.name = absl::StrCat(isControl ? "control-" : "entry-", number);
    process.isControl = isControl;
    process.ip = absl::StrCat("127.", m_options.network, ".", isControl ? controlGroup : entryGroup, ".", number);
    process.zone = zones[number % std::size(zones)];
    if (isControl)
        std::filesystem::create_directories(m_options.folder / process.name);
    return process;
}

void Cluster::start()
{
    for (int i = 0; i < m_options.controls; ++i)
        add(true);
    for (int i = 0; i < m_options.entries; ++i)
        add(false);
    for (const auto& process : m_processes) {
        writeSettings(*process, true, false);
        spawn(*process);
    }
    // Later starts find that the system has been started before.
    m_world.after(firstStartTime, [this] {
        for (const auto& process : m_processes)
            writeSettings(*process, false, false);
    });
    reap();
}

void Cluster::addControl()
{
    auto& process = add(true);
    writeSettings(process, false, false);
    spawn(process);
}

std::vector<Process*> Cluster::controls()
{
    std::vector<Process*> found;
    for (const auto& process : m_processes) {
        if (process->isControl && !process->removed)
            found.push_back(process.get());
    }
    return found;
}

Process& Cluster::anyControl()
{
    auto found = controls();
    return *m_world.pick(found);
}

std::vector<Process*> Cluster::entries()
{
    std::vector<Process*> found;
    for (const auto& process : m_processes) {
        if (!process->isControl)
            found.push_back(process.get());
    }
    return found;
}

void Cluster::writeSettings(const Process& process, bool isFirstStart, bool rotateSeeds) const
{
    std::vector<std::string> seeds;
    for (const auto& other : m_processes) {
        if (other->isControl && !other->removed)
            seeds.push_back(absl::StrCat("\"", controlAddress(*other), "\""));
    }
    if (rotateSeeds)
        std::rotate(seeds.begin(), seeds.begin() + 2, seeds.end());
    seeds.resize(std::min<size_t>(3, seeds.size()));
    std::string text = absl::StrCat("node = \"", process.name, "\"\nip = \"", process.ip, "\"\nzone = \"", process.zone,
        "\"\nregion = \"region\"\ninternal-port-range = [", peerPort, ", ", peerPort + 15, "]\ninternal-listen = \"",
        peerListenAddress(process), "\"\nseeds = [", absl::StrJoin(seeds, ","),
        "]\nbootstrap = ", isFirstStart ? "true" : "false", "\nheartbeat-interval-ms = 1500\nadvice = \"",
        advisorAddress(), "\"\n");
    if (process.isControl)
        absl::StrAppend(&text, "data-dir = \"", (m_options.folder / process.name).string(), "\"\n");
    absl::StrAppend(&text, "[listen]\n");
    if (process.isControl)
        absl::StrAppend(&text, "control = \"", controlAddress(process), "\"\n");
    else
        absl::StrAppend(
            &text, "front = \"", clientAddress(process), "\"\nready = \"", process.ip, ":", readyPort, "\"\n");
    absl::StrAppend(&text, "[limits]\nmax-fds = 4100\n", bounds);
    std::ofstream(settingsFile(process), std::ios::trunc) << text;
}

void Cluster::rewriteSettings(Process& process, bool rotateSeeds) { writeSettings(process, false, rotateSeeds); }

void Cluster::spawn(Process& process)
{
    if (process.beforeRestart)
        std::exchange(process.beforeRestart, nullptr)();
    process.endExpected = false;
    const auto log = (m_options.folder / (process.name + ".log")).string();
    const auto program = m_options.program.string();
    const auto settings = settingsFile(process).string();
    const auto metrics = absl::StrCat("--metrics_port=", metricsPort);
    const auto parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The process must not outlive the soak.
        if (::getppid() != parent)
            ::_exit(1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // Asio opens sockets that programs would inherit.
        ::execl(program.c_str(), program.c_str(), process.isControl ? "cell-control" : "cell-entry", settings.c_str(),
            metrics.c_str(), nullptr);
        ::_exit(1);
    }
    if (pid < 0) {
        m_world.report("soak", absl::StrCat(process.name, " cannot be started"));
        return;
    }
    process.pid = pid;
    m_world.trace(absl::StrCat(process.name, " is process ", pid));
}

/// Starts processes that have ended again.
void Cluster::reap()
{
    if (m_stopped)
        return;
    for (const auto& owned : m_processes) {
        auto& process = *owned;
        int status = 0;
        if (process.pid == 0 || ::waitpid(process.pid, &status, WNOHANG) != process.pid)
            continue;
        process.pid = 0;
        m_world.trace(absl::StrCat(process.name, " has ended, status ", status));
        if (!process.endExpected)
            m_world.report("END", absl::StrCat(process.name, " has ended by itself, status ", status));
        if (process.removed)
            continue;
        m_world.after(process.restartDelay, [this, &process] {
            if (!m_stopped && !process.removed)
                spawn(process);
        });
    }
    m_world.after(reapInterval, [this] { reap(); });
}

void Cluster::signal(Process& process, int number)
{
    if (process.pid == 0)
        return;
    m_world.trace(absl::StrCat("signal ", number, " to ", process.name));
    ::kill(process.pid, number);
}

void Cluster::end(Process& process, int number, milliseconds restartDelay)
{
    if (process.pid == 0)
        return;
    process.endExpected = true;
    process.restartDelay = restartDelay;
    signal(process, number);
    m_world.after(graceTime, [this, &process, pid = process.pid] {
        if (process.pid != pid)
            return;
        m_world.trace(process.name + " has not ended in time and is killed");
        ::kill(pid, SIGKILL);
    });
}

void Cluster::remove(Process& process, int number)
{
    process.removed = true;
    end(process, number, milliseconds(0));
}

void Cluster::wipe(const Process& process) const
{
    m_world.trace(process.name + " has lost its disk");
    for (const auto& entry : std::filesystem::directory_iterator(m_options.folder / process.name))
        std::filesystem::remove_all(entry.path());
}

} // namespace turmericpier::soak
