#include "rpc/resend-fence.h"

namespace turmericpier::rpc {

namespace {
    constexpr Duration queryTimeout = std::chrono::milliseconds(500);
    constexpr Duration retryDelay = std::chrono::milliseconds(50);
} // namespace

void ResendFence::start(Request request, TimePoint deadline, Done done)
{
    const auto id = ++m_lastId;
    auto& fence = m_fences[id];
    fence.unconfirmed.insert(request.workers.begin(), request.workers.end());
    fence.request = std::move(request);
    fence.deadline = deadline;
    fence.done = std::move(done);
    for (const auto& worker : fence.request.workers)
        sendQuery(id, worker);
}

void ResendFence::sendQuery(uint64_t id, const WorkerId& worker)
{
    const auto& request = m_fences.at(id).request;
    QueryRequest query;
    query.set_key(request.key);
    query.set_attempt(request.attempt);
    query.set_up_to(true);
    m_endpoints.query(worker, std::move(query), queryTimeout, [this, id, worker](absl::StatusOr<QueryReply> reply) {
        m_loop.post([this, id, worker, reply = std::move(reply)] { handleQueryReply(id, worker, reply); });
    });
}

void ResendFence::handleQueryReply(uint64_t id, const WorkerId& worker, const absl::StatusOr<QueryReply>& reply)
{
    const auto fence = m_fences.find(id);
    if (fence == m_fences.end())
        return;
    if (!reply.ok() || reply->state() == QueryReply::RUNNING || reply->state() == QueryReply::UNSPECIFIED)
        fence->second.retries[m_now + retryDelay].push_back(worker);
    else
        fence->second.unconfirmed.erase(worker);
}

void ResendFence::tick(TimePoint now)
{
    m_now = now;
    std::vector<std::pair<Done, bool>> finished;
    for (auto it = m_fences.begin(); it != m_fences.end();) {
        auto& fence = it->second;
        const bool isFenced = fence.unconfirmed.empty() || now >= fence.request.earlierAttemptsEnd;
        if (isFenced || now >= fence.deadline) {
            finished.emplace_back(std::move(fence.done), isFenced);
            it = m_fences.erase(it);
            continue;
        }
        while (!fence.retries.empty() && fence.retries.begin()->first <= now) {
            const auto workers = std::move(fence.retries.begin()->second);
            fence.retries.erase(fence.retries.begin());
            for (const auto& worker : workers)
                sendQuery(it->first, worker);
        }
        ++it;
    }
    for (auto& [done, isFenced] : finished)
        done(isFenced);
}

} // namespace turmericpier::rpc
