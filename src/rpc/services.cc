#include "rpc/services.h"

#include "rpc/status.h"

namespace turmericpier::rpc {

namespace {
    /// Returns a callback that completes the call with a reply or an error.
    template <typename Reply> auto makeReplyHandler(grpc::ServerUnaryReactor* reactor, Reply* reply)
    {
        return [reactor, reply](absl::StatusOr<Reply> result) {
            if (result.ok())
                *reply = std::move(*result);
            reactor->Finish(toGrpc(result.status()));
        };
    }

    /// Streams a ledger page by page. Deletes itself when gRPC has finished the call.
    class ExportStream final : public grpc::ServerWriteReactor<LedgerRecord> {
    public:
        ExportStream(const OperatorHandlers& handlers, ExportLedgerRequest request)
            : m_handlers(handlers)
            , m_request(std::move(request))
        {
            fetchPage(0);
        }

        void OnWriteDone(bool ok) override
        {
            ++m_recordIndex;
            if (!ok)
                Finish(grpc::Status::CANCELLED);
            else
                writeNext();
        }

        void OnDone() override { delete this; }

    private:
        void fetchPage(uint64_t after)
        {
            m_handlers.exportLedger(m_request, after, [this](absl::StatusOr<LedgerPage> page) {
                if (!page.ok()) {
                    Finish(toGrpc(page.status()));
                    return;
                }
                m_page = std::move(*page);
                m_recordIndex = 0;
                writeNext();
            });
        }

        void writeNext()
        {
            if (m_recordIndex < m_page.records.size())
                StartWrite(&m_page.records[m_recordIndex]);
            else if (m_page.next > 0)
                fetchPage(m_page.next);
            else
                Finish(grpc::Status::OK);
        }

        const OperatorHandlers& m_handlers;
        ExportLedgerRequest m_request;
        LedgerPage m_page;
        size_t m_recordIndex = 0;
    };
} // namespace

grpc::ServerUnaryReactor* CallerService::Call(
    grpc::CallbackServerContext* context, const CallRequest* request, CallReply* reply)
{
    auto* reactor = context->DefaultReactor();
    m_handler(*request, [reactor, reply](const absl::Status& status, CallReply result) {
        *reply = std::move(result);
        reactor->Finish(toGrpc(status));
    });
    return reactor;
}

grpc::ServerUnaryReactor* OperatorService::Operate(
    grpc::CallbackServerContext* context, const OperateRequest* request, OperateReply* reply)
{
    auto* reactor = context->DefaultReactor();
    m_handlers.operate(*request, makeReplyHandler(reactor, reply));
    return reactor;
}

grpc::ServerUnaryReactor* OperatorService::Read(
    grpc::CallbackServerContext* context, const ReadRequest* request, ReadReply* reply)
{
    auto* reactor = context->DefaultReactor();
    m_handlers.read(*request, makeReplyHandler(reactor, reply));
    return reactor;
}

grpc::ServerWriteReactor<LedgerRecord>* OperatorService::ExportLedger(
    grpc::CallbackServerContext*, const ExportLedgerRequest* request)
{
    return new ExportStream(m_handlers, *request);
}

} // namespace turmericpier::rpc
