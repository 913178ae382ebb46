#include "rpc/worker-streams.h"

#include <deque>

namespace turmericpier::rpc {

namespace {
    constexpr size_t maxQueuedCommands = 10'000; // a cancellation wave on one worker fits
} // namespace

/// One announce stream. Keeps itself alive until gRPC is done with it.
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
        m_owner.reported(m_self, m_report);
        StartRead(&m_report);
    }

    void OnWriteDone(bool ok) override
    {
        std::lock_guard lock(m_mutex);
        m_queue.pop_front();
        if (ok && !m_isFinished && !m_queue.empty())
            StartWrite(&m_queue.front());
    }

    void OnCancel() override { finishOnce(); }

    void OnDone() override
    {
        m_owner.ended(m_self);
        m_self.reset();
    }

    bool send(WorkerCommand command)
    {
        std::lock_guard lock(m_mutex);
        if (m_isFinished || m_queue.size() >= maxQueuedCommands)
            return false;
        m_queue.push_back(std::move(command));
        if (m_queue.size() == 1)
            StartWrite(&m_queue.front());
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

    WorkerId worker; ///< Guarded by the owner.

private:
    WorkerStreams& m_owner;
    std::shared_ptr<Stream> m_self;
    WorkerReport m_report;
    std::mutex m_mutex;
    std::deque<WorkerCommand> m_queue; ///< The front is being written.
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

void WorkerStreams::reported(const std::shared_ptr<Stream>& stream, WorkerReport report)
{
    const WorkerId worker(report.worker());
    std::lock_guard lock(m_mutex);
    m_metrics.counter("worker_reports_total").increment();
    stream->worker = worker;
    m_streams[worker] = stream;
    m_reports[worker] = std::move(report);
}

void WorkerStreams::ended(const std::shared_ptr<Stream>& stream)
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

std::vector<WorkerId> WorkerStreams::attached() const
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
