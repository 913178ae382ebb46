#include "rpc/services.h"

#include "rpc/status.h"

namespace turmericpier::rpc {

namespace {
    /// Answers with the value or the error of `done`.
    template <typename Reply> auto finisher(grpc::ServerUnaryReactor* reactor, Reply* reply)
    {
        return [reactor, reply](absl::StatusOr<Reply> result) {
            if (result.ok())
                *reply = std::move(*result);
            reactor->Finish(toGrpc(result.status()));
        };
    }

    /// Streams the ledger page by page. Deletes itself when gRPC is done with it.
    class ExportStream final : public grpc::ServerWriteReactor<LedgerRecord> {
    public:
        ExportStream(const OperatorHandlers& handlers, ExportLedgerRequest request)
            : m_handlers(handlers)
            , m_request(std::move(request))
        {
            fetch(0);
        }

        void OnWriteDone(bool ok) override
        {
            ++m_position;
            if (!ok)
                Finish(grpc::Status::CANCELLED);
            else
                writeNext();
        }

        void OnDone() override { delete this; }

    private:
        void fetch(uint64_t after)
        {
            m_handlers.exportLedger(m_request, after, [this](absl::StatusOr<LedgerPage> page) {
                if (!page.ok()) {
                    Finish(toGrpc(page.status()));
                    return;
                }
                m_page = std::move(*page);
                m_position = 0;
                writeNext();
            });
        }

        void writeNext()
        {
            if (m_position < m_page.records.size())
                StartWrite(&m_page.records[m_position]);
            else if (m_page.next > 0)
                fetch(m_page.next);
            else
                Finish(grpc::Status::OK);
        }

        const OperatorHandlers& m_handlers;
        ExportLedgerRequest m_request;
        LedgerPage m_page;
        size_t m_position = 0;
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
    m_handlers.operate(*request, finisher(reactor, reply));
    return reactor;
}

grpc::ServerUnaryReactor* OperatorService::Read(
    grpc::CallbackServerContext* context, const ReadRequest* request, ReadReply* reply)
{
    auto* reactor = context->DefaultReactor();
    m_handlers.read(*request, finisher(reactor, reply));
    return reactor;
}

grpc::ServerWriteReactor<LedgerRecord>* OperatorService::ExportLedger(
    grpc::CallbackServerContext*, const ExportLedgerRequest* request)
{
    return new ExportStream(m_handlers, *request);
}

} // namespace turmericpier::rpc
