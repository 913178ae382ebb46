#pragma once

#include "log.pb.h"
#include "turmericpier/base/ids.h"

#include <absl/status/status.h>
#include <deque>
#include <map>
#include <set>
#include <string>

/// Replicated state of the control log.
namespace turmericpier::control {

/// A job, its progress and its outcome.
struct JobRecord {
    rpc::Job job;
    Index sequence; ///< Log index of the submission; gives the order of arrival.
    bool isCancelled = false;
    bool hasEnded = false;
    bool wasPlaced = false; ///< A task was placed at least once and may have run.
    bool hasRun = false; ///< A task has finished or failed.
    rpc::Outcome outcome = rpc::UNKNOWN;
    std::string reason;
    bool isRecorded = false; ///< The outcome is in the ledger.
    Index endIndex; ///< Log index of the end of the job.
    std::map<TaskId, log::TaskEnd> endedTasks; ///< Finished tasks; they are not placed again.
};

using GrantKey = std::pair<WorkerId, InstanceId>;

/// Returns the job of a task. Task IDs have the form "<job>.<number>".
JobId jobIdOf(const TaskId& task);

/// State machine of the control log. Deterministic: replicas that apply the same log entries have equal states. Not
/// thread-safe.
class ControlState {
public:
    /// Applies a serialized log::ControlCommand. Returns a serialized log::KeptReply for an operator's command, the
    /// accepted log::Placements for placements, and nothing otherwise.
    std::string apply(Index index, std::string_view data);
    /// Returns a serialized log::ControlSnapshot.
    std::string snapshot() const;
    /// Replaces the state by that of a snapshot. Returns CORRUPT_SNAPSHOT and keeps the state if it cannot be parsed.
    absl::Status restore(std::string_view data);

    const std::map<TeamId, rpc::Team>& teams() const { return m_teams; }
    const std::map<PolicyId, rpc::Policy>& policies() const { return m_policies; }
    const std::map<ServiceId, rpc::Service>& services() const { return m_services; }
    const std::map<JobId, JobRecord>& jobs() const { return m_jobs; }
    const std::map<TaskId, log::Placement>& placements() const { return m_placements; }
    /// Returns the tasks placed on the worker in the order of their IDs.
    const std::set<TaskId>& tasksOn(const WorkerId& worker) const;
    const std::map<GrantKey, log::Grant>& grants() const { return m_grants; }
    const std::map<WorkerId, rpc::WorkerReport>& workers() const { return m_workers; }
    const std::set<WorkerId>& drained() const { return m_drained; }
    /// Returns false for a drained or leaving worker.
    bool acceptsTasks(const WorkerId& worker) const;
    uint64_t configVersion() const { return m_configVersion; }
    const std::string& config() const { return m_config; }
    Epoch nextEpoch() const { return m_nextEpoch; }
    Epoch nextGrantEpoch() const { return m_nextGrantEpoch; }
    /// Returns the log index of the last change of the state that every entry needs: services, workers, drain marks and
    /// configuration.
    Index sharedVersion() const { return m_sharedVersion; }
    /// Returns the log index of the last grant command.
    Index grantsVersion() const { return m_grantsVersion; }

private:
    log::KeptReply applyOperate(Index index, const rpc::OperateRequest& request);
    log::KeptReply executeCommand(Index index, const rpc::OperateRequest& request);
    log::KeptReply submitJob(Index index, const rpc::Job& job);
    log::KeptReply cancelJob(Index index, const std::string& name);
    log::KeptReply putConfig(const rpc::PutConfig& request);
    log::Placements applyPlacements(const log::Placements& placements);
    void applyTaskEnds(const log::TaskEnds& ends);
    void applyGrants(Index index, const log::GrantChanges& changes);
    void applyWorkers(const log::WorkerFacts& facts);
    void applyJobEnds(Index index, const log::JobEnds& ends);
    void applyRecordedJobs(const log::RecordedJobs& recorded);
    void addPlacement(const log::Placement& placement);
    void removePlacement(const TaskId& task);
    /// Returns true if the grant and those of other entries together exceed the slots or connections of the worker.
    bool exceedsWorkerCapacity(const log::Grant& grant) const;
    /// Keeps the reply for a resend of the command and evicts the oldest reply above the limit.
    void storeReply(const log::KeptReply& reply);

    std::map<TeamId, rpc::Team> m_teams;
    std::map<PolicyId, rpc::Policy> m_policies;
    std::map<ServiceId, rpc::Service> m_services;
    std::map<JobId, JobRecord> m_jobs;
    std::map<Index, std::set<JobId>> m_recordedJobs; ///< Keyed by the log index of their end; derived from m_jobs.
    size_t m_recordedCount = 0; ///< Number of jobs in m_recordedJobs.
    std::map<TaskId, log::Placement> m_placements;
    std::map<WorkerId, std::set<TaskId>> m_tasksByWorker; ///< Derived from m_placements.
    std::map<GrantKey, log::Grant> m_grants;
    std::map<WorkerId, rpc::WorkerReport> m_workers;
    std::set<WorkerId> m_drained;
    uint64_t m_configVersion = 0;
    std::string m_config = "{}";
    Epoch m_nextEpoch { 1 };
    Epoch m_nextGrantEpoch { 1 };
    Index m_sharedVersion;
    Index m_grantsVersion;
    std::map<std::string, log::KeptReply> m_replies;
    std::deque<std::string> m_replyOrder; ///< Request IDs of m_replies, oldest first.
};

} // namespace turmericpier::control
