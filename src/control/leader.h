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

/// The work of the control leader beyond replication: scheduling decisions, worker supervision and slot grants.
namespace turmericpier::control {

struct LeaderOptions {
    Term term;
    Duration workerTimeout = std::chrono::seconds(3); ///< A worker without a report for this long is lost.
    GrantOptions grants;
    decision::EngineOptions engine;
    /// Lease of a task; the reply to each report of its worker renews it.
    std::chrono::milliseconds taskLease { 30'000 };
};

/// Functions through which the leader acts on the log, the entries and the ledger.
struct LeaderHooks {
    /// Proposes a command to the control log. Leader::onApplied() runs once the command is applied; `failed` runs if
    /// the proposal failed or its result is unknown, in which case the command may still be applied later.
    std::function<void(log::ControlCommand command, std::function<void(absl::Status)> failed)> propose;
    /// Sends worker commands to an entry at once, without waiting for its next heartbeat.
    std::function<void(const InstanceId& entry, std::map<WorkerId, std::vector<rpc::WorkerCommand>> commands)> push;
    /// Writes the outcome of a job to the ledger. Called again by the next leader if the record is not confirmed.
    std::function<void(const JobRecord& job)> recordJob;
};

/// Runs the decision engine on the replicated state and turns its actions into log commands and worker commands. Exists
/// only while this instance leads the control log. Not thread-safe; the caller holds the lock of the state.
class Leader {
public:
    /// Rebuilds the engine from the state and records again the ended jobs whose ledger record is not confirmed.
    Leader(LeaderOptions options, LeaderHooks hooks, const ControlState& state, TimePoint now);

    /// Updates the leader after `command` was applied to `state` at `index` with the given result.
    void onApplied(const ControlState& state, Index index, const log::ControlCommand& command,
        const std::string& result, TimePoint now);
    /// Processes the heartbeat of an entry, with the worker reports it carries, and fills in the reply.
    void handleHeartbeat(const ControlState& state, const peer::wire::EntryHeartbeatT& heartbeat,
        peer::wire::EntryHeartbeatReplyT& reply, TimePoint now);
    /// Detects lost entries and workers, runs the timers of the engine and plans grants.
    void tick(const ControlState& state, TimePoint now);
    /// Returns true if the engine may differ from the state, so that the leader must be rebuilt: the result of a
    /// proposal is unknown, or a placement of a former leader was applied.
    bool needsRebuild() const { return m_needsRebuild; }

    const std::map<InstanceId, EntryInfo>& entries() const { return m_entries; }
    std::string explain(const JobId& job) const { return m_engine.explain(job); }
    std::string dump() const;
    /// Returns true for a worker that is unknown to the leader or has not reported within the timeout.
    bool isLost(const WorkerId& worker) const;

private:
    struct WorkerInfo {
        uint64_t incarnation = 0;
        uint64_t sequence = 0; ///< Sequence number of the last report.
        TimePoint lastReport;
        bool isLost = false;
        TimePoint lostAt;
        bool isAbandoned = false; ///< The worker is lost for longer than the leases of its tasks.
        bool isLeaving = false;
        InstanceId entry; ///< The entry that holds the worker's stream; empty if not known.
        std::set<std::pair<TaskId, Epoch>> running; ///< Running tasks of the last report.
    };

    void rebuildEngine(const ControlState& state, TimePoint now);
    void executeActions(const decision::Actions& actions);
    void executeAction(const decision::Action& action);
    /// Proposes the placements and job ends collected from the actions of the engine.
    void flush();
    void onOperateApplied(const ControlState& state, const rpc::OperateRequest& request, TimePoint now);
    void onPlacementsApplied(
        const ControlState& state, const log::Placements& proposed, const std::string& result, TimePoint now);
    void onTaskEndsApplied(const log::TaskEnds& ends, TimePoint now);
    void onWorkersApplied(const ControlState& state, const log::WorkerFacts& facts, TimePoint now);
    void handleReport(
        const ControlState& state, const InstanceId& entry, const rpc::WorkerReport& report, TimePoint now);
    /// Proposes the changed facts of a worker unless such a proposal is in flight or the report is of an older
    /// incarnation.
    void proposeFacts(const ControlState& state, const rpc::WorkerReport& report);
    void handleTaskReports(const ControlState& state, const rpc::WorkerReport& report, TimePoint now);
    /// Returns the commands in reply to a report: lease renewals and the commands that are not done yet.
    std::vector<rpc::WorkerCommand> buildCommands(const ControlState& state, const rpc::WorkerReport& report) const;
    /// Adds a fence for each revoked grant on the worker that a lost entry may still use.
    void addFenceCommands(
        const ControlState& state, const WorkerId& worker, std::vector<rpc::WorkerCommand>& commands) const;
    /// Proposes the release of grants whose epoch the worker reports as fenced.
    void confirmFences(const ControlState& state, const rpc::WorkerReport& report);
    void markLostWorkers(const ControlState& state, TimePoint now);
    void proposeGrants(std::vector<log::Grant> changes);
    void fillSharedState(const ControlState& state, peer::wire::EntryHeartbeatReplyT& reply) const;
    /// Marks the tasks of a worker as to be stopped once it is lost for longer than their leases. The engine gives them
    /// up then; if the worker returns before they are placed again, it must not receive the former starts.
    void abandonTasks(const ControlState& state, const WorkerId& worker);
    /// Returns true if the placed task may still be started: its job is active, no stop or checkpoint is pending and
    /// its worker accepts tasks.
    bool mayStart(const ControlState& state, const log::Placement& placement) const;
    rpc::WorkerCommand makeStopCommand(const log::Placement& placement) const;
    rpc::WorkerCommand makeStartCommand(const ControlState& state, const log::Placement& placement) const;

    LeaderOptions m_options;
    TimePoint m_startedAt;
    LeaderHooks m_hooks;
    decision::Engine m_engine;
    GrantManager m_grants;
    std::map<InstanceId, EntryInfo> m_entries;
    std::map<WorkerId, WorkerInfo> m_workers;
    std::set<JobId> m_knownJobs;
    /// Stop, checkpoint and throttle commands; resent with each heartbeat reply until the task ends.
    std::map<std::pair<TaskId, Epoch>, rpc::WorkerCommand> m_pendingCommands;
    std::set<std::pair<TaskId, Epoch>> m_endsProposed; ///< Proposed and not applied yet.
    log::Placements m_newPlacements;
    std::set<std::pair<TaskId, Epoch>> m_placementsProposed; ///< Proposed and not applied yet.
    log::JobEnds m_newJobEnds;
    std::set<WorkerId> m_factsProposed; ///< Workers whose facts are proposed and not applied yet.
    bool m_grantsProposed = false; ///< At most one grant proposal is in flight.
    TimePoint m_grantsPlanned; ///< Time of the last plan.
    Index m_grantsApplied; ///< Log index of the last grant change applied.
    bool m_needsRebuild = false;
};

} // namespace turmericpier::control
