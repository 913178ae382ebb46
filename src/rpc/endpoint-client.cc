#include "rpc/endpoint-client.h"

#include "rpc/status.h"
#include "turmericpier/base/error.h"

#include <grpcpp/create_channel.h>

namespace turmericpier::rpc {

namespace {
    // Reconnects soon after a worker is back; the default backoff of gRPC grows to two minutes.
    constexpr int maxReconnectBackoffMs = 500;

    /// State of one asynchronous call, which must outlive the call.
    template <typename Request, typename Reply> struct AsyncCall {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        std::function<void(absl::StatusOr<Reply>)> done;
        std::string worker;
    };

    template <typename Request, typename Reply>
    std::shared_ptr<AsyncCall<Request, Reply>> makeAsyncCall(const WorkerId& worker, Request request,
        std::chrono::nanoseconds timeout, std::function<void(absl::StatusOr<Reply>)> done)
    {
        auto call = std::make_shared<AsyncCall<Request, Reply>>();
        call->context.set_deadline(
            std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::microseconds>(timeout));
        call->request = std::move(request);
        call->done = std::move(done);
        call->worker = worker.str();
        return call;
    }

    template <typename AsyncCallPointer> auto makeCompletionHandler(AsyncCallPointer call, const char* step)
    {
        return [call, step](const grpc::Status& status) {
            if (status.ok())
                call->done(std::move(call->reply));
            else
                call->done(fromGrpc(status, step, call->worker));
        };
    }

    absl::Status makeUnknownWorkerError(const WorkerId& worker, const char* step)
    {
        return makeError(
            { absl::StatusCode::kUnavailable, turmericpier::Outcome::NotRun, "UNKNOWN_WORKER", step, worker.str() },
            "worker " + worker.str() + " has no known address");
    }
} // namespace

void EndpointClient::setAddress(const WorkerId& worker, const std::string& address)
{
    auto& connection = m_connections[worker];
    if (connection.stub && connection.address == address)
        return;
    grpc::ChannelArguments channelArguments;
    channelArguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    channelArguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0); // The router decides on retries and counts them.
    channelArguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    connection.address = address;
    connection.stub
        = Endpoint::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), channelArguments));
}

void EndpointClient::remove(const WorkerId& worker) { m_connections.erase(worker); }

void EndpointClient::execute(
    const WorkerId& worker, ExecuteRequest request, std::chrono::nanoseconds timeout, ExecuteDone done)
{
    const auto found = m_connections.find(worker);
    if (found == m_connections.end())
        return done(makeUnknownWorkerError(worker, "dispatch"));
    auto call = makeAsyncCall<ExecuteRequest, ExecuteReply>(worker, std::move(request), timeout, std::move(done));
    found->second.stub->async()->Execute(
        &call->context, &call->request, &call->reply, makeCompletionHandler(call, "dispatch"));
}

void EndpointClient::query(
    const WorkerId& worker, QueryRequest request, std::chrono::nanoseconds timeout, QueryDone done)
{
    const auto found = m_connections.find(worker);
    if (found == m_connections.end())
        return done(makeUnknownWorkerError(worker, "query"));
    auto call = makeAsyncCall<QueryRequest, QueryReply>(worker, std::move(request), timeout, std::move(done));
    found->second.stub->async()->Query(
        &call->context, &call->request, &call->reply, makeCompletionHandler(call, "query"));
}

} // namespace turmericpier::rpc
