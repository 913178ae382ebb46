#include "turmericpier/cell/order-dispatcher.h"

#include "cell/order-records.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <utility>

namespace turmericpier::cell {

using std::chrono::milliseconds;

namespace {
    // One process can send the orders of this many workers. A hop through another replica would only delay them.
    constexpr size_t maxDirectWorkers = 200;
    // A proxy drops an order that it receives later than this, for example after it was suspended.
    constexpr milliseconds orderValidity { 1'000 };
    // Time for the answer to an order, beyond the time for which a poll waits: connecting and answering at the proxy,
    // and the way there and back.
    constexpr milliseconds answerTimeout { 1'500 };
    // Polls wait for each other, so that one message carries several of them.
    constexpr milliseconds pollBatchDelay { 10 };

    uint64_t mixBits(uint64_t value)
    {
        value ^= value >> 33U;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33U;
        return value;
    }
} // namespace

OrderDispatcher::OrderDispatcher(ForwardingHooks hooks, const Clock& clock, Metrics& metrics)
    : m_hooks(std::move(hooks))
    , m_clock(clock)
    , m_dispatched(metrics.counter("cell_orders_through_proxies_total"))
    , m_lost(metrics.counter("cell_orders_lost_with_proxy_total"))
    , m_proxyCount(metrics.gauge("cell_order_proxies"))
{
}

OrderHooks OrderDispatcher::orderHooks()
{
    OrderHooks hooks;
    hooks.start = [this](const WorkerAddress& worker, const StartOrder& order, std::function<void(OrderAnswer)> done) {
        const Pending pending { {}, m_clock.now() + answerTimeout, done, {} };
        if (!m_needsProxies || !dispatch(worker, toRecord(worker, order), pending))
            m_hooks.direct.start(worker, order, std::move(done));
    };
    hooks.stop = [this](const WorkerAddress& worker, const StopOrder& order, std::function<void(OrderAnswer)> done) {
        const Pending pending { {}, m_clock.now() + answerTimeout, done, {} };
        if (!m_needsProxies || !dispatch(worker, toRecord(worker, order), pending))
            m_hooks.direct.stop(worker, order, std::move(done));
    };
    hooks.poll = [this](const WorkerAddress& worker, const PollOrder& order, std::function<void(PollAnswer)> done) {
        const Pending pending { {}, m_clock.now() + answerTimeout + milliseconds(order.waitMs), {}, done };
        if (!m_needsProxies || !dispatch(worker, toRecord(worker, order), pending))
            m_hooks.direct.poll(worker, order, std::move(done));
    };
    return hooks;
}

void OrderDispatcher::activate(uint64_t term)
{
    deactivate();
    m_active = true;
    m_term = term;
}

void OrderDispatcher::deactivate()
{
    m_active = false;
    m_needsProxies = false;
    m_proxies.clear();
    m_proxyCount.set(0);
    m_pending.clear();
}

int64_t OrderDispatcher::nowMs() const
{
    return std::chrono::duration_cast<milliseconds>(m_clock.now().sinceStart).count();
}

void OrderDispatcher::recordProxy(const std::string& proxy, const std::string& zone, int64_t clockMs)
{
    if (!m_active)
        return;
    const auto [entry, isNew] = m_proxies.try_emplace(proxy);
    entry->second.zone = zone;
    entry->second.hash = mixBits(std::hash<std::string> {}(proxy));
    // The message with the reading took some time, so the offset is too small rather than too large, and orders expire
    // too early rather than too late.
    entry->second.clockOffsetMs = clockMs - nowMs();
    if (!isNew)
        return;
    m_proxyCount.set(static_cast<int64_t>(m_proxies.size()));
    logDecision("cell", "order proxy", proxy, "added", { { "inputs", absl::StrCat("zone=", zone) } });
}

void OrderDispatcher::removeProxy(const std::string& proxy)
{
    if (m_proxies.erase(proxy) == 0)
        return;
    m_proxyCount.set(static_cast<int64_t>(m_proxies.size()));
    logDecision("cell", "order proxy", proxy, "removed");
    failOrders([&](const Pending& pending) { return pending.proxy == proxy; });
}

std::vector<std::string> OrderDispatcher::proxies() const
{
    std::vector<std::string> names;
    for (const auto& [name, proxy] : m_proxies)
        names.push_back(name);
    return names;
}

/// Chooses by rendezvous hashing, so that a lost proxy changes the proxy of its own workers only.
std::map<std::string, OrderDispatcher::Proxy>::value_type* OrderDispatcher::chooseProxy(const WorkerAddress& worker)
{
    std::map<std::string, Proxy>::value_type* best = nullptr;
    std::pair<bool, uint64_t> bestRank;
    const auto workerHash = std::hash<std::string> {}(worker.id);
    for (auto& entry : m_proxies) {
        const std::pair rank(entry.second.zone == worker.zone, mixBits(workerHash ^ entry.second.hash));
        if (best && bestRank >= rank)
            continue;
        best = &entry;
        bestRank = rank;
    }
    return best;
}

/// Returns false if there is no proxy.
bool OrderDispatcher::dispatch(const WorkerAddress& worker, std::unique_ptr<record::OrderT> order, Pending pending)
{
    auto* chosen = chooseProxy(worker);
    if (!chosen)
        return false;
    pending.proxy = chosen->first;
    m_dispatched.increment();
    order->number = m_nextNumber++;
    const bool isPoll = order->kind == record::OrderKind::Poll;
    m_pending.emplace(order->number, std::move(pending));
    chosen->second.queue.push_back(std::move(order));
    scheduleFlush(isPoll ? pollBatchDelay : milliseconds(0));
    return true;
}

void OrderDispatcher::scheduleFlush(Duration delay)
{
    auto& isScheduled = delay == Duration::zero() ? m_urgentFlushScheduled : m_flushScheduled;
    if (m_urgentFlushScheduled || std::exchange(isScheduled, true))
        return;
    m_hooks.runAfter(delay, [this, &isScheduled] {
        isScheduled = false;
        flush();
    });
}

void OrderDispatcher::flush()
{
    for (auto& [name, proxy] : m_proxies) {
        if (proxy.queue.empty())
            continue;
        record::CallT call;
        call.kind = record::CallKind::Orders;
        call.term = m_term;
        call.valid_until_ms = nowMs() + proxy.clockOffsetMs + orderValidity.count();
        call.orders = std::exchange(proxy.queue, {});
        m_hooks.send(name, call);
    }
}

void OrderDispatcher::answer(const Pending& pending, const record::OrderAnswerT& answer)
{
    if (pending.done)
        pending.done(orderAnswerOf(answer));
    else
        pending.polled(pollAnswerOf(answer));
}

void OrderDispatcher::onAnswers(const std::string& proxy, const record::CallT& call)
{
    if (!m_active || call.term != m_term)
        return;
    for (const auto& received : call.answers) {
        const auto found = m_pending.find(received->number);
        if (found == m_pending.end() || found->second.proxy != proxy)
            continue; // The order counts as unanswered already.
        const auto pending = std::move(found->second);
        m_pending.erase(found);
        answer(pending, *received);
        if (!m_active)
            return;
    }
}

/// The callbacks may send further orders or end the leadership, so they run after all orders were taken out.
void OrderDispatcher::failOrders(const std::function<bool(const Pending&)>& concerns)
{
    std::vector<Pending> failed;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (!concerns(it->second)) {
            ++it;
            continue;
        }
        failed.push_back(std::move(it->second));
        it = m_pending.erase(it);
    }
    m_lost.increment(failed.size());
    record::OrderAnswerT none;
    none.result = static_cast<uint8_t>(OrderResult::NoAnswer);
    for (const auto& pending : failed)
        answer(pending, none);
}

void OrderDispatcher::tick(size_t workers)
{
    m_needsProxies = m_active && workers > maxDirectWorkers;
    const auto now = m_clock.now();
    failOrders([now](const Pending& pending) { return now >= pending.expiresAt; });
}

} // namespace turmericpier::cell
