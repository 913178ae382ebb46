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

/// Fences the earlier attempts of a repeatable request that a caller resent: another entry may have sent it to a
/// worker, and no request may run on two workers at once. Asks every worker of the service; used on one thread.
class ResendFence {
public:
    struct Request {
        std::string key;
        uint32_t attempt = 0; ///< All attempts up to this one are fenced.
        std::vector<WorkerId> workers;
        TimePoint earlierAttemptsEnd; ///< From then on workers that cannot be asked need not be.
    };
    /// Receives true if no earlier attempt runs or will run.
    using Done = std::function<void(bool isFenced)>;

    ResendFence(EndpointClient& endpoints, EventLoop& loop)
        : m_endpoints(endpoints)
        , m_loop(loop)
    {
    }

    /// `done` runs on the loop's thread, not from within this call, at `deadline` at the latest.
    void start(Request request, TimePoint deadline, Done done);
    void tick(TimePoint now);

private:
    struct Fence {
        Request request;
        TimePoint deadline;
        Done done;
        std::set<WorkerId> open; ///< Workers that have not confirmed.
        std::map<TimePoint, std::vector<WorkerId>> retries;
    };

    void ask(uint64_t id, const WorkerId& worker);
    void answered(uint64_t id, const WorkerId& worker, const absl::StatusOr<QueryReply>& reply);

    EndpointClient& m_endpoints;
    EventLoop& m_loop;
    TimePoint m_now;
    uint64_t m_lastId = 0;
    std::map<uint64_t, Fence> m_fences;
};

} // namespace turmericpier::rpc
