#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"
#include "worker.grpc.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

/// The announce streams of the workers that are attached to this entry.
namespace turmericpier::rpc {

class WorkerStreams final : public WorkerRegistry::CallbackService {
public:
    explicit WorkerStreams(Metrics& metrics);

    grpc::ServerBidiReactor<WorkerReport, WorkerCommand>* Announce(grpc::CallbackServerContext* context) override;

    /// Reports that arrived since the last call, the newest one of each worker.
    std::vector<WorkerReport> takeReports();
    std::vector<WorkerId> attached() const;
    /// Queues a command; false if the worker is not attached here or its queue is full.
    bool send(const WorkerId& worker, WorkerCommand command);
    /// Ends all streams; the workers open new ones to other entries.
    void closeAll();

private:
    class Stream;

    void reported(const std::shared_ptr<Stream>& stream, WorkerReport report);
    void ended(const std::shared_ptr<Stream>& stream);

    Metrics& m_metrics;
    mutable std::mutex m_mutex;
    std::map<WorkerId, std::shared_ptr<Stream>> m_streams; ///< The newest stream of each worker.
    std::map<WorkerId, WorkerReport> m_reports;
    bool m_isClosed = false;
};

} // namespace turmericpier::rpc
