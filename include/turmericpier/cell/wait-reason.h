#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <numeric>
#include <string_view>

/// Why tasks wait.
namespace turmericpier::cell {

/// Why a plan has left a waiting task out. docs/design/waiting-tasks.md has the event or the time that ends each.
enum class WaitReason : uint8_t {
    Advice, ///< A question to the advisor is in flight or is part of the plan.
    NoRoom, ///< No usable worker that may run the task has the capacity.
    OrdersQueued, ///< As many starts as may wait to be sent do so for each worker with the capacity.
    PlanLimit, ///< The plan has reached its limit of starts.
    TenantCap, ///< The tenant runs as much as it may.
    GangMembers, ///< Some member of an earlier run of the gang has not ended.
    GangDelay, ///< The next attempt of a gang is delayed.
    GangOrders, ///< Orders of another large gang wait to be sent.
    RestartDelay, ///< Runs of the task have ended soon after their starts.
};
inline constexpr size_t waitReasonCount = 9;
std::string_view toString(WaitReason reason);

/// Number of waiting tasks that a plan did not place, by reason.
struct UnplacedTasks {
    std::array<uint32_t, waitReasonCount> counts {};

    uint32_t operator[](WaitReason reason) const { return counts.at(static_cast<size_t>(reason)); }
    uint32_t total() const { return std::accumulate(counts.begin(), counts.end(), 0U); }
    /// Returns true if a worker that can take more tasks may let some of these start.
    bool mayNeedWorker() const
    {
        return (*this)[WaitReason::NoRoom] + (*this)[WaitReason::OrdersQueued] + (*this)[WaitReason::Advice] > 0;
    }
    void add(WaitReason reason, uint64_t tasks)
    {
        counts.at(static_cast<size_t>(reason)) += static_cast<uint32_t>(tasks);
    }
    void remove(WaitReason reason, uint32_t tasks) { counts.at(static_cast<size_t>(reason)) -= tasks; }
    UnplacedTasks& operator+=(const UnplacedTasks& other)
    {
        std::ranges::transform(counts, other.counts, counts.begin(), std::plus<>());
        return *this;
    }
};

} // namespace turmericpier::cell
