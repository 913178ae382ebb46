#pragma once

#include "turmericpier/cell/orders.h"

#include <memory>

/// Conversion of orders and answers to and from the records that replicas exchange.
namespace turmericpier::cell {

std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const StartOrder& order);
std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const StopOrder& order);
std::unique_ptr<record::OrderT> toRecord(const WorkerAddress& worker, const PollOrder& order);
std::unique_ptr<record::OrderAnswerT> toRecord(uint64_t number, const OrderAnswer& answer);
std::unique_ptr<record::OrderAnswerT> toRecord(uint64_t number, const PollAnswer& answer);

WorkerAddress addressOf(const record::OrderT& order);
StartOrder startOrderOf(const record::OrderT& order, uint64_t fencingToken);
StopOrder stopOrderOf(const record::OrderT& order, uint64_t fencingToken);
PollOrder pollOrderOf(const record::OrderT& order, uint64_t fencingToken);
/// A result that this version does not know becomes NoAnswer.
OrderAnswer orderAnswerOf(const record::OrderAnswerT& answer);
PollAnswer pollAnswerOf(const record::OrderAnswerT& answer);

} // namespace turmericpier::cell
