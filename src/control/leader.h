#pragma once

#include "control/grants.h"
#include "control/state.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/decision/engine.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericpier::peer::wire {
struct EntryHeartbeatT;
struct EntryHeartbeatReplyT;
}

/// What the control leader does beyond replication: decisions, workers, grants.
namespace turmericpier::control {

struct LeaderOptions {
    Term term;
    Duration workerLost = std::chrono::seconds(3);
    GrantOptions grants;
    decision::EngineOptions engine;
    std::chrono::milliseconds taskLease { 30'000 };
};

struct LeaderHooks {
    /// Proposes a command. Its effect comes back through Leader::applied(); `failed` runs instead if it is not known to
    /// be committed.
    std::function<void(log::ControlCommand command, std::function<void(absl::Status)> failed)> propose;
    /// Sends worker commands to an entry at once, without waiting for its next heartbeat.
    std::function<void(const InstanceId& entry, std::map<WorkerId, std::vector<rpc::WorkerCommand>> commands)> push;
    /// Hands the outcome of a job to the ledger; called again after a leader change.
    std::function<void(const JobRecord& job)> recordJob;
};

/// Exists only while this instance leads the control log. Not thread-safe; the caller holds the lock of the state.
class Leader {
public:
    Leader(LeaderOptions options, LeaderHooks hooks, const ControlState& state, TimePoint now);

    /// A command was applied to `state` at `index`.
    void applied(const ControlState& state, Index index, const log::ControlCommand& command, const std::string& result,
        TimePoint now);
    /// Takes in a heartbeat and fills in the reply.
    void heartbeat(const ControlState& state, const peer::wire::EntryHeartbeatT& heartbeat,
        peer::wire::EntryHeartbeatReplyT& reply, TimePoint now);
    void tick(const ControlState& state, TimePoint now);
    /// A proposal ended without a known result, so that the engine may differ from the state: it is to be rebuilt.
    bool needsRebuild() const { return m_needsRebuild; }

    const std::map<InstanceId, EntryInfo>& entries() const { return m_entries; }
    std::string explain(const JobId& job) const { return m_engine.explain(job); }
    std::string dump() const;
    bool isLost(const WorkerId& worker) const;

private:
    struct WorkerInfo {
        uint64_t incarnation = 0;
        uint64_t sequence = 0; ///< Of the last report.
        TimePoint lastReport;
        bool isLost = false;
        TimePoint lostAt;
        bool isAbandoned = false; ///< Lost for longer than the leases of its tasks.
        bool isLeaving = false;
        InstanceId entry; ///< That holds the worker's stream.
        std::set<std::pair<TaskId, Epoch>> running; ///< Last reported.
    };

    void rebuildEngine(const ControlState& state, TimePoint now);
    void run(const decision::Actions& actions);
    void carryOut(const decision::Action& action);
    void flush();
    void appliedOperate(const ControlState& state, const rpc::OperateRequest& request, TimePoint now);
    void appliedPlacements(
        const ControlState& state, const log::Placements& proposed, const std::string& result, TimePoint now);
    void appliedTaskEnds(const log::TaskEnds& ends, TimePoint now);
    void appliedWorkers(const ControlState& state, const log::WorkerFacts& facts, TimePoint now);
    void report(const ControlState& state, const InstanceId& entry, const rpc::WorkerReport& report, TimePoint now);
    void noteFacts(const ControlState& state, const rpc::WorkerReport& report);
    void reportTasks(const ControlState& state, const rpc::WorkerReport& report, TimePoint now);
    std::vector<rpc::WorkerCommand> commandsFor(const ControlState& state, const rpc::WorkerReport& report) const;
    void fenceCommands(
        const ControlState& state, const WorkerId& worker, std::vector<rpc::WorkerCommand>& commands) const;
    void confirmFences(const ControlState& state, const rpc::WorkerReport& report);
    void loseSilentWorkers(const ControlState& state, TimePoint now);
    void proposeGrants(std::vector<log::Grant> changes);
    void fillState(const ControlState& state, peer::wire::EntryHeartbeatReplyT& reply) const;
    void abandonTasks(const ControlState& state, const WorkerId& worker);
    bool mayStart(const ControlState& state, const log::Placement& placement) const;
    rpc::WorkerCommand stopCommand(const log::Placement& placement) const;
    rpc::WorkerCommand startCommand(const ControlState& state, const log::Placement& placement) const;

    LeaderOptions m_options;
    TimePoint m_startedAt;
    LeaderHooks m_hooks;
    decision::Engine m_engine;
    GrantManager m_grants;
    std::map<InstanceId, EntryInfo> m_entries;
    std::map<WorkerId, WorkerInfo> m_workers;
    std::set<JobId> m_knownJobs;
    std::map<std::pair<TaskId, Epoch>, rpc::WorkerCommand>
        m_wantedCommands; ///< Stop, checkpoint, throttle; resent until done.
    std::set<std::pair<TaskId, Epoch>> m_endsProposed;
    log::Placements m_newPlacements;
    std::set<std::pair<TaskId, Epoch>> m_placementsProposed; ///< Not applied yet.
    log::JobEnds m_newJobEnds;
    std::set<WorkerId> m_factsProposed;
    bool m_grantsProposed = false;
    TimePoint m_grantsPlanned;
    Index m_grantsApplied;
    bool m_needsRebuild = false;
};

} // namespace turmericpier::control
