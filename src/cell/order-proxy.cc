#include "turmericpier/cell/order-proxy.h"

#include "cell/order-records.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::cell {

using record::OrderKind;
using std::chrono::milliseconds;

namespace {
    // Answers wait for each other, so that one message carries several of them. Short against a task of a second.
    constexpr milliseconds answerBatchDelay { 10 };
} // namespace

OrderProxy::OrderProxy(ForwardingHooks hooks, const Clock& clock, Metrics& metrics)
    : m_hooks(std::move(hooks))
    , m_clock(clock)
    , m_sent(metrics.counter("cell_orders_sent_as_proxy_total"))
    , m_expired(metrics.counter("cell_orders_expired_at_proxy_total"))
{
}

int64_t OrderProxy::clockMs() const
{
    return std::chrono::duration_cast<milliseconds>(m_clock.now().sinceStart).count();
}

void OrderProxy::handle(const std::string& leader, const record::CallT& call, uint64_t currentTerm)
{
    if (call.term < currentTerm || clockMs() > call.valid_until_ms) {
        m_expired.increment(call.orders.size());
        logDecision("cell", "order proxy", leader, "expired",
            { { "inputs",
                absl::StrCat("orders=", call.orders.size(), " term=", call.term, " current_term=", currentTerm,
                    " late_ms=", clockMs() - call.valid_until_ms) } });
        return;
    }
    for (const auto& order : call.orders)
        sendOrder(leader, call.term, *order);
}

void OrderProxy::sendOrder(const std::string& leader, uint64_t term, const record::OrderT& order)
{
    m_sent.increment();
    const auto addOrderAnswer = [this, leader, term, number = order.number](
                                    const OrderAnswer& answer) { addAnswer(leader, term, toRecord(number, answer)); };
    switch (order.kind) {
    case OrderKind::Start:
        return m_hooks.direct.start(addressOf(order), startOrderOf(order, term), addOrderAnswer);
    case OrderKind::Stop:
        return m_hooks.direct.stop(addressOf(order), stopOrderOf(order, term), addOrderAnswer);
    case OrderKind::Poll:
        return m_hooks.direct.poll(addressOf(order), pollOrderOf(order, term),
            [this, leader, term, number = order.number](
                const PollAnswer& answer) { addAnswer(leader, term, toRecord(number, answer)); });
    }
    logError("cell", "an order of an unknown kind was not sent",
        { { "peer", leader }, { "kind", std::to_string(static_cast<int>(order.kind)) } });
}

void OrderProxy::addAnswer(const std::string& leader, uint64_t term, std::unique_ptr<record::OrderAnswerT> answer)
{
    const auto [entry, isNew] = m_outgoing.try_emplace(leader);
    auto& call = entry->second;
    if (call.term != term)
        call.answers.clear(); // Nobody waits for the answers of an earlier term.
    call.term = term;
    call.answers.push_back(std::move(answer));
    if (isNew)
        m_hooks.runAfter(answerBatchDelay, [this, leader] { flush(leader); });
}

void OrderProxy::flush(const std::string& leader)
{
    auto outgoing = m_outgoing.extract(leader);
    auto& call = outgoing.mapped();
    call.kind = record::CallKind::OrderAnswers;
    m_hooks.send(leader, call);
}

} // namespace turmericpier::cell
