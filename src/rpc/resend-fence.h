#pragma once

#include "rpc/endpoint-client.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/event-loop.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpier::rpc {

/// Fences the earlier attempts of a repeatable request that a caller has resent. Another entry may have dispatched the
/// request, and no request may run on two workers at once. Queries every worker of the service. Not thread-safe: all
/// calls must come from the thread of the event loop.
class ResendFence {
public:
    struct Request {
        std::string key;
        uint32_t attempt = 0; ///< All attempts up to this one are fenced.
        std::vector<WorkerId> workers;
        TimePoint earlierAttemptsEnd; ///< No earlier attempt runs after this time, also on workers that do not reply.
    };
    /// Receives true if no earlier attempt runs or will run, and false if this was not known by the deadline.
    using Done = std::function<void(bool isFenced)>;

    ResendFence(EndpointClient& endpoints, EventLoop& loop)
        : m_endpoints(endpoints)
        , m_loop(loop)
    {
    }

    /// Starts to fence the earlier attempts. `done` runs within tick(), at the latest in the first one at or after
    /// `deadline`.
    void start(Request request, TimePoint deadline, Done done);
    /// Sends the retries that are due and completes the fences that are confirmed or expired.
    void tick(TimePoint now);

private:
    struct Fence {
        Request request;
        TimePoint deadline;
        Done done;
        std::set<WorkerId> unconfirmed; ///< Workers that have not confirmed the fence.
        std::map<TimePoint, std::vector<WorkerId>> retries; ///< Workers to query again, by time.
    };

    void sendQuery(uint64_t id, const WorkerId& worker);
    void handleQueryReply(uint64_t id, const WorkerId& worker, const absl::StatusOr<QueryReply>& reply);

    EndpointClient& m_endpoints;
    EventLoop& m_loop;
    TimePoint m_now;
    uint64_t m_lastId = 0;
    std::map<uint64_t, Fence> m_fences;
};

} // namespace turmericpier::rpc
