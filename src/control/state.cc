#include "control/state.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
#include <xxhash.h>

namespace turmericpier::control {

namespace {
    // A resend after this many later commands is taken as a new command. With 99,000 jobs and 6,600 configuration
    // changes a day that is after most of a day.
    constexpr size_t maxKeptReplies = 100'000;
    // Ended jobs that operators can still list and explain; the ledger keeps their outcomes.
    constexpr size_t maxRecordedJobs = 10'000;
    constexpr uint32_t maxTasksPerJob = 100'000;

    log::KeptReply accepted(uint64_t version)
    {
        log::KeptReply reply;
        reply.set_ok(true);
        reply.set_version(version);
        return reply;
    }

    log::KeptReply refused(const std::string& reason, const std::string& message, rpc::Outcome outcome = rpc::NOT_RUN)
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

    /// True if every entry needs to know; jobs, teams and policies concern the control leader alone.
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

JobId jobOf(const TaskId& task) { return JobId(task.str().substr(0, task.str().rfind('.'))); }

std::string ControlState::apply(Index index, std::string_view data)
{
    log::ControlCommand command;
    if (!command.ParseFromArray(data.data(), static_cast<int>(data.size())))
        return refused("MALFORMED_COMMAND", "control command cannot be parsed").SerializeAsString();
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
        return refused("MISSING_REQUEST_ID", "request_id is empty");
    const auto digest = digestOf(request);
    if (const auto kept = m_replies.find(request.request_id()); kept != m_replies.end()) {
        if (kept->second.digest() == digest)
            return kept->second;
        return refused("REQUEST_ID_REUSED", "request id " + request.request_id() + " was used for another command");
    }
    auto reply = carryOut(index, request);
    if (reply.ok() && changesSharedState(request))
        m_sharedVersion = index;
    reply.set_request_id(request.request_id());
    reply.set_digest(digest);
    keepReply(reply);
    return reply;
}

log::KeptReply ControlState::carryOut(Index index, const rpc::OperateRequest& request)
{
    const auto named = [](const std::string& name) { return !name.empty() && name.find('/') == std::string::npos; };
    switch (request.command_case()) {
    case rpc::OperateRequest::kPutTeam:
        if (!named(request.put_team().name()) || !isValid(request.put_team().quota()))
            return refused("INVALID_TEAM", "team needs a name without '/' and a quota that is not negative");
        m_teams[TeamId(request.put_team().name())] = request.put_team();
        return accepted(index.value);
    case rpc::OperateRequest::kPutPolicy:
        if (!named(request.put_policy().name()))
            return refused("INVALID_POLICY", "policy needs a name without '/'");
        m_policies[PolicyId(request.put_policy().name())] = request.put_policy();
        return accepted(index.value);
    case rpc::OperateRequest::kPutService:
        if (!named(request.put_service().name()) || !named(request.put_service().partner()))
            return refused("INVALID_SERVICE", "service needs a name and a partner without '/'");
        m_services[ServiceId(request.put_service().name())] = request.put_service();
        return accepted(index.value);
    case rpc::OperateRequest::kRemoveService:
        if (m_services.erase(ServiceId(request.remove_service())) == 0)
            return refused("NOT_FOUND", "service " + request.remove_service() + " does not exist");
        return accepted(index.value);
    case rpc::OperateRequest::kSubmitJob:
        return submitJob(index, request.submit_job());
    case rpc::OperateRequest::kCancelJob:
        return cancelJob(index, request.cancel_job());
    case rpc::OperateRequest::kDrainWorker:
        if (!m_workers.count(WorkerId(request.drain_worker())))
            return refused("NOT_FOUND", "worker " + request.drain_worker() + " is not known");
        m_drained.insert(WorkerId(request.drain_worker()));
        return accepted(index.value);
    case rpc::OperateRequest::kUndrainWorker:
        if (m_drained.erase(WorkerId(request.undrain_worker())) == 0)
            return refused("NOT_FOUND", "worker " + request.undrain_worker() + " is not drained");
        return accepted(index.value);
    case rpc::OperateRequest::kPutConfig:
        return putConfig(request.put_config());
    case rpc::OperateRequest::COMMAND_NOT_SET:
        break;
    }
    return refused("MISSING_COMMAND", "request holds no command known to this version");
}

log::KeptReply ControlState::submitJob(Index index, const rpc::Job& job)
{
    if (job.name().empty() || job.name().find('/') != std::string::npos)
        return refused("INVALID_JOB", "job needs a name without '/'");
    if (job.tasks() == 0 || job.tasks() > maxTasksPerJob)
        return refused("INVALID_JOB", absl::StrCat("tasks is ", job.tasks(), "; accepted: 1 to ", maxTasksPerJob));
    if (!isValid(job.request()))
        return refused("INVALID_JOB", "request has a negative amount");
    if (job.partner().empty() || job.partner().find('/') != std::string::npos)
        return refused("INVALID_JOB", "job needs a partner without '/'");
    if (!m_teams.count(TeamId(job.team())))
        return refused("NOT_FOUND", "team " + job.team() + " does not exist");
    if (!job.policy().empty() && !m_policies.count(PolicyId(job.policy())))
        return refused("NOT_FOUND", "policy " + job.policy() + " does not exist");
    if (m_jobs.count(JobId(job.name())))
        return refused("ALREADY_EXISTS", "job " + job.name() + " exists");
    m_jobs[JobId(job.name())] = JobRecord { .job = job, .sequence = index };
    return accepted(index.value);
}

log::KeptReply ControlState::cancelJob(Index index, const std::string& name)
{
    const auto found = m_jobs.find(JobId(name));
    if (found == m_jobs.end())
        return refused("NOT_FOUND", "job " + name + " does not exist");
    if (found->second.hasEnded)
        return refused("ALREADY_ENDED", "job " + name + " has ended", found->second.outcome);
    found->second.isCancelled = true;
    return accepted(index.value);
}

log::KeptReply ControlState::putConfig(const rpc::PutConfig& request)
{
    if (request.expected_version() != m_configVersion)
        return refused("VERSION_CONFLICT",
            absl::StrCat("expected version ", request.expected_version(), ", current version is ", m_configVersion));
    boost::json::error_code error;
    const auto value = boost::json::parse(request.content(), error);
    if (error || !value.is_object())
        return refused("INVALID_CONFIG", "content is not a JSON object");
    ++m_configVersion;
    m_config = request.content();
    return accepted(m_configVersion);
}

const std::set<TaskId>& ControlState::tasksOn(const WorkerId& worker) const
{
    static const std::set<TaskId> none;
    const auto found = m_tasksByWorker.find(worker);
    return found == m_tasksByWorker.end() ? none : found->second;
}

bool ControlState::takesTasks(const WorkerId& worker) const
{
    const auto known = m_workers.find(worker);
    return !m_drained.count(worker) && (known == m_workers.end() || !known->second.leaving());
}

void ControlState::place(const log::Placement& placement)
{
    const TaskId task(placement.task());
    unplace(task);
    m_tasksByWorker[WorkerId(placement.worker())].insert(task);
    m_placements[task] = placement;
}

void ControlState::unplace(const TaskId& task)
{
    const auto standing = m_placements.find(task);
    if (standing == m_placements.end())
        return;
    const auto tasks = m_tasksByWorker.find(WorkerId(standing->second.worker()));
    tasks->second.erase(task);
    if (tasks->second.empty())
        m_tasksByWorker.erase(tasks);
    m_placements.erase(standing);
}

log::Placements ControlState::applyPlacements(const log::Placements& placements)
{
    log::Placements result;
    for (const auto& placement : placements.placements()) {
        const TaskId task(placement.task());
        m_nextEpoch = std::max(m_nextEpoch, Epoch { placement.epoch() + 1 });
        const auto job = m_jobs.find(jobOf(task));
        if (job == m_jobs.end() || job->second.hasEnded || job->second.isCancelled
            || job->second.endedTasks.count(task))
            continue;
        const auto standing = m_placements.find(task);
        if (standing != m_placements.end() && standing->second.epoch() >= placement.epoch())
            continue;
        const WorkerId id(placement.worker());
        const auto worker = m_workers.find(id);
        if (!takesTasks(id)
            || (worker != m_workers.end() && worker->second.incarnation() != placement.worker_incarnation()))
            continue;
        place(placement);
        job->second.wasPlaced = true;
        *result.add_placements() = placement;
    }
    return result;
}

void ControlState::applyTaskEnds(const log::TaskEnds& ends)
{
    for (const auto& end : ends.ends()) {
        const TaskId task(end.task());
        const auto standing = m_placements.find(task);
        if (standing == m_placements.end() || standing->second.epoch() != end.epoch())
            continue;
        unplace(task);
        const auto job = m_jobs.find(jobOf(task));
        if (job != m_jobs.end() && end.state() != rpc::TASK_STOPPED)
            job->second.hasRun = true;
        if (job != m_jobs.end() && end.state() == rpc::TASK_FINISHED)
            job->second.endedTasks[task] = end;
    }
}

bool ControlState::exceedsWorker(const log::Grant& grant) const
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
        const auto standing = m_grants.find(key);
        if (standing != m_grants.end() && standing->second.epoch() > grant.epoch())
            continue;
        if (grant.held_slots() < grant.slots() || grant.held_connections() < grant.connections())
            continue;
        if (grant.held_slots() == 0)
            m_grants.erase(key);
        else if (!exceedsWorker(grant))
            m_grants[key] = grant;
    }
}

void ControlState::applyWorkers(const log::WorkerFacts& facts)
{
    for (const auto& worker : facts.workers()) {
        auto& standing = m_workers[WorkerId(worker.worker())];
        if (worker.incarnation() >= standing.incarnation())
            standing = worker;
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
        // A leader that took over does not know of starts that ended before.
        if (job->second.wasPlaced && end.outcome() == rpc::NOT_RUN)
            job->second.outcome = job->second.hasRun ? rpc::RAN : rpc::UNKNOWN;
        job->second.reason = end.reason();
        job->second.endIndex = index;
        const TaskId first(end.job() + ".");
        for (auto it = m_placements.lower_bound(first); it != m_placements.end() && jobOf(it->first) == job->first;)
            unplace((it++)->first);
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

void ControlState::keepReply(const log::KeptReply& reply)
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
        place(placement);
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
        keepReply(reply);
    m_nextEpoch = Epoch { snapshot.next_epoch() };
    m_nextGrantEpoch = Epoch { snapshot.next_grant_epoch() };
    m_sharedVersion = Index { snapshot.shared_version() };
    m_grantsVersion = Index { snapshot.grants_version() };
    return absl::OkStatus();
}

} // namespace turmericpier::control
