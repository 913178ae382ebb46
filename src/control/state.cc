#include "control/state.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

namespace turmericpier::control {

namespace {
    // A command resent after this many later commands is executed again as a new one. At 99,000 jobs and 6,600
    // configuration changes a day, the replies cover most of a day.
    constexpr size_t maxKeptReplies = 100'000;
    // Number of ended jobs that operators can still list and explain; older ones are evicted, and their outcomes remain
    // in the ledger.
    constexpr size_t maxRecordedJobs = 10'000;
    constexpr uint32_t maxTasksPerJob = 100'000;

    log::KeptReply acceptedReply(uint64_t version)
    {
        log::KeptReply reply;
        reply.set_ok(true);
        reply.set_version(version);
        return reply;
    }

    log::KeptReply refusedReply(
        const std::string& reason, const std::string& message, rpc::Outcome outcome = rpc::NOT_RUN)
    {
        log::KeptReply reply;
        auto& failure = *reply.mutable_failure();
        failure.set_outcome(outcome);
        failure.set_reason(reason);
        failure.set_step("apply");
        failure.set_peer("control");
        failure.set_message(message);
        return reply;
    }

    bool isValid(const rpc::Resources& resources)
    {
        return resources.milli_cpu() >= 0 && resources.memory_mib() >= 0 && resources.accelerators() >= 0;
    }

    /// Returns true if the command changes state that every entry needs. Only the control leader needs jobs, teams and
    /// policies.
    bool changesSharedState(const rpc::OperateRequest& request)
    {
        return request.has_put_service() || request.command_case() == rpc::OperateRequest::kRemoveService
            || request.command_case() == rpc::OperateRequest::kDrainWorker
            || request.command_case() == rpc::OperateRequest::kUndrainWorker || request.has_put_config();
    }

    uint64_t digestOf(const rpc::OperateRequest& request)
    {
        const auto bytes = request.SerializeAsString();
        return XXH3_64bits(bytes.data(), bytes.size());
    }

