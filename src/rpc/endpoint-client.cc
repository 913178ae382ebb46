#include "rpc/endpoint-client.h"

#include "rpc/status.h"
#include "turmericpier/base/error.h"

#include <grpcpp/create_channel.h>

namespace turmericpier::rpc {

namespace {
    // A worker that comes back is to be found again soon; the default backoff grows to two minutes.
    constexpr int maxReconnectBackoffMs = 500;

    /// Memory of one asynchronous call.
    template <typename Request, typename Reply> struct Call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
        std::function<void(absl::StatusOr<Reply>)> done;
        std::string worker;
    };

    template <typename Request, typename Reply>
    std::shared_ptr<Call<Request, Reply>> makeCall(const WorkerId& worker, Request request,
        std::chrono::nanoseconds timeout, std::function<void(absl::StatusOr<Reply>)> done)
    {
        auto call = std::make_shared<Call<Request, Reply>>();
        call->context.set_deadline(
            std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::microseconds>(timeout));
        call->request = std::move(request);
        call->done = std::move(done);
        call->worker = worker.str();
        return call;
    }

    template <typename CallPointer> auto finisher(CallPointer call, const char* step)
    {
        return [call, step](const grpc::Status& status) {
            if (status.ok())
                call->done(std::move(call->reply));
            else
                call->done(fromGrpc(status, step, call->worker));
        };
    }

    absl::Status noAddress(const WorkerId& worker, const char* step)
    {
        return makeError(
            { absl::StatusCode::kUnavailable, turmericpier::Outcome::NotRun, "UNKNOWN_WORKER", step, worker.str() },
            "worker " + worker.str() + " has no known address");
    }
} // namespace

void EndpointClient::setAddress(const WorkerId& worker, const std::string& address)
{
    auto& peer = m_peers[worker];
    if (peer.stub && peer.address == address)
        return;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0); // retries are decided by the router, which counts attempts
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    peer.address = address;
    peer.stub = Endpoint::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void EndpointClient::remove(const WorkerId& worker) { m_peers.erase(worker); }

void EndpointClient::execute(
    const WorkerId& worker, ExecuteRequest request, std::chrono::nanoseconds timeout, ExecuteDone done)
{
    const auto found = m_peers.find(worker);
    if (found == m_peers.end())
        return done(noAddress(worker, "dispatch"));
    auto call = makeCall<ExecuteRequest, ExecuteReply>(worker, std::move(request), timeout, std::move(done));
    found->second.stub->async()->Execute(&call->context, &call->request, &call->reply, finisher(call, "dispatch"));
}

void EndpointClient::query(
    const WorkerId& worker, QueryRequest request, std::chrono::nanoseconds timeout, QueryDone done)
{
    const auto found = m_peers.find(worker);
    if (found == m_peers.end())
        return done(noAddress(worker, "query"));
    auto call = makeCall<QueryRequest, QueryReply>(worker, std::move(request), timeout, std::move(done));
    found->second.stub->async()->Query(&call->context, &call->request, &call->reply, finisher(call, "query"));
}

} // namespace turmericpier::rpc
