#include "cell/bytes.h"
#include "turmericpier/base/error.h"
#include "turmericpier/cell/state.h"

#include <algorithm>

/// Snapshots of the replicated state.
namespace turmericpier::cell {

using record::JobState;
using record::TaskState;

std::string State::snapshot() const
{
    // The records are serialized in place, because a copy of them would take as much memory as the state. What the
    // builder does not use of its buffer takes none.
    flatbuffers::FlatBufferBuilder builder(std::max<size_t>(m_memory, 1'024));
    std::vector<flatbuffers::Offset<record::Queue>> queues;
    for (const auto& [key, queue] : m_queues)
        queues.push_back(record::Queue::Pack(builder, &queue));
    std::vector<flatbuffers::Offset<record::Worker>> workers;
    for (const auto& [serial, worker] : m_workers)
        workers.push_back(record::Worker::Pack(builder, &worker.worker));
    // Open jobs come first and in their order, which is part of the state.
    std::vector<flatbuffers::Offset<record::Job>> jobs;
    for (const auto& [order, job] : m_openJobs)
        jobs.push_back(record::Job::Pack(builder, job));
    for (const auto& [id, job] : m_jobs) {
        if (job->state != JobState::Open)
            jobs.push_back(record::Job::Pack(builder, job.get()));
    }
    std::vector<flatbuffers::Offset<record::Tenant>> tenants;
    for (const auto& [name, tenant] : m_tenants.all())
        tenants.push_back(record::Tenant::Pack(builder, &tenant));
    const auto config = m_config ? record::Config::Pack(builder, m_config.get()) : 0;
    builder.Finish(
        record::CreateSnapshotDirect(builder, config, &queues, &workers, &jobs, m_nextSerial, &tenants, m_timeMs));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

absl::Status State::restore(std::string_view data)
{
    constexpr uint32_t maxTables = 100'000'000; // A snapshot holds all jobs, and each task is a table.
    record::SnapshotT in;
    if (!unpack<record::Snapshot>(data, in, maxTables)) {
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "BAD_SNAPSHOT", "restore", "" },
            "the snapshot of the cell is not readable");
    }
    *this = State {};
    m_config = std::move(in.config);
    for (auto& queue : in.queues)
        m_queues[queueKey(queue->host, queue->prefix)] = *queue;
    for (auto& worker : in.workers)
        storeWorker(*worker, worker->serial);
    m_nextSerial = std::max<uint32_t>(1, in.next_serial);
    m_timeMs = in.time_ms;
    for (auto& job : in.jobs) {
        std::ranges::sort(job->occurrences, {}, [](const auto& occurrence) { return occurrence->number; });
        auto& stored = *(m_jobs[job->id] = std::move(job));
        m_memory += estimateMemory(stored);
        m_tenants.addJob(stored.tenant);
        indexJob(stored);
        for (const auto& occurrence : stored.occurrences) {
            for (uint32_t step = 0; step < occurrence->steps.size(); ++step) {
                for (uint32_t i = 0; i < occurrence->steps[step]->tasks.size(); ++i) {
                    const auto& task = *occurrence->steps[step]->tasks[i];
                    if (task.state == TaskState::Placed && m_workers.contains(task.worker))
                        place(stored, { stored.id, occurrence->number, step, i }, task);
                }
            }
        }
    }
    if (m_config)
        m_tenants.assign(m_config->tenants);
    for (const auto& tenant : in.tenants)
        m_tenants.restore(*tenant);
    return absl::OkStatus();
}

} // namespace turmericpier::cell
