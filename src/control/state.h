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

/// A job and what became of its tasks.
struct JobRecord {
    rpc::Job job;
    Index sequence; ///< Log index of the submission; the order of arrival.
    bool isCancelled = false;
    bool hasEnded = false;
    bool wasPlaced = false; ///< A task was placed at least once and may have run.
    bool hasRun = false; ///< The end of a run was recorded.
    rpc::Outcome outcome = rpc::UNKNOWN;
    std::string reason;
    bool isRecorded = false; ///< The outcome is in the ledger.
    Index endIndex; ///< Log index of the end.
    std::map<TaskId, log::TaskEnd> endedTasks; ///< Finished tasks; they do not run again.
};

using GrantKey = std::pair<WorkerId, InstanceId>;

/// The job of a task id made by decision::taskIdOf.
JobId jobOf(const TaskId& task);

/// Deterministic: replicas that apply the same entries are equal. Not thread-safe.
class ControlState {
public:
    /// Applies a serialized log::ControlCommand. Returns a serialized log::KeptReply for an operator's command, the
    /// accepted log::Placements for placements, and nothing otherwise.
    std::string apply(Index index, std::string_view data);
    std::string snapshot() const;
    absl::Status restore(std::string_view data);

    const std::map<TeamId, rpc::Team>& teams() const { return m_teams; }
    const std::map<PolicyId, rpc::Policy>& policies() const { return m_policies; }
    const std::map<ServiceId, rpc::Service>& services() const { return m_services; }
    const std::map<JobId, JobRecord>& jobs() const { return m_jobs; }
    const std::map<TaskId, log::Placement>& placements() const { return m_placements; }
    /// Tasks placed on the worker, in the order of their ids.
    const std::set<TaskId>& tasksOn(const WorkerId& worker) const;
    const std::map<GrantKey, log::Grant>& grants() const { return m_grants; }
    const std::map<WorkerId, rpc::WorkerReport>& workers() const { return m_workers; }
    const std::set<WorkerId>& drained() const { return m_drained; }
    /// False for a drained or leaving worker.
    bool takesTasks(const WorkerId& worker) const;
    uint64_t configVersion() const { return m_configVersion; }
    const std::string& config() const { return m_config; }
    Epoch nextEpoch() const { return m_nextEpoch; }
    Epoch nextGrantEpoch() const { return m_nextGrantEpoch; }
    /// Index of the last change of what every entry needs: services, workers, drain marks, configuration.
    Index sharedVersion() const { return m_sharedVersion; }
    Index grantsVersion() const { return m_grantsVersion; }

private:
    log::KeptReply applyOperate(Index index, const rpc::OperateRequest& request);
    log::KeptReply carryOut(Index index, const rpc::OperateRequest& request);
    log::KeptReply submitJob(Index index, const rpc::Job& job);
    log::KeptReply cancelJob(Index index, const std::string& name);
    log::KeptReply putConfig(const rpc::PutConfig& request);
    log::Placements applyPlacements(const log::Placements& placements);
    void applyTaskEnds(const log::TaskEnds& ends);
    void applyGrants(Index index, const log::GrantChanges& changes);
    void applyWorkers(const log::WorkerFacts& facts);
    void applyJobEnds(Index index, const log::JobEnds& ends);
    void applyRecordedJobs(const log::RecordedJobs& recorded);
    void place(const log::Placement& placement);
    void unplace(const TaskId& task);
    bool exceedsWorker(const log::Grant& grant) const;
    void keepReply(const log::KeptReply& reply);

    std::map<TeamId, rpc::Team> m_teams;
    std::map<PolicyId, rpc::Policy> m_policies;
    std::map<ServiceId, rpc::Service> m_services;
    std::map<JobId, JobRecord> m_jobs;
    std::map<Index, std::set<JobId>> m_recordedJobs; ///< By the index of their end; derived from m_jobs.
    size_t m_recordedCount = 0;
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
    std::deque<std::string> m_replyOrder; ///< Oldest first.
};

} // namespace turmericpier::control
