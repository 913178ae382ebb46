#pragma once

#include "soak/cluster.h"
#include "soak/links.h"
#include "soak/worker-faults.h"
#include "soak/world.h"

#include <map>
#include <string>
#include <vector>

/// Disturbances that the soak plays from outside the processes, in series and overlapping.
namespace turmericpier::soak {

/// Returns the names of the groups of disturbances, of which a run plays one or all.
std::vector<std::string> faultGroups();

/// Suspensions of control processes that overlap, before disks are lost.
struct OverlapPlan {
    int series = 1; ///< How often control processes are suspended, several at once.
    milliseconds interval { 0 }; ///< From one suspension to the next, and from the last one to the loss of disks.
    bool most = false; ///< As many are suspended at once as leave a majority of those that run.
    bool untilLoss = false; ///< They are suspended until the disks are lost, or for a time of their own.
};

class Faults {
public:
    /// `group` is one of faultGroups() or "all".
    Faults(World& world, Cluster& cluster, Links& links, WorkerLinks& workerLinks,
        std::vector<std::unique_ptr<Worker>>& workers, const std::string& group);

    void start();
    /// Plays no more disturbances; those that last end by themselves.
    void stop() { m_stopped = true; }
    /// Returns true unless a series of overlapping losses lasts, or may still keep the cell from serving.
    bool mustServe() const { return !m_overlapping && m_world.now() >= m_servesFrom; }
    const std::map<std::string, int>& played() const { return m_played; }

private:
    void next();
    Process& anyEntry();
    Process& anyProcess();
    void terminate(Process& process);
    void kill(Process& process, milliseconds restartDelay);
    void killAllControls();
    void pause(Process& process, milliseconds time);
    void throttle(Process& process, Time until);
    void cutLinks(Process& process, bool incoming, bool outgoing, Time until);
    void resetConnections();
    void wipeDisk();
    void wipeDisk(Process& control, milliseconds restartDelay);
    void wipeDisks(size_t count);
    /// Returns how many control processes may lose their disks now, as far as others count as lost.
    size_t freeDisks() const;
    void replaceControl();
    /// Replaces a control process by an empty one at another address. Returns when the successor is started.
    Time replace(Process& control);
    void replaceInSeries();
    void continueSeries(int count);
    void startOverlaps(const OverlapPlan& plan);
    void awaitOverlaps(const OverlapPlan& plan);
    void suspendSeveral(const OverlapPlan& plan);
    void loseDisksAtOnce();
    /// Lets no disk be lost until all control processes are back and the cell has recovered, if more are lost than is
    /// borne.
    void awaitRecovery();
    std::vector<Process*> runningControls() const;
    void disturbDisk(Process& control, const std::string& fault, milliseconds time);
    void limitFiles(Process& control, milliseconds time);
    void fillDisk(Process& control, milliseconds time);
    void fillDisksInTurn(size_t count);
    /// Records that a control process is down, cut off or slow until `end`.
    void lose(const Process& process, Time end);
    /// As lose(), and callers may see the disturbance until `end`.
    void disturb(const Process& process, const std::string& what, Time end);
    bool mayLoseDisk() const { return !m_inSeries && m_world.now() >= m_nextDiskLoss; }
    /// Returns a control process, or an entry while the series of replacements leaves no other loss to bear.
    Process& anyControlToDisturb();

    void addPlannedFaults();
    void addProcessFaults();
    void addLinkFaults();
    void addDiskFaults();
    void addReplacements();
    void addStorageFaults();
    void addOverlaps();
    void addWorkerFaults();
    void delayRegions();

    World& m_world;
    Cluster& m_cluster;
    Links& m_links;
    std::vector<std::unique_ptr<Worker>>& m_workers;
    WorkerFaults m_workerFaults;
    std::vector<std::pair<std::string, std::function<void()>>> m_faults;
    std::map<std::string, int> m_played;
    milliseconds m_longestInterval { 2'500 }; ///< Longest time from one disturbance to the next.
    Time m_nextDiskLoss { 0 };
    const std::string m_group;
    const size_t m_bearableLosses;
    bool m_inSeries = false; ///< Control processes are being replaced one after the other, or lost in overlaps.
    bool m_overlapping = false; ///< Control processes are being suspended in series, and disks are to be lost.
    Time m_servesFrom { 0 }; ///< Time by which the cell has recovered from the latest overlaps.
    std::map<const Process*, Time> m_suspendedUntil;
    std::map<const Process*, Time> m_lostUntil; ///< Control processes that count as lost.
    bool m_stopped = false;
};

} // namespace turmericpier::soak
