#include "app/load.h"

#include "app/operator-client.h"
#include "rpc/status.h"
#include "turmericpier/base/error.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <fstream>
#include <grpcpp/create_channel.h>
#include <mutex>
#include <thread>

namespace turmericpier::app {

namespace {
    using Steady = std::chrono::steady_clock;

    // Delay before a request is sent again, for example while an entry restarts.
    constexpr auto resendDelay = std::chrono::milliseconds(50);
    // Time beyond the deadline for the response to arrive: the entry applies the deadline itself.
    constexpr auto responseGrace = std::chrono::milliseconds(1'000);

    std::vector<std::unique_ptr<rpc::Caller::Stub>> connect(const std::vector<std::string>& entries)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
        std::vector<std::unique_ptr<rpc::Caller::Stub>> stubs;
        stubs.reserve(entries.size());
        for (const auto& entry : entries)
            stubs.push_back(
                rpc::Caller::NewStub(grpc::CreateCustomChannel(entry, grpc::InsecureChannelCredentials(), arguments)));
        return stubs;
    }

    uint32_t millisecondsSince(Steady::time_point time)
    {
        return static_cast<uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() - time).count());
    }

    /// The last reply to a request and how often the request was sent again.
    struct CallResult {
        absl::StatusOr<rpc::CallReply> reply;
        uint32_t resent = 0;
    };

    CallResult callUntilOutcomeKnown(rpc::CallRequest request,
        const std::vector<std::unique_ptr<rpc::Caller::Stub>>& stubs, size_t firstEntry,
        std::chrono::milliseconds giveUpAfter)
    {
        const auto giveUpAt = Steady::now() + giveUpAfter;
        const auto callTimeout = std::chrono::milliseconds(request.deadline_ms()) + responseGrace;
        auto lastSent = Steady::now();
        for (uint32_t sent = 0;; ++sent) {
            request.set_resends(sent);
            if (sent > 0)
                request.set_last_sent_ms_ago(std::max<uint32_t>(1, millisecondsSince(lastSent)));
            lastSent = Steady::now();
            grpc::ClientContext context;
            context.set_deadline(std::chrono::system_clock::now() + callTimeout);
            rpc::CallReply reply;
            const auto& stub = stubs[(firstEntry + sent) % stubs.size()];
            const auto status = rpc::fromGrpc(stub->Call(&context, request, &reply), "call", "entry");
            if (status.ok())
                return { reply, sent };
            // An entry that is stopping, starting or unreachable records no outcome in the ledger, so the request may
            // be sent again.
            const auto details = detailsOf(status);
            const bool isFinal
                = details.outcome != Outcome::Unknown && details.reason != "DRAINING" && details.reason != "NOT_READY";
            if (isFinal || Steady::now() + resendDelay >= giveUpAt)
                return { status, sent };
            std::this_thread::sleep_for(resendDelay);
        }
    }

    /// Runs the callers of one load and collects the results.
    class LoadRunner {
    public:
        explicit LoadRunner(const LoadOptions& options)
            : m_options(options)
            , m_stubs(connect(options.entries))
        {
        }

        LoadResult run()
        {
            m_start = Steady::now();
            std::vector<std::thread> callers;
            for (uint32_t i = 0; i < m_options.callers; ++i)
                callers.emplace_back([this] { runCaller(); });
            for (auto& caller : callers)
                caller.join();
            m_result.seconds = std::chrono::duration<double>(Steady::now() - m_start).count();
            std::sort(m_latenciesMs.begin(), m_latenciesMs.end());
            m_result.p50Ms = quantile(0.5);
            m_result.p99Ms = quantile(0.99);
            m_result.maxMs = quantile(1);
            return m_result;
        }

        const std::vector<std::string>& recordLines() const { return m_recordLines; }

    private:
        void runCaller()
        {
            for (uint32_t number = m_nextNumber++; number < m_options.count; number = m_nextNumber++) {
                if (m_options.ratePerSecond > 0)
                    std::this_thread::sleep_until(m_start
                        + std::chrono::duration_cast<Steady::duration>(
                            std::chrono::duration<double>(static_cast<double>(number) / m_options.ratePerSecond)));
                sendRequest(number);
            }
        }

        void sendRequest(uint32_t number)
        {
            rpc::CallRequest request;
            request.set_request_id(absl::StrCat(m_options.idPrefix, "-", number));
            request.set_partner(m_options.partner);
            request.set_service(m_options.service);
            request.set_home_region(m_options.region);
            request.set_payload("payload of " + request.request_id());
            request.set_non_repeatable(m_options.nonRepeatableEvery > 0 && number % m_options.nonRepeatableEvery == 0);
            request.set_deadline_ms(static_cast<uint32_t>(m_options.deadline.count()));
            const auto begin = Steady::now();
            const auto callResult = callUntilOutcomeKnown(request, m_stubs, number, m_options.giveUpAfter);
            recordResult(request, callResult, std::chrono::duration<double, std::milli>(Steady::now() - begin).count());
        }

        void recordResult(const rpc::CallRequest& request, const CallResult& callResult, double latencyMs)
        {
            const auto outcome = callResult.reply.ok() ? Outcome::Ran : detailsOf(callResult.reply.status()).outcome;
            const boost::json::object line { { "partner", request.partner() }, { "home_region", request.home_region() },
                { "request_id", request.request_id() }, { "service", request.service() },
                { "outcome", std::string(toString(outcome)) } };
            std::lock_guard lock(m_mutex);
            m_recordLines.push_back(boost::json::serialize(line));
            m_latenciesMs.push_back(latencyMs);
            m_result.resent += callResult.resent;
            if (callResult.reply.ok())
                ++m_result.answered;
            else if (outcome == Outcome::NotRun)
                ++m_result.notRun;
            else
                ++m_result.unknown;
            if (callResult.reply.ok() && !absl::EndsWith(callResult.reply->answer(), request.payload()))
                ++m_result.wrongAnswers;
        }

        double quantile(double fraction) const
        {
            if (m_latenciesMs.empty())
                return 0;
            return m_latenciesMs[static_cast<size_t>(fraction * static_cast<double>(m_latenciesMs.size() - 1))];
        }

        const LoadOptions& m_options;
        std::vector<std::unique_ptr<rpc::Caller::Stub>> m_stubs;
        Steady::time_point m_start;
        std::atomic<uint32_t> m_nextNumber { 0 };
        std::mutex m_mutex; ///< Guards the members below.
        LoadResult m_result;
        std::vector<std::string> m_recordLines;
        std::vector<double> m_latenciesMs;
    };
} // namespace

