#include "standin/worker.h"

#include "common.pb.h"

#include <thread>

namespace turmericpier::standin {

namespace {
    grpc::Status makeFailure(
        grpc::StatusCode code, rpc::Outcome outcome, const std::string& reason, const std::string& worker)
    {
        rpc::Failure details;
        details.set_outcome(outcome);
        details.set_reason(reason);
        details.set_step("execute");
        details.set_peer(worker);
        details.set_message(reason + " at worker " + worker);
        return { code, details.message(), details.SerializeAsString() };
    }
} // namespace

RequestTable::RequestTable(const WorkerOptions& options, uint64_t incarnation)
    : m_options(options)
    , m_incarnation(incarnation)
{
    if (!options.executionLog.empty())
        m_log.open(options.executionLog, std::ios::app);
}

void RequestTable::writeLog(const char* event, const rpc::ExecuteRequest& request)
{
    if (m_log.is_open())
        m_log << event << " " << request.key() << " " << request.attempt() << " " << request.non_repeatable() << " "
              << std::chrono::steady_clock::now().time_since_epoch().count() << std::endl;
}

grpc::Status RequestTable::admit(const rpc::ExecuteRequest& request)
{
    const auto refuse = [&](const std::string& reason) {
        return makeFailure(grpc::StatusCode::FAILED_PRECONDITION, rpc::NOT_RUN, reason, m_options.id);
    };
    if (request.worker_incarnation() != 0 && request.worker_incarnation() != m_incarnation)
        return refuse("OTHER_INCARNATION");
    const auto fence = m_fences.find(request.entry());
    if (fence != m_fences.end() && request.grant_epoch() < fence->second)
        return refuse("FENCED_GRANT");
    const auto fenced = m_fencedAttempts.find(request.key());
    if (fenced != m_fencedAttempts.end() && request.attempt() <= fenced->second)
        return refuse("FENCED_REQUEST");
    if (m_attempts.count({ request.key(), request.attempt() }))
        return refuse("DUPLICATE_ATTEMPT");
    if (m_running >= m_options.slots)
        return refuse("NO_FREE_SLOT");
    return grpc::Status::OK;
}

grpc::Status RequestTable::execute(const rpc::ExecuteRequest& request, rpc::ExecuteReply& reply)
{
    uint64_t number = 0;
    {
        std::lock_guard lock(m_mutex);
        if (auto status = admit(request); !status.ok())
            return status;
        m_attempts[{ request.key(), request.attempt() }]
            = { State::Running, {}, false, request.entry(), request.grant_epoch() };
        ++m_running;
        number = ++m_executed;
        writeLog("begin", request);
    }
    const auto workTime = m_options.serviceTimeMs + m_options.faults.stallMs;
    const bool exceedsDeadline = workTime > request.deadline_ms();
    std::this_thread::sleep_for(std::chrono::milliseconds(exceedsDeadline ? request.deadline_ms() : workTime));
    std::lock_guard lock(m_mutex);
    --m_running;
    auto& attempt = m_attempts[{ request.key(), request.attempt() }];
    attempt.state = State::Done;
    attempt.hasFailed = exceedsDeadline || m_options.faults.failAll;
    attempt.answer = request.service() + ": " + request.payload();
    writeLog("end", request);
    if (exceedsDeadline)
        return makeFailure(grpc::StatusCode::DEADLINE_EXCEEDED, rpc::RAN, "DEADLINE_EXCEEDED", m_options.id);
    if (m_options.faults.failAll)
        return makeFailure(grpc::StatusCode::INTERNAL, rpc::RAN, "FAILED", m_options.id);
    if ((number * 37 + m_options.seed) % 100 < m_options.faults.loseAnswersPercent)
        return { grpc::StatusCode::UNAVAILABLE, "answer lost" };
    reply.set_answer(attempt.answer);
    return grpc::Status::OK;
}

rpc::QueryReply RequestTable::query(const rpc::QueryRequest& request)
{
    rpc::QueryReply reply;
    reply.set_worker_incarnation(m_incarnation);
    std::lock_guard lock(m_mutex);
    if (request.up_to())
        return queryUpTo(request, std::move(reply));
    const auto found = m_attempts.find({ request.key(), request.attempt() });
    if (found == m_attempts.end()) {
        auto& fenced = m_fencedAttempts[request.key()];
        fenced = std::max(fenced, request.attempt());
        reply.set_state(rpc::QueryReply::NOT_SEEN);
        const auto end = m_attempts.lower_bound({ request.key(), request.attempt() });
        for (auto it = m_attempts.lower_bound({ request.key(), 0 }); it != end; ++it) {
            if (it->second.state != State::Done || it->second.hasFailed)
                continue;
            reply.set_state(rpc::QueryReply::DONE);
            reply.set_answer(it->second.answer);
        }
    } else if (found->second.state == State::Running) {
        reply.set_state(rpc::QueryReply::RUNNING);
    } else {
        reply.set_state(rpc::QueryReply::DONE);
        reply.set_answer(found->second.answer);
    }
    return reply;
}

rpc::QueryReply RequestTable::queryUpTo(const rpc::QueryRequest& request, rpc::QueryReply reply)
{
    reply.set_state(rpc::QueryReply::NOT_SEEN);
    const auto end = m_attempts.upper_bound({ request.key(), request.attempt() });
    for (auto it = m_attempts.lower_bound({ request.key(), 0 }); it != end; ++it) {
        if (it->second.state == State::Running) {
            reply.set_state(rpc::QueryReply::RUNNING);
            return reply;
        }
        reply.set_state(rpc::QueryReply::DONE);
        reply.set_answer(it->second.answer);
    }
    auto& fenced = m_fencedAttempts[request.key()];
    fenced = std::max(fenced, request.attempt());
    return reply;
}

void RequestTable::fence(const rpc::Fence& fence)
{
    std::lock_guard lock(m_mutex);
    auto& epoch = m_fences[fence.entry()];
    epoch = std::max(epoch, fence.epoch());
}

std::vector<rpc::Fence> RequestTable::completedFences() const
{
    std::vector<rpc::Fence> result;
    std::lock_guard lock(m_mutex);
    for (const auto& [entry, epoch] : m_fences) {
        bool isCompleted = true;
        for (const auto& [key, attempt] : m_attempts)
            isCompleted = isCompleted
                && !(attempt.state == State::Running && attempt.entry == entry && attempt.grantEpoch < epoch);
        if (!isCompleted)
            continue;
        rpc::Fence fence;
        fence.set_entry(entry);
        fence.set_epoch(epoch);
        result.push_back(fence);
    }
    return result;
}

uint32_t RequestTable::running() const
{
    std::lock_guard lock(m_mutex);
    return m_running;
}

} // namespace turmericpier::standin
