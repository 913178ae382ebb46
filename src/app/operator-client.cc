#include "app/operator-client.h"

#include "app/flags.h"
#include "rpc/status.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_split.h>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <grpcpp/create_channel.h>

namespace turmericpier::app {

namespace {
    std::chrono::system_clock::time_point deadlineFromFlags()
    {
        return std::chrono::system_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
    }

    /// Calls the entries in turn until one answers with a status other than UNAVAILABLE. Returns its reply, or the last
    /// error.
    template <typename Reply, typename CallEntry>
    absl::StatusOr<Reply> tryEntries(const char* step, CallEntry callEntry)
    {
        absl::Status lastStatus = noEntriesError();
        const auto end = deadlineFromFlags();
        for (const auto& address : entryAddresses()) {
            auto stub = rpc::Operator::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
            grpc::ClientContext context;
            context.set_deadline(end);
            Reply reply;
            lastStatus = rpc::fromGrpc(callEntry(*stub, context, reply), step, address);
            if (lastStatus.ok())
                return reply;
            if (!absl::IsUnavailable(lastStatus))
                break;
        }
        return lastStatus;
    }
} // namespace

absl::Status noEntriesError()
{
    return makeError({ absl::StatusCode::kInvalidArgument, Outcome::NotRun, "NO_ENTRIES", "connect", "" },
        "--entries names no address");
}

std::vector<std::string> entryAddresses() { return absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty()); }

std::string newRequestId() { return boost::uuids::to_string(boost::uuids::random_generator()()); }

absl::StatusOr<rpc::OperateReply> operate(rpc::OperateRequest request)
{
    request.set_request_id(FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id);
    return tryEntries<rpc::OperateReply>(
        "operate", [&](auto& stub, auto& context, auto& reply) { return stub.Operate(&context, request, &reply); });
}

absl::StatusOr<std::string> read(const rpc::ReadRequest& request)
{
    const auto reply = tryEntries<rpc::ReadReply>(
        "read", [&](auto& stub, auto& context, auto& result) { return stub.Read(&context, request, &result); });
    if (!reply.ok())
        return reply.status();
    return reply->json();
}

absl::StatusOr<std::vector<rpc::LedgerRecord>> exportLedger(const std::string& region, const std::string& partner)
{
    rpc::ExportLedgerRequest request;
    request.set_region(region);
    request.set_partner(partner);
    return tryEntries<std::vector<rpc::LedgerRecord>>("export", [&](auto& stub, auto& context, auto& records) {
        records.clear();
        auto reader = stub.ExportLedger(&context, request);
        rpc::LedgerRecord record;
        while (reader->Read(&record))
            records.push_back(record);
        return reader->Finish();
    });
}

} // namespace turmericpier::app