absl::StatusOr<rpc::CallReply> callWithResends(
    rpc::CallRequest request, const std::vector<std::string>& entries, std::chrono::milliseconds giveUpAfter)
{
    if (entries.empty())
        return noEntriesError();
    return callUntilOutcomeKnown(std::move(request), connect(entries), 0, giveUpAfter).reply;
}

absl::StatusOr<LoadResult> runLoad(const LoadOptions& options)
{
    if (options.entries.empty())
        return noEntriesError();
    LoadRunner runner(options);
    const auto result = runner.run();
    if (options.recordFile.empty())
        return result;
    std::ofstream out(options.recordFile);
    for (const auto& line : runner.recordLines())
        out << line << "\n";
    out.close();
    if (!out)
        return makeError(
            { absl::StatusCode::kDataLoss, Outcome::Ran, "RECORD_FAILED", "write record", options.recordFile },
            "cannot write " + options.recordFile);
    return result;
}

std::string toJson(const LoadResult& result)
{
    return boost::json::serialize(boost::json::object { { "answered", result.answered }, { "not_run", result.notRun },
        { "unknown", result.unknown }, { "resent", result.resent }, { "wrong_answers", result.wrongAnswers },
        { "seconds", result.seconds },
        { "requests_per_s",
            result.seconds > 0 ? static_cast<double>(result.answered + result.notRun + result.unknown) / result.seconds
                               : 0 },
        { "p50_ms", result.p50Ms }, { "p99_ms", result.p99Ms }, { "max_ms", result.maxMs } });
}

} // namespace turmericpier::app
