#pragma once

#include "caller.grpc.pb.h"
#include "operator.grpc.pb.h"

#include <absl/status/statusor.h>
#include <functional>

namespace turmericpier::rpc {

/// The gRPC service for callers. The handler runs on gRPC threads and must not block; `done` may run later, on any
/// thread.
class CallerService final : public Caller::CallbackService {
public:
    using Done = std::function<void(const absl::Status& status, CallReply reply)>;
    using Handler = std::function<void(const CallRequest& request, Done done)>;

    explicit CallerService(Handler handler)
        : m_handler(std::move(handler))
    {
    }
    grpc::ServerUnaryReactor* Call(
        grpc::CallbackServerContext* context, const CallRequest* request, CallReply* reply) override;

private:
    Handler m_handler;
};

/// A page of ledger records.
struct LedgerPage {
    std::vector<LedgerRecord> records;
    uint64_t next = 0; ///< Value of `after` for the next page; 0 on the last page.
};

/// Handlers of the operator service. They run on gRPC threads and must not block; `done` may run later, on any thread.
struct OperatorHandlers {
    std::function<void(const OperateRequest&, std::function<void(absl::StatusOr<OperateReply>)> done)> operate;
    std::function<void(const ReadRequest&, std::function<void(absl::StatusOr<ReadReply>)> done)> read;
    std::function<void(
        const ExportLedgerRequest&, uint64_t after, std::function<void(absl::StatusOr<LedgerPage>)> done)>
        exportLedger;
};

/// The gRPC service for operators.
class OperatorService final : public Operator::CallbackService {
public:
    explicit OperatorService(OperatorHandlers handlers)
        : m_handlers(std::move(handlers))
    {
    }
    grpc::ServerUnaryReactor* Operate(
        grpc::CallbackServerContext* context, const OperateRequest* request, OperateReply* reply) override;
    grpc::ServerUnaryReactor* Read(
        grpc::CallbackServerContext* context, const ReadRequest* request, ReadReply* reply) override;
    grpc::ServerWriteReactor<LedgerRecord>* ExportLedger(
        grpc::CallbackServerContext* context, const ExportLedgerRequest* request) override;

private:
    OperatorHandlers m_handlers;
};

} // namespace turmericpier::rpc
