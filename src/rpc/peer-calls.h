#pragma once

#include "peer_generated.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/ids.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <vector>

/// Requests to other processes with replies matched by correlation. Used on one thread.
namespace turmericpier::rpc {

class PeerCalls {
public:
    using Send = std::function<bool(const InstanceId& to, peer::wire::EnvelopeT envelope)>;
    using Done = std::function<void(absl::StatusOr<peer::wire::EnvelopeT> reply)>;

    explicit PeerCalls(Send send)
        : m_send(std::move(send))
    {
    }

    /// `done` runs once: with the reply, with the refusal as an error, or with an error of unknown outcome at
    /// `deadline`.
    void call(const InstanceId& to, peer::wire::EnvelopeT request, TimePoint deadline, Done done);
    /// Returns false if nothing waits for the reply any more.
    bool receive(peer::wire::EnvelopeT reply);
    void tick(TimePoint now);
    size_t waiting() const { return m_calls.size(); }
    uint64_t nextCorrelation() { return ++m_lastCorrelation; }

private:
    struct Call {
        InstanceId to;
        TimePoint deadline;
        Done done;
    };

    Send m_send;
    uint64_t m_lastCorrelation = 0;
    std::map<uint64_t, Call> m_calls;
};

/// Sends idempotent requests to the leader of one group, which it finds by trying the voters.
class LeaderCalls {
public:
    LeaderCalls(PeerCalls& calls, std::vector<InstanceId> voters);

    using MakeRequest = std::function<peer::wire::EnvelopeT()>;
    /// Tries until a leader answers or `deadline` is near. A refusal other than NOT_LEADER ends the call.
    void call(MakeRequest makeRequest, TimePoint now, TimePoint deadline, PeerCalls::Done done);
    void tick(TimePoint now);
    const InstanceId& leader() const { return m_voters[m_guess]; }
    /// Tries the next voter from now on.
    void suspectLeader(const InstanceId& suspect);
    void noteLeader(const std::string& hint);

private:
    struct Attempt {
        MakeRequest makeRequest;
        TimePoint deadline;
        PeerCalls::Done done;
        bool maybeDone = false; ///< An earlier try may have been carried out.
    };

    void attempt(Attempt attempt, TimePoint now);
    void ended(Attempt attempt, const InstanceId& to, absl::StatusOr<peer::wire::EnvelopeT> reply);

    PeerCalls& m_calls;
    std::vector<InstanceId> m_voters;
    size_t m_guess = 0;
    TimePoint m_now;
    std::multimap<TimePoint, Attempt> m_retries;
};

} // namespace turmericpier::rpc
