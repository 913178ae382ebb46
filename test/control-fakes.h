#pragma once

#include "control/leader.h"
#include "peer_generated.h"

#include <algorithm>
#include <functional>
#include <random>

/// Fakes of the workers and entries that the control leader talks to. Time is advanced by the test; there are no
/// threads.
namespace turmericpier::control::fakes {

using std::chrono::milliseconds;

/// Steps of the control protocol at which a test can inject faults.
enum class Step {
    Announce,
    Place,
    Commit,
    Start,
    Report,
    TaskEnd,
    Stop,
    GrantNew,
    Grow,
    Shrink,
    Confirm,
    Release,
    Fence,
    JobEnd
};

/// A worker that follows the protocol in schema/worker.proto.
struct FakeWorker {
    struct Task {
        rpc::StartTask start;
        rpc::TaskState state = rpc::TASK_RUNNING;
        TimePoint leaseEnd, endsAt;
    };
    rpc::WorkerReport facts;
    bool isAlive = true, failsAllTasks = false;
    double memoryFactor = 1; ///< Ratio of the memory a task uses to the memory it requested.
    TimePoint pausedUntil, nextReport, lastAnswer;
    size_t entry = 0;
    uint64_t sequence = 0;
    std::map<std::string, Task> tasks;
    std::map<std::string, uint64_t> tombstones; ///< Newest epoch seen of each task.
    std::map<std::string, uint64_t> fences; ///< Newest fenced grant epoch of each entry.
    std::map<uint64_t, TimePoint> sentAt; ///< Time of each report by its sequence number.

    bool isPaused(TimePoint now) const { return now < pausedUntil; }
    void advance(TimePoint now)
    {
        for (auto& [id, task] : tasks) {
            if (task.state != rpc::TASK_RUNNING)
                continue;
            if (now >= task.leaseEnd)
                task.state = rpc::TASK_STOPPED;
            else if (failsAllTasks)
                task.state = rpc::TASK_FAILED;
            else if (now >= task.endsAt)
                task.state = rpc::TASK_FINISHED;
        }
    }
    rpc::WorkerReport report(TimePoint now)
    {
        auto result = facts;
        result.set_sequence(++sequence);
        sentAt[sequence] = now;
        for (const auto& [id, task] : tasks) {
            auto& item = *result.add_tasks();
            item.set_task(id);
            item.set_epoch(task.start.epoch());
            item.set_state(task.state);
            *item.mutable_usage() = task.start.limit();
            item.mutable_usage()->set_memory_mib(int64_t(double(task.start.limit().memory_mib()) * memoryFactor));
        }
        for (const auto& [entry, epoch] : fences) {
            auto& fence = *result.add_fenced();
            fence.set_entry(entry);
            fence.set_epoch(epoch);
        }
        return result;
    }
    /// Executes a command. Returns true if it started a task.
    bool handleCommand(const rpc::WorkerCommand& command, TimePoint now, Duration runTime)
    {
        if (command.has_start()) {
            const auto& start = command.start();
            auto& newestEpoch = tombstones[start.task()];
            if (start.worker_incarnation() != facts.incarnation() || start.epoch() <= newestEpoch)
                return false;
            const auto sent = sentAt.find(start.sequence());
            if (sent == sentAt.end() || now >= sent->second + milliseconds(start.lease_ms()))
                return false;
            newestEpoch = start.epoch();
            const auto lease = milliseconds(start.lease_ms());
            tasks[start.task()] = { start, rpc::TASK_RUNNING, sent->second + lease, now + runTime };
            return true;
        }
        if (command.has_stop())
            stop(command.stop().task(), command.stop().epoch());
        else if (command.has_checkpoint())
            stop(command.checkpoint().task(), command.checkpoint().epoch());
        else if (command.has_fence())
            fences[command.fence().entry()] = std::max(fences[command.fence().entry()], command.fence().epoch());
        else if (command.has_renew())
            renew(command.renew());
        return false;
    }
    void stop(const std::string& id, uint64_t epoch)
    {
        auto& newestEpoch = tombstones[id];
        const auto found = tasks.find(id);
        if (found != tasks.end() && found->second.start.epoch() == epoch) {
            if (found->second.state == rpc::TASK_RUNNING)
                found->second.state = rpc::TASK_STOPPED;
        } else if (epoch > newestEpoch) { // Not started here: refuse the epoch from now on and report an end.
            newestEpoch = epoch;
            Task ended;
            ended.start.set_epoch(epoch);
            ended.state = rpc::TASK_STOPPED;
            tasks[id] = ended;
        }
    }
    void renew(const rpc::RenewLeases& renew)
    {
        if (const auto sent = sentAt.find(renew.sequence()); sent != sentAt.end()) {
            for (auto& [id, task] : tasks)
                task.leaseEnd = std::max(task.leaseEnd, sent->second + milliseconds(renew.lease_ms()));
        }
        for (const auto& end : renew.ended()) {
            const auto found = tasks.find(end.task());
            if (found != tasks.end() && found->second.start.epoch() == end.epoch()
                && found->second.state != rpc::TASK_RUNNING)
                tasks.erase(found);
        }
    }
    void restart()
    {
        facts.set_incarnation(facts.incarnation() + 1);
        sequence = 0;
        tasks.clear(), tombstones.clear(), fences.clear(), sentAt.clear();
        isAlive = true;
    }
};

/// An entry that sends heartbeats with worker reports and holds the grants of the last reply.
struct FakeEntry {
    InstanceId id;
    uint64_t incarnation = 1, grantsVersion = 0, stateVersion = 0, term = 0;
    bool isAlive = true, usesDeposedLeader = false;
    TimePoint pausedUntil, nextHeartbeat;
    std::map<std::string, rpc::WorkerReport> reports;
    struct Held {
        uint64_t epoch = 0;
        uint32_t slots = 0;
        Duration lease {};
        TimePoint leaseEnd;
    };
    std::map<std::string, Held> held;
    uint32_t demand = 2;
};

} // namespace turmericpier::control::fakes