    template <typename Key, typename Value>
    void copyValues(const std::map<Key, Value>& from, google::protobuf::RepeatedPtrField<Value>& to)
    {
        for (const auto& [key, value] : from)
            *to.Add() = value;
    }
} // namespace

JobId jobIdOf(const TaskId& task) { return JobId(task.str().substr(0, task.str().rfind('.'))); }

std::string ControlState::apply(Index index, std::string_view data)
{
    log::ControlCommand command;
    if (!command.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return refusedReply("MALFORMED_COMMAND", "control command cannot be parsed").SerializeAsString();
    switch (command.command_case()) {
    case log::ControlCommand::kOperate:
        return applyOperate(index, command.operate()).SerializeAsString();
    case log::ControlCommand::kPlacements:
        return applyPlacements(command.placements()).SerializeAsString();
    case log::ControlCommand::kTaskEnds:
        applyTaskEnds(command.task_ends());
        break;
    case log::ControlCommand::kGrants:
        applyGrants(index, command.grants());
        break;
    case log::ControlCommand::kWorkers:
        applyWorkers(command.workers());
        m_sharedVersion = index;
        break;
    case log::ControlCommand::kJobEnds:
        applyJobEnds(index, command.job_ends());
        break;
    case log::ControlCommand::kRecordedJobs:
        applyRecordedJobs(command.recorded_jobs());
        break;
    case log::ControlCommand::COMMAND_NOT_SET:
        break;
    }
    return {};
}

log::KeptReply ControlState::applyOperate(Index index, const rpc::OperateRequest& request)
{
    if (request.request_id().empty())
        return refusedReply("MISSING_REQUEST_ID", "request_id is empty");
    const auto digest = digestOf(request);
    if (const auto kept = m_replies.find(request.request_id()); kept != m_replies.end()) {
        if (kept->second.digest() == digest)
            return kept->second;
        return refusedReply(
            "REQUEST_ID_REUSED", "request id " + request.request_id() + " was used for another command");
    }
    auto reply = executeCommand(index, request);
    if (reply.ok() && changesSharedState(request))
        m_sharedVersion = index;
    reply.set_request_id(request.request_id());
    reply.set_digest(digest);
    storeReply(reply);
    return reply;
}

log::KeptReply ControlState::executeCommand(Index index, const rpc::OperateRequest& request)
{
    const auto isValidName
        = [](const std::string& name) { return !name.empty() && name.find('/') == std::string::npos; };
    switch (request.command_case()) {
    case rpc::OperateRequest::kPutTeam:
        if (!isValidName(request.put_team().name()) || !isValid(request.put_team().quota()))
            return refusedReply("INVALID_TEAM", "team needs a name without '/' and a quota that is not negative");
        m_teams[TeamId(request.put_team().name())] = request.put_team();
        return acceptedReply(index.value);
    case rpc::OperateRequest::kPutPolicy:
        if (!isValidName(request.put_policy().name()))
            return refusedReply("INVALID_POLICY", "policy needs a name without '/'");
        m_policies[PolicyId(request.put_policy().name())] = request.put_policy();
        return acceptedReply(index.value);
    case rpc::OperateRequest::kPutService:
        if (!isValidName(request.put_service().name()) || !isValidName(request.put_service().partner()))
            return refusedReply("INVALID_SERVICE", "service needs a name and a partner without '/'");
        m_services[ServiceId(request.put_service().name())] = request.put_service();
        return acceptedReply(index.value);
    case rpc::OperateRequest::kRemoveService:
        if (m_services.erase(ServiceId(request.remove_service())) == 0)
            return refusedReply("NOT_FOUND", "service " + request.remove_service() + " does not exist");
        return acceptedReply(index.value);
    case rpc::OperateRequest::kSubmitJob:
        return submitJob(index, request.submit_job());
    case rpc::OperateRequest::kCancelJob:
        return cancelJob(index, request.cancel_job());
    case rpc::OperateRequest::kDrainWorker:
        if (!m_workers.count(WorkerId(request.drain_worker())))
            return refusedReply("NOT_FOUND", "worker " + request.drain_worker() + " is not known");
        m_drained.insert(WorkerId(request.drain_worker()));
        return acceptedReply(index.value);
    case rpc::OperateRequest::kUndrainWorker:
        if (m_drained.erase(WorkerId(request.undrain_worker())) == 0)
            return refusedReply("NOT_FOUND", "worker " + request.undrain_worker() + " is not drained");
        return acceptedReply(index.value);
    case rpc::OperateRequest::kPutConfig:
        return putConfig(request.put_config());
    case rpc::OperateRequest::COMMAND_NOT_SET:
        break;
    }
    return refusedReply("MISSING_COMMAND", "request holds no command known to this version");
}

log::KeptReply ControlState::submitJob(Index index, const rpc::Job& job)
{
    if (job.name().empty() || job.name().find('/') != std::string::npos)
        return refusedReply("INVALID_JOB", "job needs a name without '/'");
    if (job.tasks() == 0 || job.tasks() > maxTasksPerJob)
        return refusedReply("INVALID_JOB", absl::StrCat("tasks is ", job.tasks(), "; accepted: 1 to ", maxTasksPerJob));
    if (!isValid(job.request()))
        return refusedReply("INVALID_JOB", "request has a negative amount");
    if (job.partner().empty() || job.partner().find('/') != std::string::npos)
        return refusedReply("INVALID_JOB", "job needs a partner without '/'");
    if (!m_teams.count(TeamId(job.team())))
        return refusedReply("NOT_FOUND", "team " + job.team() + " does not exist");
    if (!job.policy().empty() && !m_policies.count(PolicyId(job.policy())))
        return refusedReply("NOT_FOUND", "policy " + job.policy() + " does not exist");
    if (m_jobs.count(JobId(job.name())))
        return refusedReply("ALREADY_EXISTS", "job " + job.name() + " exists");
    m_jobs[JobId(job.name())] = JobRecord { .job = job, .sequence = index };
    return acceptedReply(index.value);
}

log::KeptReply ControlState::cancelJob(Index index, const std::string& name)
{
    const auto found = m_jobs.find(JobId(name));
    if (found == m_jobs.end())
        return refusedReply("NOT_FOUND", "job " + name + " does not exist");
    if (found->second.hasEnded)
        return refusedReply("ALREADY_ENDED", "job " + name + " has ended", found->second.outcome);
    found->second.isCancelled = true;
    return acceptedReply(index.value);
}

log::KeptReply ControlState::putConfig(const rpc::PutConfig& request)
{
    if (request.expected_version() != m_configVersion)
        return refusedReply("VERSION_CONFLICT",
            absl::StrCat("expected version ", request.expected_version(), ", current version is ", m_configVersion));
    boost::json::error_code error;
    const auto value = boost::json::parse(request.content(), error);
    if (error || !value.is_object())
        return refusedReply("INVALID_CONFIG", "content is not a JSON object");
    ++m_configVersion;
    m_config = request.content();
    return acceptedReply(m_configVersion);
}

const std::set<TaskId>& ControlState::tasksOn(const WorkerId& worker) const
{
    static const std::set<TaskId> none;
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? none : found->second;
}

bool ControlState::acceptsTasks(const WorkerId& worker) const
{
    const auto known = m_workers.find(worker);
    return !m_drained.count(worker) && (known == m_workers.end() || !known->second.leaving());
}

void ControlState::addPlacement(const log::Placement& placement)
{
    const TaskId task(placement.task());
    removePlacement(task);
    m_tasksByWorker[WorkerId(placement.worker())].insert(task);
    m_placements[task] = placement;
}

void ControlState::removePlacement(const TaskId& task)
{
    const auto existing = m_placements.find(task);
    if (existing == m_placements.end())
        return;
    const auto tasks = m_tasksByWorker.find(WorkerId(existing->second.worker()));
    tasks->second.erase(task);
    if (tasks->second.empty())
        m_tasksByWorker.erase(tasks);
    m_placements.erase(existing);
}

log::Placements ControlState::applyPlacements(const log::Placements& placements)
{
    log::Placements result;
    for (const auto& placement : placements.placements()) {
        const TaskId task(placement.task());
        m_nextEpoch = std::max(m_nextEpoch, Epoch { placement.epoch() + 1 });
        const auto job = m_jobs.find(jobIdOf(task));
        if (job == m_jobs.end() || job->second.hasEnded || job->second.isCancelled
            || job->second.endedTasks.count(task))
            continue;
        const auto existing = m_placements.find(task);
        if (existing != m_placements.end() && existing->second.epoch() >= placement.epoch())
            continue;
        const WorkerId id(placement.worker());
        const auto worker = m_workers.find(id);
        if (!acceptsTasks(id)
            || (worker != m_workers.end() && worker->second.incarnation() != placement.worker_incarnation()))
            continue;
        addPlacement(placement);
        job->second.wasPlaced = true;
        *result.add_placements() = placement;
    }
    return result;
}

void ControlState::applyTaskEnds(const log::TaskEnds& ends)
{
    for (const auto& end : ends.ends()) {
        const TaskId task(end.task());
        const auto existing = m_placements.find(task);
        if (existing == m_placements.end() || existing->second.epoch() != end.epoch())
            continue;
        removePlacement(task);
        const auto job = m_jobs.find(jobIdOf(task));
        if (job != m_jobs.end() && end.state() != rpc::TASK_STOPPED)
            job->second.hasRun = true;
        if (job != m_jobs.end() && end.state() == rpc::TASK_FINISHED)
            job->second.endedTasks[task] = end;
    }
}

bool ControlState::exceedsWorkerCapacity(const log::Grant& grant) const
{
    const auto worker = m_workers.find(WorkerId(grant.worker()));
    if (worker == m_workers.end())
        return true;
    uint64_t slots = grant.held_slots();
    uint64_t connections = grant.held_connections();
    for (auto it = m_grants.lower_bound({ WorkerId(grant.worker()), InstanceId() });
         it != m_grants.end() && it->first.first.str() == grant.worker(); ++it) {
        if (it->second.entry() == grant.entry())
            continue;
        slots += it->second.held_slots();
        connections += it->second.held_connections();
    }
    return slots > worker->second.slots() || connections > worker->second.connections();
}

void ControlState::applyGrants(Index index, const log::GrantChanges& changes)
{
    m_grantsVersion = index;
    for (const auto& grant : changes.grants()) {
        m_nextGrantEpoch = std::max(m_nextGrantEpoch, Epoch { grant.epoch() + 1 });
        const GrantKey key { WorkerId(grant.worker()), InstanceId(grant.entry()) };
        const auto existing = m_grants.find(key);
        if (existing != m_grants.end() && existing->second.epoch() > grant.epoch())
            continue;
        if (grant.held_slots() < grant.slots() || grant.held_connections() < grant.connections())
            continue;
        if (grant.held_slots() == 0)
            m_grants.erase(key);
        else if (!exceedsWorkerCapacity(grant))
            m_grants[key] = grant;
    }
}

void ControlState::applyWorkers(const log::WorkerFacts& facts)
{
    for (const auto& worker : facts.workers()) {
        auto& existing = m_workers[WorkerId(worker.worker())];
        if (worker.incarnation() >= existing.incarnation())
            existing = worker;
    }
}

void ControlState::applyJobEnds(Index index, const log::JobEnds& ends)
{
    for (const auto& end : ends.ends()) {
        const auto job = m_jobs.find(JobId(end.job()));
        if (job == m_jobs.end() || job->second.hasEnded)
            continue;
        job->second.hasEnded = true;
        job->second.outcome = end.outcome();
        // A new leader does not know of tasks that were started and ended under a former one.
        if (job->second.wasPlaced && end.outcome() == rpc::NOT_RUN)
            job->second.outcome = job->second.hasRun ? rpc::RAN : rpc::UNKNOWN;
        job->second.reason = end.reason();
        job->second.endIndex = index;
        const TaskId first(end.job() + ".");
        for (auto it = m_placements.lower_bound(first); it != m_placements.end() && jobIdOf(it->first) == job->first;)
            removePlacement((it++)->first);
    }
}

void ControlState::applyRecordedJobs(const log::RecordedJobs& recorded)
{
    for (const auto& name : recorded.jobs()) {
        const auto job = m_jobs.find(JobId(name));
        if (job == m_jobs.end() || !job->second.hasEnded || job->second.isRecorded)
            continue;
        job->second.isRecorded = true;
        m_recordedJobs[job->second.endIndex].insert(job->first);
        ++m_recordedCount;
    }
    while (m_recordedCount > maxRecordedJobs) {
        auto& oldest = m_recordedJobs.begin()->second;
        m_jobs.erase(*oldest.begin());
        oldest.erase(oldest.begin());
        --m_recordedCount;
        if (oldest.empty())
            m_recordedJobs.erase(m_recordedJobs.begin());
    }
}

void ControlState::storeReply(const log::KeptReply& reply)
{
    m_replies[reply.request_id()] = reply;
    m_replyOrder.push_back(reply.request_id());
    if (m_replyOrder.size() > maxKeptReplies) {
        m_replies.erase(m_replyOrder.front());
        m_replyOrder.pop_front();
    }
}

std::string ControlState::snapshot() const
{
    log::ControlSnapshot snapshot;
    copyValues(m_teams, *snapshot.mutable_teams());
    copyValues(m_policies, *snapshot.mutable_policies());
    copyValues(m_services, *snapshot.mutable_services());
    copyValues(m_placements, *snapshot.mutable_placements());
    copyValues(m_grants, *snapshot.mutable_grants());
    copyValues(m_workers, *snapshot.mutable_workers());
    for (const auto& [id, record] : m_jobs) {
        auto& job = *snapshot.add_jobs();
        *job.mutable_job() = record.job;
        job.set_sequence(record.sequence.value);
        job.set_cancelled(record.isCancelled);
        job.set_placed(record.wasPlaced);
        job.set_ran(record.hasRun);
        job.set_ended(record.hasEnded);
        job.set_outcome(record.outcome);
        job.set_reason(record.reason);
        job.set_recorded(record.isRecorded);
        job.set_end_index(record.endIndex.value);
        copyValues(record.endedTasks, *job.mutable_ended_tasks());
    }
    for (const auto& worker : m_drained)
        snapshot.add_drained(worker.str());
    snapshot.set_config_version(m_configVersion);
    snapshot.set_config(m_config);
    for (const auto& id : m_replyOrder)
        *snapshot.add_replies() = m_replies.at(id);
    snapshot.set_next_epoch(m_nextEpoch.value);
    snapshot.set_next_grant_epoch(m_nextGrantEpoch.value);
    snapshot.set_shared_version(m_sharedVersion.value);
    snapshot.set_grants_version(m_grantsVersion.value);
    return snapshot.SerializeAsString();
}

absl::Status ControlState::restore(std::string_view data)
{
    log::ControlSnapshot snapshot;
    if (!snapshot.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "CORRUPT_SNAPSHOT", "restore", "control" },
            absl::StrCat("control snapshot of ", data.size(), " bytes cannot be parsed"));
    *this = ControlState();
    for (const auto& team : snapshot.teams())
        m_teams[TeamId(team.name())] = team;
    for (const auto& policy : snapshot.policies())
        m_policies[PolicyId(policy.name())] = policy;
    for (const auto& service : snapshot.services())
        m_services[ServiceId(service.name())] = service;
    for (const auto& placement : snapshot.placements())
        addPlacement(placement);
    for (const auto& grant : snapshot.grants())
        m_grants[{ WorkerId(grant.worker()), InstanceId(grant.entry()) }] = grant;
    for (const auto& worker : snapshot.workers())
        m_workers[WorkerId(worker.worker())] = worker;
    for (const auto& job : snapshot.jobs()) {
        auto& record = m_jobs[JobId(job.job().name())];
        record.job = job.job();
        record.sequence = Index { job.sequence() };
        record.isCancelled = job.cancelled();
        record.hasEnded = job.ended();
        record.outcome = job.outcome();
        record.reason = job.reason();
        record.wasPlaced = job.placed();
        record.hasRun = job.ran();
        record.isRecorded = job.recorded();
        record.endIndex = Index { job.end_index() };
        if (record.isRecorded) {
            m_recordedJobs[record.endIndex].insert(JobId(job.job().name()));
            ++m_recordedCount;
        }
        for (const auto& end : job.ended_tasks())
            record.endedTasks[TaskId(end.task())] = end;
    }
    for (const auto& worker : snapshot.drained())
        m_drained.insert(WorkerId(worker));
    m_configVersion = snapshot.config_version();
    m_config = snapshot.config();
    for (const auto& reply : snapshot.replies())
        storeReply(reply);
    m_nextEpoch = Epoch { snapshot.next_epoch() };
    m_nextGrantEpoch = Epoch { snapshot.next_grant_epoch() };
    m_sharedVersion = Index { snapshot.shared_version() };
    m_grantsVersion = Index { snapshot.grants_version() };
    return absl::OkStatus();
}

} // namespace turmericpier::control
