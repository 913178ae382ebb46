#pragma once

#include "turmericpier/base/ids.h"
#include "turmericpier/base/metrics.h"
#include "worker.grpc.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace turmericpier::rpc {

/// The gRPC service to which workers attach with an announce stream. Thread-safe.
class WorkerStreams final : public WorkerRegistry::CallbackService {
public:
    explicit WorkerStreams(Metrics& metrics);

    grpc::ServerBidiReactor<WorkerReport, WorkerCommand>* Announce(grpc::CallbackServerContext* context) override;

    /// Returns the latest report of each worker that has sent one since the last call.
    std::vector<WorkerReport> takeReports();
    /// Returns the workers that have an open stream.
    std::vector<WorkerId> attachedWorkers() const;
    /// Queues a command for a worker. Returns false if the worker is not attached or its queue is full.
    bool send(const WorkerId& worker, WorkerCommand command);
    /// Closes all streams and refuses new ones. The workers connect to other entries.
    void closeAll();

private:
    class Stream;

    void handleReport(const std::shared_ptr<Stream>& stream, WorkerReport report);
    void removeStream(const std::shared_ptr<Stream>& stream);

    Metrics& m_metrics;
    mutable std::mutex m_mutex;
    std::map<WorkerId, std::shared_ptr<Stream>> m_streams; ///< Latest stream of each worker.
    std::map<WorkerId, WorkerReport> m_reports; ///< Reports that takeReports() has not returned.
    bool m_isClosed = false;
};

} // namespace turmericpier::rpc
