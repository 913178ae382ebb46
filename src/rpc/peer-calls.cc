#include "rpc/peer-calls.h"

#include "peer/refusal.h"
#include "turmericpier/base/error.h"

#include <algorithm>

namespace turmericpier::rpc {

namespace {
    constexpr Duration attemptTimeout = std::chrono::milliseconds(1'000);
    constexpr Duration retryDelay = std::chrono::milliseconds(50);
} // namespace

void PeerCalls::call(const InstanceId& to, peer::wire::EnvelopeT request, TimePoint deadline, Done done)
{
    request.correlation = nextCorrelation();
    const auto correlation = request.correlation;
    m_calls[correlation] = PendingCall { to, deadline, std::move(done) };
    if (m_send(to, std::move(request)))
        return;
    auto failed = std::move(m_calls.extract(correlation).mapped());
    failed.done(makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "NOT_SENT", "send", to.str() },
        "message to " + to.str() + " could not be queued"));
}

bool PeerCalls::receive(peer::wire::EnvelopeT reply)
{
    auto found = m_calls.extract(reply.correlation);
    if (found.empty())
        return false;
    if (const auto* refusal = reply.body.AsRefusal()) {
        found.mapped().done(peer::statusOf(*refusal));
        return true;
    }
    found.mapped().done(std::move(reply));
    return true;
}

void PeerCalls::tick(TimePoint now)
{
    std::vector<uint64_t> expired;
    for (const auto& [correlation, call] : m_calls) {
        if (call.deadline <= now)
            expired.push_back(correlation);
    }
    for (const auto correlation : expired) {
        auto found = m_calls.extract(correlation);
        if (found.empty())
            continue;
        const auto& to = found.mapped().to;
        found.mapped().done(
            makeError({ absl::StatusCode::kDeadlineExceeded, Outcome::Unknown, "NO_REPLY", "reply", to.str() },
                "no reply from " + to.str()));
    }
}

LeaderCalls::LeaderCalls(PeerCalls& calls, std::vector<InstanceId> voters)
    : m_calls(calls)
    , m_voters(std::move(voters))
{
}

void LeaderCalls::call(MakeRequest makeRequest, TimePoint now, TimePoint deadline, PeerCalls::Done done)
{
    attempt({ std::move(makeRequest), deadline, std::move(done), false }, now);
}

void LeaderCalls::attempt(Attempt attempt, TimePoint now)
{
    m_now = now;
    auto request = attempt.makeRequest();
    const auto to = leader();
    const auto deadline = std::min(attempt.deadline, now + attemptTimeout);
    m_calls.call(to, std::move(request), deadline,
        [this, to, attempt = std::move(attempt)](absl::StatusOr<peer::wire::EnvelopeT> reply) mutable {
            handleAttemptReply(std::move(attempt), to, std::move(reply));
        });
}

void LeaderCalls::handleAttemptReply(Attempt attempt, const InstanceId& to, absl::StatusOr<peer::wire::EnvelopeT> reply)
{
    if (reply.ok())
        return attempt.done(std::move(reply));
    const auto details = detailsOf(reply.status());
    if (!absl::IsUnavailable(reply.status()) && !absl::IsDeadlineExceeded(reply.status()))
        return attempt.done(std::move(reply));
    attempt.mayHaveRun = attempt.mayHaveRun || details.outcome != Outcome::NotRun;
    suspectLeader(to);
    if (m_now + retryDelay < attempt.deadline) {
        m_scheduledRetries.emplace(m_now + retryDelay, std::move(attempt));
        return;
    }
    const auto outcome = attempt.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    attempt.done(makeError({ absl::StatusCode::kUnavailable, outcome, "NO_LEADER", details.step, details.peer },
        "no leader answered in time: " + std::string(reply.status().message())));
}

void LeaderCalls::tick(TimePoint now)
{
    m_now = now;
    while (!m_scheduledRetries.empty() && m_scheduledRetries.begin()->first <= now) {
        auto retry = std::move(m_scheduledRetries.extract(m_scheduledRetries.begin()).mapped());
        attempt(std::move(retry), now);
    }
}

void LeaderCalls::suspectLeader(const InstanceId& suspect)
{
    if (leader() == suspect)
        m_leaderIndex = (m_leaderIndex + 1) % m_voters.size();
}

void LeaderCalls::setLeaderHint(const std::string& hint)
{
    const auto found = std::find(m_voters.begin(), m_voters.end(), InstanceId(hint));
    if (found != m_voters.end())
        m_leaderIndex = static_cast<size_t>(found - m_voters.begin());
}

} // namespace turmericpier::rpc
