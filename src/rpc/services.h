#pragma once

#include "caller.grpc.pb.h"
#include "operator.grpc.pb.h"

#include <absl/status/statusor.h>
#include <functional>

/// The gRPC services of an entry for callers and operators. Handlers run on threads of gRPC and must not block.
namespace turmericpier::rpc {

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

/// A page of ledger records and the position to go on from; 0 at the end.
struct LedgerPage {
    std::vector<LedgerRecord> records;
    uint64_t next = 0;
};

struct OperatorHandlers {
    std::function<void(const OperateRequest&, std::function<void(absl::StatusOr<OperateReply>)> done)> operate;
    std::function<void(const ReadRequest&, std::function<void(absl::StatusOr<ReadReply>)> done)> read;
    std::function<void(
        const ExportLedgerRequest&, uint64_t after, std::function<void(absl::StatusOr<LedgerPage>)> done)>
        exportLedger;
};

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
