#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Orders of the leader to workers, and their answers. The caller transmits them.
namespace turmericpier::cell {

/// Addressee of an order: one incarnation of a worker.
struct WorkerAddress {
    std::string id;
    std::string address; ///< IP address and port.
    std::string zone;
    /// Start of the incarnation in Unix milliseconds; 0 if it is not known. Starts, and polls that give a lease or
    /// acknowledge ends, reach no other one; stops and other polls may.
    int64_t startedAtMs = 0;
};

/// Result of an order.
enum class OrderResult {
    Accepted,
    Fenced, ///< The worker has seen a higher fencing token.
    Superseded, ///< The run number is not higher than that of a run of the task that was stopped or has ended there.
    TooLate, ///< The lease given with the order had expired.
    NoRoom,
    BadTicket,
    Invalid,
    Unhealthy, ///< The worker is not healthy and did nothing.
    OtherIncarnation, ///< Another incarnation of a worker answers at the address.
    ConnectionRefused, ///< No process listens at the address.
    NoAnswer, ///< The order may have been carried out, or may still be.
    NotSent, ///< The order has certainly not been sent and will not be.
};
std::string_view toString(OrderResult result);

/// Answer to a start or stop order, with a reading of the worker's clock in milliseconds.
struct OrderAnswer {
    OrderResult result = OrderResult::NoAnswer;
    std::optional<int64_t> clockMs;
};

struct StartOrder {
    TaskKey task;
    uint32_t run = 0;
    std::string spec;
    int64_t leaseUntilMs = 0; ///< On the worker's clock.
    uint64_t fencingToken = 0;
    std::string checkpoint; ///< Checkpoint to resume from; empty for a start from the beginning.
    std::string ticket;
};

struct StopOrder {
    TaskKey task;
    uint32_t run = 0;
    uint64_t fencingToken = 0;
};

struct PollOrder {
    uint64_t fencingToken = 0;
    uint64_t ackCursor = 0; ///< The worker may discard ends up to this number.
    std::optional<int64_t> leaseUntilMs; ///< New end of the lease of all runs on the worker; not renewed if empty.
    uint32_t waitMs = 0; ///< Longest time for which the worker holds back the answer while no run ends.
};

/// A run that a worker lists as active.
struct ActiveRun {
    TaskKey task;
    uint32_t run = 0;
    std::string checkpoint;
    uint32_t progress = 0; ///< Progress in percent.
    int64_t load = 0; ///< Tail latency in milliseconds of a serving task; used processors of any other task.
};

/// A run that a worker lists as ended.
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
    std::optional<int64_t> startedAtMs; ///< Start of the incarnation that answered, in Unix milliseconds.
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
    bool mayHaveMoreEnds = false; ///< The list of ended runs is as long as it may be, so that others may be missing.
};

/// Functions that send orders to workers. Each calls `done` exactly once.
struct OrderHooks {
    std::function<void(const WorkerAddress&, const StartOrder&, std::function<void(OrderAnswer)> done)> start;
    std::function<void(const WorkerAddress&, const StopOrder&, std::function<void(OrderAnswer)> done)> stop;
    std::function<void(const WorkerAddress&, const PollOrder&, std::function<void(PollAnswer)> done)> poll;
};

/// What a process needs to send orders through another one, or for another one.
struct ForwardingHooks {
    OrderHooks direct; ///< Sends orders from this process.
    std::function<void(const std::string& replica, const record::CallT& call)> send;
    /// Runs the function on the caller's thread after `delay`, but not before this call returns.
    std::function<void(Duration delay, std::function<void()>)> runAfter;
};

struct AdviceAnswer {
    bool ok = false;
    std::map<std::string, std::string> tickets; ///< Tickets by the ids of the workers that may run the step.
};

} // namespace turmericpier::cell
