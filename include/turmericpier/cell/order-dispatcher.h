#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/cell/orders.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Distributes the leader's orders over other replicas of a large cell, because calls to workers need more processor
/// time than the decisions.
namespace turmericpier::cell {

/// Sends each order through a replica that has offered itself as an order proxy, preferably one in the zone of the
/// worker, and collects the orders for one proxy into messages. Without a proxy, or in a cell with few workers, the
/// order is sent from this process. An order whose proxy is lost counts as unanswered: it may have been carried out.
class OrderDispatcher {
public:
    OrderDispatcher(ForwardingHooks hooks, const Clock& clock, Metrics& metrics);

    /// Returns functions that send orders through this dispatcher, which must outlive them.
    OrderHooks orderHooks();

    /// Starts to use proxies in `term`, which fences the orders of earlier terms.
    void activate(uint64_t term);
    /// Forgets all proxies and drops all orders in flight without an answer.
    void deactivate();

    /// Records that `proxy` can send orders, with the time on its clock at which it said so.
    void recordProxy(const std::string& proxy, const std::string& zone, int64_t clockMs);
    /// Stops using a proxy. Its orders in flight are answered with NoAnswer.
    void removeProxy(const std::string& proxy);
    std::vector<std::string> proxies() const;

    /// Processes a message with answers of workers.
    void onAnswers(const std::string& proxy, const record::CallT& call);
    /// Answers orders with NoAnswer whose proxy has not answered in time. `workers` is the number of workers of the
    /// cell.
    void tick(size_t workers);

private:
    struct Proxy {
        std::string zone;
        uint64_t hash = 0; ///< Of the identity.
        int64_t clockOffsetMs = 0; ///< Difference between the clock of the proxy and the one of this process.
        std::vector<std::unique_ptr<record::OrderT>> queue;
    };
    /// An order that a proxy has been asked to send. One of the callbacks is set.
    struct Pending {
        std::string proxy;
        TimePoint expiresAt;
        std::function<void(OrderAnswer)> done;
        std::function<void(PollAnswer)> polled;
    };

    std::map<std::string, Proxy>::value_type* chooseProxy(const WorkerAddress& worker);
    bool dispatch(const WorkerAddress& worker, std::unique_ptr<record::OrderT> order, Pending pending);
    void scheduleFlush(Duration delay);
    void flush();
    void failOrders(const std::function<bool(const Pending&)>& concerns);
    static void answer(const Pending& pending, const record::OrderAnswerT& answer);
    int64_t nowMs() const;

    const ForwardingHooks m_hooks;
    const Clock& m_clock;
    Counter& m_dispatched;
    Counter& m_lost;
    Gauge& m_proxyCount;

    bool m_active = false;
    bool m_needsProxies = false; ///< There are too many workers for one process.
    uint64_t m_term = 0;
    uint64_t m_nextNumber = 1;
    std::map<std::string, Proxy> m_proxies; ///< By identity.
    std::map<uint64_t, Pending> m_pending; ///< By number of the order.
    bool m_flushScheduled = false;
    bool m_urgentFlushScheduled = false;
};

} // namespace turmericpier::cell
