#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/cell/orders.h"

#include <functional>
#include <map>
#include <string>

/// The part of a replica that sends orders to workers for the leader.
namespace turmericpier::cell {

/// Sends the orders in the leader's messages to the workers and returns their answers. It keeps no state of the runs.
class OrderProxy {
public:
    OrderProxy(ForwardingHooks hooks, const Clock& clock, Metrics& metrics);

    /// Returns the time on the clock that limits the validity of orders. The clock counts suspensions, so that orders
    /// from before a suspension have expired after it.
    int64_t clockMs() const;
    /// Sends the orders of a message, unless they have expired or belong to a term before `currentTerm`, the latest one
    /// known to this replica. An order that is not sent is not answered either.
    void handle(const std::string& leader, const record::CallT& call, uint64_t currentTerm);

private:
    void sendOrder(const std::string& leader, uint64_t term, const record::OrderT& order);
    void addAnswer(const std::string& leader, uint64_t term, std::unique_ptr<record::OrderAnswerT> answer);
    void flush(const std::string& leader);

    const ForwardingHooks m_hooks;
    const Clock& m_clock;
    Counter& m_sent;
    Counter& m_expired;
    /// Messages with answers that wait to be sent together, by identity of the leader.
    std::map<std::string, record::CallT> m_outgoing;
};

} // namespace turmericpier::cell
