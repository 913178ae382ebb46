#include "standin/worker.h"

#include <absl/strings/numbers.h>

namespace turmericpier::standin {

namespace {
    bool isTerminal(rpc::TaskState state) { return state != rpc::TASK_RUNNING; }
} // namespace

TaskTable::TaskTable(const WorkerOptions& options, uint64_t incarnation, const Clock& clock)
    : m_options(options)
    , m_incarnation(incarnation)
    , m_clock(clock)
{
}

void TaskTable::apply(const rpc::WorkerCommand& command)
{
    std::lock_guard lock(m_mutex);
    updateStates();
    const auto current = [&](const std::string& task, uint64_t epoch) -> Task* {
        const auto found = m_tasks.find(task);
        return found != m_tasks.end() && found->second.start.epoch() == epoch && !isTerminal(found->second.state)
            ? &found->second
            : nullptr;
    };
    if (command.has_start()) {
        start(command.start());
    } else if (command.has_stop()) {
        stop(command.stop(), current(command.stop().task(), command.stop().epoch()));
    } else if (command.has_checkpoint()) {
        if (auto* task = current(command.checkpoint().task(), command.checkpoint().epoch())) {
            ++task->checkpoint;
            task->state = rpc::TASK_STOPPED;
        }
    } else if (command.has_throttle()) {
        if (auto* task = current(command.throttle().task(), command.throttle().epoch()))
            *task->start.mutable_limit() = command.throttle().limit();
    } else if (command.has_renew()) {
        renew(command.renew());
    }
}

void TaskTable::start(const rpc::StartTask& start)
{
    auto& newest = m_newestEpoch[start.task()];
    const auto sent = m_sentAt.find(start.sequence());
    if (start.worker_incarnation() != m_incarnation || start.epoch() <= newest || sent == m_sentAt.end())
        return;
    const auto leaseExpiresAt = sent->second + std::chrono::milliseconds(start.lease_ms());
    if (m_clock.now() >= leaseExpiresAt)
        return;
    newest = start.epoch();
    Task task;
    task.start = start;
    task.checkpoint = start.checkpoint();
    task.leaseExpiresAt = leaseExpiresAt;
    uint32_t runTime = m_options.taskTimeMs;
    task.runsForever = start.command() == "forever";
    (void)absl::SimpleAtoi(start.command(), &runTime);
    task.finishesAt = m_clock.now() + std::chrono::milliseconds(runTime);
    m_tasks[start.task()] = std::move(task);
}

void TaskTable::stop(const rpc::StopTask& stop, Task* running)
{
    auto& newest = m_newestEpoch[stop.task()];
    if (running) {
        running->state = rpc::TASK_STOPPED;
    } else if (stop.epoch() > newest) {
        newest = stop.epoch();
        Task task;
        task.start.set_task(stop.task());
        task.start.set_epoch(stop.epoch());
        task.state = rpc::TASK_STOPPED;
        m_tasks[stop.task()] = std::move(task);
    }
}

void TaskTable::renew(const rpc::RenewLeases& renew)
{
    const auto sent = m_sentAt.find(renew.sequence());
    if (sent != m_sentAt.end()) {
        std::set<std::pair<std::string, uint64_t>> notRenewed;
        for (const auto& task : renew.not_renewed())
            notRenewed.emplace(task.task(), task.epoch());
        for (auto& [name, task] : m_tasks) {
            if (notRenewed.count({ name, task.start.epoch() }))
                continue;
            task.leaseExpiresAt
                = std::max(task.leaseExpiresAt, sent->second + std::chrono::milliseconds(renew.lease_ms()));
        }
        m_sentAt.erase(m_sentAt.begin(), sent); // Later starts may refer to this report, but not to older ones.
    }
    for (const auto& ended : renew.ended()) {
        const auto task = m_tasks.find(ended.task());
        if (task != m_tasks.end() && task->second.start.epoch() == ended.epoch() && isTerminal(task->second.state))
            m_tasks.erase(task);
    }
}

void TaskTable::updateStates()
{
    const auto now = m_clock.now();
    for (auto& [name, task] : m_tasks) {
        if (isTerminal(task.state))
            continue;
        if (now >= task.leaseExpiresAt) {
            task.state = rpc::TASK_STOPPED;
            task.message = "lease ended";
        } else if (m_options.faults.failAll) {
            task.state = rpc::TASK_FAILED;
            task.message = "worker fails everything";
        } else if (!task.runsForever && now >= task.finishesAt) {
            task.state = rpc::TASK_FINISHED;
        }
    }
}

void TaskTable::recordReportSent(uint64_t sequence)
{
    std::lock_guard lock(m_mutex);
    m_sentAt[sequence] = m_clock.now();
}

std::vector<rpc::TaskReport> TaskTable::reports()
{
    std::vector<rpc::TaskReport> result;
    std::lock_guard lock(m_mutex);
    updateStates();
    for (const auto& [name, task] : m_tasks) {
        rpc::TaskReport report;
        report.set_task(name);
        report.set_epoch(task.start.epoch());
        report.set_state(task.state);
        report.set_message(task.message);
        report.set_checkpoint(task.checkpoint);
        const auto& limit = task.start.limit();
        report.mutable_usage()->set_milli_cpu(
            static_cast<int64_t>(static_cast<double>(limit.milli_cpu()) * m_options.faults.sizeFactor));
        report.mutable_usage()->set_memory_mib(
            static_cast<int64_t>(static_cast<double>(limit.memory_mib()) * m_options.faults.sizeFactor));
        report.mutable_usage()->set_accelerators(limit.accelerators());
        result.push_back(std::move(report));
    }
    return result;
}

bool TaskTable::isIdle()
{
    std::lock_guard lock(m_mutex);
    updateStates();
    for (const auto& [name, task] : m_tasks) {
        if (!isTerminal(task.state))
            return false;
    }
    return true;
}

} // namespace turmericpier::standin
