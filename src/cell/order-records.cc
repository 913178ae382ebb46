#include "cell/order-records.h"

namespace turmericpier::cell {

using record::OrderKind;

namespace {
    std::unique_ptr<record::OrderT> makeOrder(OrderKind kind, const WorkerAddress& worker)
    {
        auto made = std::make_unique<record::OrderT>();
        made->kind = kind;
        made->worker = worker.id;
        made->address = worker.address;
        made->started_at_ms = worker.startedAtMs;
        return made;
    }

    std::unique_ptr<record::OrderAnswerT> makeAnswer(
        uint64_t number, OrderResult result, const std::optional<int64_t>& clockMs)
    {
        auto made = std::make_unique<record::OrderAnswerT>();
        made->number = number;
        made->result = static_cast<uint8_t>(result);
        if (clockMs)
            made->clock_ms = *clockMs;
        return made;
    }

    std::optional<int64_t> toStd(const flatbuffers::Optional<int64_t>& value)
    {
        return value.has_value() ? std::optional(value.value()) : std::nullopt;
    }

    OrderResult resultOf(const record::OrderAnswerT& answer)
    {
        return answer.result <= static_cast<uint8_t>(OrderResult::NotSent) ? static_cast<OrderResult>(answer.result)
                                                                           : OrderResult::NoAnswer;
    }
} // namespace

std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const StartOrder& order)
{
    auto made = makeOrder(OrderKind::Start, worker);
    setRun(*made, order.task, order.run);
    made->spec = order.spec;
    made->saved = order.checkpoint;
    made->ticket = order.ticket;
    made->lease_until_ms = order.leaseUntilMs;
    return made;
}

std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const StopOrder& order)
{
    auto made = makeOrder(OrderKind::Stop, worker);
    setRun(*made, order.task, order.run);
    return made;
}

std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const PollOrder& order)
{
    auto made = makeOrder(OrderKind::Poll, worker);
    made->ack_cursor = order.ackCursor;
    made->wait_ms = order.waitMs;
    if (order.leaseUntilMs)
        made->lease_until_ms = *order.leaseUntilMs;
    return made;
}

std::unique_ptr<record::OrderAnswerT> toRecord(uint64_t number, const OrderAnswer& answer)
{
    return makeAnswer(number, answer.result, answer.clockMs);
}

std::unique_ptr<record::OrderAnswerT> toRecord(uint64_t number, const PollAnswer& answer)
{
    auto made = makeAnswer(number, answer.result, answer.clockMs);
    if (answer.startedAtMs)
        made->started_at_ms = *answer.startedAtMs;
    for (const auto& run : answer.running) {
        auto& row = *made->running.emplace_back(std::make_unique<record::ReportedRunT>());
        setRun(row, run.task, run.run);
        row.saved = run.checkpoint;
        row.progress = run.progress;
        row.load = run.load;
    }
    for (const auto& end : answer.ended) {
        auto& row = *made->ended.emplace_back(std::make_unique<record::ReportedEndT>());
        setRun(row, end.task, end.run);
        row.number = end.number;
        row.how = end.how;
        row.saved = end.checkpoint;
    }
    made->may_have_more_ends = answer.mayHaveMoreEnds;
    return made;
}

WorkerAddress addressOf(const record::OrderT& order)
{
    return { order.worker, order.address, {}, order.started_at_ms };
}

StartOrder startOrderOf(const record::OrderT& order, uint64_t fencingToken)
{
    return { taskOf(order), order.run, order.spec, toStd(order.lease_until_ms).value_or(0), fencingToken, order.saved,
        order.ticket };
}

StopOrder stopOrderOf(const record::OrderT& order, uint64_t fencingToken)
{
    return { taskOf(order), order.run, fencingToken };
}

PollOrder pollOrderOf(const record::OrderT& order, uint64_t fencingToken)
{
    return { fencingToken, order.ack_cursor, toStd(order.lease_until_ms), order.wait_ms };
}

OrderAnswer orderAnswerOf(const record::OrderAnswerT& answer) { return { resultOf(answer), toStd(answer.clock_ms) }; }

PollAnswer pollAnswerOf(const record::OrderAnswerT& answer)
{
    PollAnswer made { resultOf(answer), toStd(answer.clock_ms), toStd(answer.started_at_ms), {}, {} };
    for (const auto& row : answer.running)
        made.running.push_back({ taskOf(*row), row->run, row->saved, row->progress, row->load });
    for (const auto& row : answer.ended)
        made.ended.push_back({ row->number, taskOf(*row), row->run, row->how, row->saved });
    made.mayHaveMoreEnds = answer.may_have_more_ends;
    return made;
}

} // namespace turmericpier::cell
