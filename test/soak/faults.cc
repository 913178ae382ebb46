#include "soak/faults.h"

#include <algorithm>
#include <csignal>

namespace turmericpier::soak {

namespace {
    // A process is back some time after it was started again.
    constexpr milliseconds startTime { 1'000 };
    // One disk may be lost at a time. The next may be lost once its replica has caught up.
    constexpr milliseconds diskLossInterval { 9'000 };
    constexpr milliseconds throttledStop { 90 };
    constexpr milliseconds throttledRun { 20 };
} // namespace

std::vector<std::string> faultGroups() { return { "planned", "processes", "links", "disks" }; }

Faults::Faults(World& world, Cluster& cluster, Links& links, std::vector<std::unique_ptr<Worker>>& workers,
    const std::string& group)
    : m_world(world)
    , m_cluster(cluster)
    , m_links(links)
    , m_workers(workers)
{
    const bool all = group == "all";
    if (all || group == "planned")
        addPlannedFaults();
    if (all || group == "processes")
        addProcessFaults();
    if (all || group == "links")
        addLinkFaults();
    if (all || group == "disks")
        addDiskFaults();
}

void Faults::start() { next(); }

void Faults::next()
{
    if (m_stopped)
        return;
    const auto& [name, play] = m_world.pick(m_faults);
    ++m_played[name];
    m_world.trace("fault " + name);
    play();
    m_world.after(m_world.randomTime(100, 2'500), [this] { next(); });
}

Process& Faults::anyEntry()
{
    auto entries = m_cluster.entries();
    return *m_world.pick(entries);
}

Process& Faults::anyProcess() { return m_world.chance(0.5) ? m_cluster.anyControl() : anyEntry(); }

void Faults::terminate(Process& process) { m_cluster.end(process, SIGTERM, m_world.randomTime(0, 1'500)); }

void Faults::kill(Process& process, milliseconds restartDelay)
{
    m_world.disturb("kill " + process.name, m_world.now() + restartDelay + startTime);
    m_cluster.end(process, SIGKILL, restartDelay);
}

void Faults::pause(Process& process, milliseconds time)
{
    m_world.disturb("pause " + process.name, m_world.now() + time);
    m_cluster.signal(process, SIGSTOP);
    m_world.after(time, [this, &process] { m_cluster.signal(process, SIGCONT); });
}

/// Leaves the process about a fifth of a processor, in pieces.
void Faults::throttle(Process& process, Time until)
{
    m_cluster.signal(process, SIGSTOP);
    m_world.after(throttledStop, [this, &process, until] {
        m_cluster.signal(process, SIGCONT);
        if (m_world.now() < until)
            m_world.after(throttledRun, [this, &process, until] { throttle(process, until); });
    });
}

void Faults::cutLinks(Process& process, bool incoming, bool outgoing, Time until)
{
    m_world.disturb("cut the links of " + process.name, until);
    const auto self = m_cluster.peerAddress(process);
    auto others = m_cluster.controls();
    const auto entries = m_cluster.entries();
    others.insert(others.end(), entries.begin(), entries.end());
    for (const auto* other : others) {
        const auto address = m_cluster.peerAddress(*other);
        if (incoming)
            m_links.cut({ address, self }, until);
        if (outgoing)
            m_links.cut({ self, address }, until);
    }
}

void Faults::wipeDisk()
{
    if (m_world.now() < m_nextDiskLoss)
        return;
    m_nextDiskLoss = m_world.now() + diskLossInterval;
    auto& control = m_cluster.anyControl();
    if (control.pid == 0)
        return;
    control.beforeRestart = [this, &control] { m_cluster.wipe(control); };
    kill(control, m_world.randomTime(0, 1'500));
}

/// Replaces a control process by an empty one at another address, once in a run.
void Faults::replaceControl()
{
    if (m_world.now() < m_nextDiskLoss || std::exchange(m_replaced, true))
        return;
    // The removed replica stays a voter for some time, so that no other disk may be lost any more.
    m_nextDiskLoss = Time::max();
    auto& control = m_cluster.anyControl();
    m_world.disturb("replace " + control.name, m_world.now() + startTime);
    m_cluster.remove(control, m_world.chance(0.5) ? SIGTERM : SIGKILL);
    m_world.after(m_world.randomTime(0, 2'000), [this] {
        m_cluster.addControl();
        const auto& added = *m_cluster.controls().back();
        m_links.add(m_cluster.peerAddress(added), m_cluster.peerListenAddress(added));
    });
}

void Faults::addPlannedFaults()
{
    m_faults.emplace_back("stop an entry", [this] { terminate(anyEntry()); });
    m_faults.emplace_back("stop a control process", [this] { terminate(m_cluster.anyControl()); });
    m_faults.emplace_back("stop processes one after the other", [this] {
        for (auto* process : m_cluster.entries())
            m_world.after(m_world.randomTime(0, 4'000), [this, process] { terminate(*process); });
    });
    m_faults.emplace_back("stop all control processes and some entries", [this] {
        for (auto* control : m_cluster.controls())
            terminate(*control);
        for (int i = 0; i < 3; ++i)
            terminate(anyEntry());
    });
    m_faults.emplace_back("reload the settings", [this] {
        auto& process = anyProcess();
        m_cluster.rewriteSettings(process, m_world.chance(0.5));
        if (m_world.chance(0.7))
            m_cluster.signal(process, SIGHUP);
    });
    m_faults.emplace_back("a worker restarts", [this] { m_world.pick(m_workers)->crash(m_world.randomTime(10, 900)); });
}

void Faults::addProcessFaults()
{
    m_faults.emplace_back("kill an entry", [this] { kill(anyEntry(), m_world.randomTime(0, 1'000)); });
    m_faults.emplace_back(
        "kill a control process", [this] { kill(m_cluster.anyControl(), m_world.randomTime(0, 1'000)); });
    m_faults.emplace_back("kill all control processes", [this] {
        for (auto* control : m_cluster.controls())
            kill(*control, m_world.randomTime(0, 900));
    });
    m_faults.emplace_back("kill a control process again and again", [this] {
        auto& control = m_cluster.anyControl();
        for (int i = 0; i < 6; ++i)
            m_world.after(milliseconds(400 * i), [this, &control] { kill(control, milliseconds(0)); });
    });
    m_faults.emplace_back("pause a process", [this] { pause(anyProcess(), m_world.randomTime(500, 5'000)); });
    m_faults.emplace_back("pause all control processes", [this] {
        const auto time = m_world.randomTime(500, 3'000);
        for (auto* control : m_cluster.controls())
            pause(*control, time);
    });
    m_faults.emplace_back("leave a process little processor time", [this] {
        auto& process = anyProcess();
        const auto until = m_world.now() + m_world.randomTime(1'000, 5'000);
        m_world.disturb("throttle " + process.name, until);
        throttle(process, until);
        if (m_world.chance(0.4))
            m_world.after(m_world.randomTime(0, 1'000), [this, &process] { terminate(process); });
    });
    m_faults.emplace_back("stop a process", [this] { terminate(anyProcess()); });
}

void Faults::addLinkFaults()
{
    m_faults.emplace_back("cut a process off",
        [this] { cutLinks(anyProcess(), true, true, m_world.now() + m_world.randomTime(500, 5'000)); });
    m_faults.emplace_back("cut a control process one way", [this] {
        const bool incoming = m_world.chance(0.5);
        cutLinks(m_cluster.anyControl(), incoming, !incoming, m_world.now() + m_world.randomTime(500, 5'000));
    });
    m_faults.emplace_back("delay a process", [this] {
        const auto self = m_cluster.peerAddress(anyProcess());
        const auto time = m_world.randomTime(1, 40);
        m_world.disturb("delay " + self, m_world.now() + milliseconds(3'000));
        for (auto* other : m_cluster.controls()) {
            m_links.delay({ self, m_cluster.peerAddress(*other) }, time);
            m_links.delay({ m_cluster.peerAddress(*other), self }, time);
        }
        m_world.after(milliseconds(3'000), [this] { m_links.clearDelays(); });
    });
    m_faults.emplace_back("reset all connections", [this] {
        m_world.disturb("reset", m_world.now());
        m_links.resetAll();
    });
    m_faults.emplace_back("silence all connections", [this] {
        m_world.disturb("silence", m_world.now());
        m_links.silenceAll();
    });
    m_faults.emplace_back("stop a process", [this] { terminate(anyProcess()); });
}

void Faults::addDiskFaults()
{
    m_faults.emplace_back("lose a disk", [this] { wipeDisk(); });
    m_faults.emplace_back("replace a control process", [this] { replaceControl(); });
    m_faults.emplace_back(
        "kill a control process", [this] { kill(m_cluster.anyControl(), m_world.randomTime(0, 1'000)); });
    m_faults.emplace_back("stop a control process", [this] { terminate(m_cluster.anyControl()); });
}

} // namespace turmericpier::soak
