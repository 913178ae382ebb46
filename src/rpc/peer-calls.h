#pragma once

#include "peer_generated.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <vector>

namespace turmericpier::rpc {

/// Sends requests to other processes and matches the replies by correlation id. Not thread-safe.
class PeerCalls {
public:
    /// Queues a message; returns false if the queue is full or the process is unknown.
    using Send = std::function<bool(const InstanceId& to, peer::wire::EnvelopeT envelope)>;
    using Done = std::function<void(absl::StatusOr<peer::wire::EnvelopeT> reply)>;

    explicit PeerCalls(Send send)
        : m_send(std::move(send))
    {
    }

    /// Sends `request` under a new correlation id. `done` runs exactly once: with the reply, with an error made from
    /// the refusal, with NOT_SENT if the message cannot be queued, or with NO_REPLY and an unknown outcome at
    /// `deadline`.
    void call(const InstanceId& to, peer::wire::EnvelopeT request, TimePoint deadline, Done done);
    /// Completes the call that `reply` belongs to. Returns false if there is none, for example after its deadline.
    bool receive(peer::wire::EnvelopeT reply);
    /// Fails the calls whose deadline has passed.
    void tick(TimePoint now);
    /// Number of calls without a reply.
    size_t inFlight() const { return m_calls.size(); }
    uint64_t nextCorrelation() { return ++m_lastCorrelation; }

private:
    struct PendingCall {
        InstanceId to;
        TimePoint deadline;
        Done done;
    };

    Send m_send;
    uint64_t m_lastCorrelation = 0;
    std::map<uint64_t, PendingCall> m_calls; ///< By correlation id.
};

/// Sends idempotent requests to the leader of one consensus group. It finds the leader by trying the voters in turn.
/// Not thread-safe.
class LeaderCalls {
public:
    /// `voters` must not be empty.
    LeaderCalls(PeerCalls& calls, std::vector<InstanceId> voters);

    /// Creates the request anew for each attempt.
    using MakeRequest = std::function<peer::wire::EnvelopeT()>;
    /// Retries after UNAVAILABLE and DEADLINE_EXCEEDED until a leader replies or no retry fits before `deadline`; the
    /// error is then NO_LEADER. Any other error ends the call.
    void call(MakeRequest makeRequest, TimePoint now, TimePoint deadline, PeerCalls::Done done);
    /// Starts the retries that are due.
    void tick(TimePoint now);
    /// The voter that is currently assumed to be the leader.
    const InstanceId& leader() const { return m_voters[m_leaderIndex]; }
    /// Moves on to the next voter if `suspect` is the assumed leader.
    void suspectLeader(const InstanceId& suspect);
    /// Assumes that `hint` is the leader; ignored if it is not a voter.
    void setLeaderHint(const std::string& hint);

private:
    struct Attempt {
        MakeRequest makeRequest;
        TimePoint deadline;
        PeerCalls::Done done;
        bool mayHaveRun = false; ///< An earlier attempt may have been executed.
    };

    void attempt(Attempt attempt, TimePoint now);
    void handleAttemptReply(Attempt attempt, const InstanceId& to, absl::StatusOr<peer::wire::EnvelopeT> reply);

    PeerCalls& m_calls;
    std::vector<InstanceId> m_voters;
    size_t m_leaderIndex = 0;
    TimePoint m_now;
    std::multimap<TimePoint, Attempt> m_scheduledRetries;
};

} // namespace turmericpier::rpc
