#pragma once

#include "turmericpier/cell/state.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Orders of the leader to workers and their answers. How they travel is the caller's matter.
namespace turmericpier::cell {

/// Addressee of an order: the life of a worker that it is meant for.
struct WorkerAddress {
    std::string id;
    std::string address; ///< IP address and port.
};

enum class OrderResult {
    Accepted,
    Fenced, ///< The worker has seen a higher fencing token.
    Superseded, ///< The run is not higher than one that was stopped or ended there.
    TooLate, ///< The lease given with the order was over.
    NoRoom,
    BadTicket,
    Invalid,
    Unhealthy, ///< The worker did nothing.
    OtherIncarnation, ///< Another life of a worker answers at the address.
    ConnectionRefused, ///< Nothing listens at the address.
    NoAnswer, ///< The order may have been carried out, or may be later.
};
std::string_view toString(OrderResult result);

/// Reading of a worker's clock.
struct OrderAnswer {
    OrderResult result = OrderResult::NoAnswer;
    std::optional<int64_t> clockMs;
};

struct StartOrder {
    TaskKey task;
    uint32_t run = 0;
    std::string spec;
    int64_t leaseUntilMs = 0; ///< On the clock of the worker.
    uint64_t fencingToken = 0;
    std::string checkpoint; ///< To resume from; empty to start afresh.
    std::string ticket;
};

struct StopOrder {
    TaskKey task;
    uint32_t run = 0;
    uint64_t fencingToken = 0;
};

struct PollOrder {
    uint64_t fencingToken = 0;
    uint64_t ackCursor = 0; ///< The worker may forget ends up to this number.
    std::optional<int64_t> leaseUntilMs; ///< Renews the lease of all that runs on the worker.
    uint32_t waitMs = 0; ///< The answer waits this long for an end.
};

struct ActiveRun {
    TaskKey task;
    uint32_t run = 0;
    std::string checkpoint;
    uint32_t progress = 0; ///< Percent.
    int64_t load = 0; ///< Tail latency in ms of a task that serves; processors in use of any other.
};

struct EndedRun {
    uint64_t number = 0;
    TaskKey task;
    uint32_t run = 0;
    record::EndKind how = record::EndKind::Failed;
    std::string checkpoint;
};

struct PollAnswer {
    OrderResult result = OrderResult::NoAnswer;
    std::optional<int64_t> clockMs;
    std::optional<int64_t> startedAtMs; ///< Start of the life that answered.
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
};

struct AdviceAnswer {
    bool ok = false;
    std::map<std::string, std::string> tickets; ///< By id of a worker that is fit.
};

} // namespace turmericpier::cell
