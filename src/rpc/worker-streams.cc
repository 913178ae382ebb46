#include "rpc/worker-streams.h"

#include <deque>

namespace turmericpier::rpc {

namespace {
    constexpr size_t maxQueuedCommands = 10'000; // Large enough for a mass cancellation of tasks on one worker.
} // namespace

/// One announce stream. Holds a reference to itself until gRPC has finished the call.
class WorkerStreams::Stream final : public grpc::ServerBidiReactor<WorkerReport, WorkerCommand> {
public:
    explicit Stream(WorkerStreams& owner)
        : m_owner(owner)
    {
    }

    void begin(std::shared_ptr<Stream> self)
    {
        m_self = std::move(self);
        StartRead(&m_report);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            finishOnce();
            return;
        }
        m_owner.handleReport(m_self, m_report);
        StartRead(&m_report);
    }

    void OnWriteDone(bool ok) override
    {
        std::lock_guard lock(m_mutex);
        m_commandQueue.pop_front();
        if (ok && !m_isFinished && !m_commandQueue.empty())
            StartWrite(&m_commandQueue.front());
    }

    void OnCancel() override { finishOnce(); }

    void OnDone() override
    {
        m_owner.removeStream(m_self);
        m_self.reset();
    }

    bool send(WorkerCommand command)
    {
        std::lock_guard lock(m_mutex);
        if (m_isFinished || m_commandQueue.size() >= maxQueuedCommands)
            return false;
        m_commandQueue.push_back(std::move(command));
        if (m_commandQueue.size() == 1)
            StartWrite(&m_commandQueue.front());
        return true;
    }

    void finishOnce()
    {
        std::lock_guard lock(m_mutex);
        if (m_isFinished)
            return;
        m_isFinished = true;
        Finish(grpc::Status::OK);
    }

    WorkerId worker; ///< Guarded by the mutex of the owner.

private:
    WorkerStreams& m_owner;
    std::shared_ptr<Stream> m_self;
    WorkerReport m_report;
    std::mutex m_mutex;
    std::deque<WorkerCommand> m_commandQueue; ///< The first command is being written.
    bool m_isFinished = false;
};

WorkerStreams::WorkerStreams(Metrics& metrics)
    : m_metrics(metrics)
{
}

grpc::ServerBidiReactor<WorkerReport, WorkerCommand>* WorkerStreams::Announce(grpc::CallbackServerContext*)
{
    auto stream = std::make_shared<Stream>(*this);
    auto* reactor = stream.get();
    reactor->begin(stream);
    if (std::lock_guard lock(m_mutex); m_isClosed)
        reactor->finishOnce();
    return reactor;
}

void WorkerStreams::handleReport(const std::shared_ptr<Stream>& stream, WorkerReport report)
{
    const WorkerId worker(report.worker());
    std::lock_guard lock(m_mutex);
    m_metrics.counter("worker_reports_total").increment();
    stream->worker = worker;
    m_streams[worker] = stream;
    m_reports[worker] = std::move(report);
}

void WorkerStreams::removeStream(const std::shared_ptr<Stream>& stream)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_streams.find(stream->worker);
    if (found != m_streams.end() && found->second == stream)
        m_streams.erase(found);
}

std::vector<WorkerReport> WorkerStreams::takeReports()
{
    std::vector<WorkerReport> reports;
    std::lock_guard lock(m_mutex);
    for (auto& [worker, report] : m_reports)
        reports.push_back(std::move(report));
    m_reports.clear();
    return reports;
}

std::vector<WorkerId> WorkerStreams::attachedWorkers() const
{
    std::vector<WorkerId> workers;
    std::lock_guard lock(m_mutex);
    for (const auto& [worker, stream] : m_streams)
        workers.push_back(worker);
    return workers;
}

bool WorkerStreams::send(const WorkerId& worker, WorkerCommand command)
{
    std::shared_ptr<Stream> stream;
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(worker);
        if (found == m_streams.end())
            return false;
        stream = found->second;
    }
    return stream->send(std::move(command));
}

void WorkerStreams::closeAll()
{
    std::vector<std::shared_ptr<Stream>> streams;
    {
        std::lock_guard lock(m_mutex);
        m_isClosed = true;
        for (const auto& [worker, stream] : m_streams)
            streams.push_back(stream);
    }
    for (const auto& stream : streams)
        stream->finishOnce();
}

} // namespace turmericpier::rpc
