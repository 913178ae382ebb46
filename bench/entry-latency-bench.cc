// Compares the latency of requests through an entry with the latency of direct calls to a stand-in worker, in one run
// and at a fixed rate. Run it with scripts/bench-entry.sh, which starts the other processes.
#include "caller.grpc.pb.h"
#include "worker.grpc.pb.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <grpcpp/create_channel.h>
#include <thread>
#include <vector>

DEFINE_string(entry, "127.0.0.1:30001", "address of the entry");
DEFINE_string(worker, "127.0.0.1:30301", "address of the worker that is called directly");
DEFINE_uint32(rate, 2'000, "requests per second; 0 for no limit");
DEFINE_uint32(callers, 8, "number of callers; each has one request in flight");
DEFINE_uint32(count, 10'000, "number of requests of each kind");
DEFINE_string(run_id, "bench", "prefix of the request ids");

namespace {

using Clock = std::chrono::steady_clock;
using Send = std::function<bool(uint32_t number)>;

struct Result {
    std::vector<double> latenciesMs;
    double seconds = 0;
    uint32_t failed = 0;
};

Result sendAll(const Send& send)
{
    std::vector<std::vector<double>> latencies(FLAGS_callers);
    std::atomic<uint32_t> next { 0 };
    std::atomic<uint32_t> failed { 0 };
    const auto start = Clock::now();
    std::vector<std::thread> threads;
    for (uint32_t caller = 0; caller < FLAGS_callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (uint32_t number = next++; number < FLAGS_count; number = next++) {
                if (FLAGS_rate > 0)
                    std::this_thread::sleep_until(
                        start + std::chrono::nanoseconds(1'000'000'000ULL * number / FLAGS_rate));
                const auto begin = Clock::now();
                if (!send(number))
                    ++failed;
                latencies[caller].push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    Result result;
    result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
    result.failed = failed;
    for (const auto& part : latencies)
        result.latenciesMs.insert(result.latenciesMs.end(), part.begin(), part.end());
    std::sort(result.latenciesMs.begin(), result.latenciesMs.end());
    return result;
}

double quantile(const Result& result, double fraction)
{
    return result.latenciesMs[static_cast<size_t>(fraction * static_cast<double>(result.latenciesMs.size() - 1))];
}

void print(const char* name, const Result& result)
{
    std::printf("%-24s p50 %.3f ms, p99 %.3f ms, max %.3f ms, %.0f requests/s, %u failed\n", name,
        quantile(result, 0.5), quantile(result, 0.99), quantile(result, 1),
        static_cast<double>(FLAGS_count) / result.seconds, result.failed);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using namespace turmericpier::rpc;
    const auto caller = Caller::NewStub(grpc::CreateChannel(FLAGS_entry, grpc::InsecureChannelCredentials()));
    const auto endpoint = Endpoint::NewStub(grpc::CreateChannel(FLAGS_worker, grpc::InsecureChannelCredentials()));
    const auto callEntry = [&](const std::string& kind, bool isNonRepeatable) {
        return [&, kind, isNonRepeatable](uint32_t number) {
            grpc::ClientContext context;
            CallRequest request;
            request.set_request_id(absl::StrCat(FLAGS_run_id, "-", kind, "-", number));
            request.set_partner("duftwerk");
            request.set_service("till");
            request.set_home_region("east");
            request.set_payload("payload");
            request.set_non_repeatable(isNonRepeatable);
            request.set_deadline_ms(5'000);
            CallReply reply;
            return caller->Call(&context, request, &reply).ok();
        };
    };
    const auto callWorker = [&](uint32_t number) {
        grpc::ClientContext context;
        ExecuteRequest request;
        request.set_key(absl::StrCat(FLAGS_run_id, "-direct-", number));
        request.set_attempt(1);
        request.set_service("till");
        request.set_payload("payload");
        request.set_deadline_ms(5'000);
        request.set_entry("bench");
        ExecuteReply reply;
        return endpoint->Execute(&context, request, &reply).ok();
    };
    sendAll(callEntry("warm", false));
    const auto direct = sendAll(callWorker);
    const auto repeatable = sendAll(callEntry("repeatable", false));
    const auto nonRepeatable = sendAll(callEntry("non-repeatable", true));
    print("direct", direct);
    print("entry, repeatable", repeatable);
    print("entry, non-repeatable", nonRepeatable);
    std::printf("added, repeatable        p50 %.3f ms, p99 %.3f ms\n",
        quantile(repeatable, 0.5) - quantile(direct, 0.5), quantile(repeatable, 0.99) - quantile(direct, 0.99));
    return 0;
}
