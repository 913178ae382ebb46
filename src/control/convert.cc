#include "control/convert.h"

namespace turmericpier::control {

Resources fromRpc(const rpc::Resources& resources)
{
    return { MilliCpu { resources.milli_cpu() }, MemoryMib { resources.memory_mib() },
        Accelerators { resources.accelerators() } };
}

rpc::Resources toRpc(const Resources& resources)
{
    rpc::Resources result;
    result.set_milli_cpu(resources.cpu.value);
    result.set_memory_mib(resources.memory.value);
    result.set_accelerators(resources.accelerators.value);
    return result;
}

decision::Worker workerFromRpc(const rpc::WorkerReport& report)
{
    return { WorkerId(report.worker()), DataCentreId(report.data_centre()), RegionId(report.region()),
        RackId(report.rack()), fromRpc(report.capacity()) };
}

decision::Team teamFromRpc(const rpc::Team& team) { return { TeamId(team.name()), fromRpc(team.quota()) }; }

decision::Policy policyFromRpc(const rpc::Policy& policy)
{
    decision::Policy result;
    result.id = PolicyId(policy.name());
    if (policy.score() == rpc::Policy::WAITING_FIRST)
        result.score = decision::ScoreKind::WaitingFirst;
    else if (policy.score() == rpc::Policy::PACKING_FIRST)
        result.score = decision::ScoreKind::PackingFirst;
    result.maxPreemptions = policy.max_preemptions();
    result.maxRetries = policy.max_retries();
    return result;
}

decision::Job jobFromRpc(const rpc::Job& job)
{
    decision::Job result;
    result.id = JobId(job.name());
    result.team = TeamId(job.team());
    result.policy = PolicyId(job.policy());
    if (job.kind() == rpc::Job::SERVICE)
        result.kind = decision::JobKind::Service;
    else if (job.kind() == rpc::Job::GANG)
        result.kind = decision::JobKind::Gang;
    result.tasks = job.tasks();
    result.request = fromRpc(job.request());
    result.priority = job.priority();
    result.declaredRunTime = std::chrono::milliseconds(job.run_time_ms());
    result.family = job.family().empty() ? job.name() : job.family();
    result.minAvailable = job.min_available();
    return result;
}

decision::Placement placementFromLog(const log::Placement& placement)
{
    return { TaskId(placement.task()), WorkerId(placement.worker()), Epoch { placement.epoch() },
        fromRpc(placement.limit()), Incarnation { placement.worker_incarnation() } };
}

rpc::Outcome toRpc(Outcome outcome) { return static_cast<rpc::Outcome>(outcome); }

Outcome fromRpc(rpc::Outcome outcome) { return static_cast<Outcome>(outcome); }

} // namespace turmericpier::control
