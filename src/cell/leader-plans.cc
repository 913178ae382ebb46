#include "turmericpier/base/log.h"
#include "turmericpier/cell/leader.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <numeric>

/// When plans are made, and the questions to the advisor that they ask. docs/design/waiting-tasks.md lists what ends
/// each wait of a task.
namespace turmericpier::cell {

using std::chrono::milliseconds;

namespace {
    // Time allowed for a call to the advisor beyond its expected duration, for queueing at the advisor and a slow
    // connection.
    constexpr milliseconds adviceTimeoutMargin { 600 };
    // Delay before the advisor is asked again about a step whose call failed, as the advisor may be overloaded.
    constexpr milliseconds adviceRetryDelay { 150 };
    // A ticket is used only if it remains valid for this long, so that it covers the commit of the start and the order.
    constexpr milliseconds ticketMargin { 250 };
    // Pause after a plan, as a multiple of the time that the plan took. Planning then takes at most a fifth of the
    // processor, so that a long queue does not delay the answers and orders that would shorten it.
    constexpr int planPauseFactor = 4;
    constexpr milliseconds maxPlanPause { 40 };
    // Proxies announce themselves every second.
    constexpr milliseconds advisorProxyTimeout { 3'000 };
    // Time without a plan after which one is made while tasks wait, although nothing is known to have changed. It is a
    // third of the 9 s for which a task that lasts may be away.
    constexpr milliseconds fallbackInterval { 3'000 };

    bool canTakeStarts(const WorkerHealthView& view) { return view.usable && view.startRoom > 0; }

    uint64_t countTasks(const std::vector<record::StartT>& starts)
    {
        return std::accumulate(starts.begin(), starts.end(), uint64_t { 0 },
            [](auto sum, const auto& start) { return sum + start.count; });
    }
} // namespace

void Leader::requestPlan()
{
    m_planRequested = true;
    m_isFallbackPlan = false;
    if (m_planScheduled || m_startsProposed || !m_active)
        return;
    m_planScheduled = true;
    m_hooks.runAfter(std::max(Duration::zero(), m_nextPlanAt - m_clock.now()), [this] {
        m_planScheduled = false;
        runPlan();
    });
}

/// Returns what a plan reads about a worker beside the replicated state.
WorkerHealthView Leader::viewOf(const WorkerSession& session, TimePoint now) const
{
    const auto failures = session.failures.value(now);
    return { exclusionOf(session, failures, now) == Exclusion::None, failures, hasRecentSuccess(session),
        startRoomOf(session) };
}

void Leader::runPlan()
{
    if (!m_active || m_fenced || m_startsProposed || !m_planRequested || !m_hooks.holdsLease())
        return;
    m_planRequested = false;
    m_plans.increment();
    updateFailureLimits();
    const auto now = m_clock.now();
    // The change may have come after the request.
    const bool isFallback = std::exchange(m_isFallbackPlan, false) && !hasChangedForWaiting(now);
    PlannerInput input { m_state, m_tickets,
        // The planner asks in the order of the serials, so the next session is mostly the one asked for.
        [this, now, next = m_sessions.begin()](uint32_t serial) mutable {
            if (next == m_sessions.end() || next->first != serial)
                next = m_sessions.find(serial);
            if (next == m_sessions.end())
                return WorkerHealthView {};
            auto& session = next++->second;
            const auto view = viewOf(session, now);
            session.couldTakeStarts = canTakeStarts(view);
            return view;
        },
        [this](const StepKey& step) { return m_adviceInFlight.contains(step); }, now + ticketMargin, m_hooks.wallMs() };
    input.mayStartLargeGang = maySendLargeGang();
    input.deferredUntil = [this, now](const StepKey& step) { return m_largeGangs.deferredUntil(step, now); };
    if (!m_restartDelays.isEmpty())
        input.delayedTasks = [this, now](const StepKey& step) { return m_restartDelays.delayedTasks(step, now); };
    auto result = plan(input);
    const auto planTime = m_clock.now() - now;
    m_planLatency.record(planTime);
    ++m_load.plans;
    m_load.planTime += planTime;
    m_load.unplaced += result.unplaced;
    m_waitingTenants = std::move(result.waitingTenants);
    m_nextPlanAt = m_clock.now() + std::min<Duration>(planPauseFactor * planTime, maxPlanPause);
    m_nextDueMs = result.nextDueMs;
    rememberWaiting(result, input);
    const auto asked = askAdvisor(result.advice);
    if (isFallback && asked > 0)
        recordFallback(stepName(result.advice.front().step), asked);
    if (result.starts.empty())
        return;
    if (isFallback)
        recordFallback(stepName(taskOf(result.starts.front())), countTasks(result.starts));
    logStarts(result.starts);
    record::CommandT command;
    for (auto& start : result.starts)
        command.starts.push_back(std::make_unique<record::StartT>(std::move(start)));
    m_startsProposed = true;
    const auto generation = m_generation;
    propose(command, [this, generation](const absl::Status& status) {
        if (generation != m_generation)
            return;
        m_startsProposed = false;
        if (!status.ok())
            logError("cell", "starts were not committed", { { "message", std::string(status.message()) } });
        requestPlan();
    });
}

/// Keeps what the plan has left out, and since when each of the first steps has waited for the same reason.
void Leader::rememberWaiting(const Plan& plan, const PlannerInput& input)
{
    const auto now = m_clock.now();
    Waiting waiting { .unplaced = plan.unplaced,
        .plannedAt = now,
        .retryAt = plan.retryAt,
        .mayStartLargeGang = input.mayStartLargeGang };
    for (const auto& step : plan.waiting) {
        const auto before = m_waiting.steps.find(step.step);
        const bool isSame = before != m_waiting.steps.end() && before->second.reason == step.reason;
        waiting.steps[step.step] = { step.reason, step.tasks, isSame ? before->second.since : now };
    }
    m_waiting = std::move(waiting);
}

/// Requests a plan if a change that is not part of the state may let a task start that the last plan has left out.
void Leader::replanIfChanged()
{
    // A plan may have been postponed because the lease was missing.
    if (m_planRequested || (m_nextDueMs != 0 && m_hooks.wallMs() >= m_nextDueMs))
        return requestPlan();
    if (m_waiting.unplaced.total() == 0)
        return;
    updateFailureLimits();
    const auto now = m_clock.now();
    if (hasChangedForWaiting(now))
        return requestPlan();
    if (m_startsProposed || m_planScheduled || now - m_waiting.plannedAt < fallbackInterval)
        return;
    requestPlan();
    m_isFallbackPlan = true;
}

/// Records starts, or steps about which the advisor is asked, that only the time since the last plan has brought. They
/// show that a change was not noticed.
void Leader::recordFallback(const std::string& step, uint64_t tasks)
{
    m_fallbackStarts.increment(tasks);
    recordDecision("plan", step, "fallback", absl::StrCat("tasks=", tasks));
}

/// Returns true if something that the last plan has read beside the state allows more now.
bool Leader::hasChangedForWaiting(TimePoint now) const
{
    return (m_waiting.retryAt && now >= *m_waiting.retryAt) || (!m_waiting.mayStartLargeGang && maySendLargeGang())
        || (m_waiting.needsProxy && hasIdleProxy()) || hasWorkerForWaiting(now);
}

/// Returns true if some worker can take tasks that it could not take when the last plan was made.
bool Leader::hasWorkerForWaiting(TimePoint now) const
{
    // A plan that has left all tasks out for other reasons has read no worker.
    if (!m_waiting.unplaced.mayNeedWorker())
        return false;
    return std::ranges::any_of(m_sessions, [this, now](const auto& entry) {
        const auto& session = entry.second;
        return !session.couldTakeStarts && canTakeStarts(viewOf(session, now));
    });
}

/// Logs one line for the tasks of a step that start together, with the number of tasks by worker.
void Leader::logStarts(const std::vector<record::StartT>& starts) const
{
    constexpr size_t maxWorkers = 50; // In one line.
    for (size_t first = 0; first < starts.size();) {
        const auto step = stepOf(taskOf(starts[first]));
        std::vector<std::pair<uint32_t, uint32_t>> workers;
        uint64_t tasks = 0;
        auto next = first;
        for (; next < starts.size() && isTaskOf(taskOf(starts[next]), step); ++next) {
            tasks += starts[next].count;
            if (workers.empty() || workers.back().first != starts[next].worker)
                workers.emplace_back(starts[next].worker, 0);
            workers.back().second += starts[next].count;
        }
        std::string text;
        for (size_t i = 0; i < std::min(workers.size(), maxWorkers); ++i) {
            absl::StrAppend(&text, i == 0 ? "" : ",", workers[i].first);
            if (workers[i].second > 1)
                absl::StrAppend(&text, "*", workers[i].second);
        }
        if (workers.size() > maxWorkers)
            absl::StrAppend(&text, " more=", workers.size() - maxWorkers);
        recordDecision("start", stepName(step), "placed",
            absl::StrCat("tasks=", tasks, " run=", starts[first].run, " workers=", text));
        first = next;
    }
}

/// Returns the number of steps about which the advisor was asked.
size_t Leader::askAdvisor(const std::vector<AdviceRequest>& requests)
{
    const auto now = m_clock.now();
    size_t asked = 0;
    for (const auto& request : requests) {
        const auto retry = m_adviceRetryAt.find(request.step);
        if (retry != m_adviceRetryAt.end() && now < retry->second) {
            m_waiting.retryAt = std::min(m_waiting.retryAt.value_or(retry->second), retry->second);
            continue;
        }
        const auto idle
            = std::ranges::find_if(m_advisorProxies, [this](const auto& entry) { return isIdle(entry.second); });
        if (idle == m_advisorProxies.end()) {
            m_waiting.needsProxy = true;
            return asked;
        }
        std::vector<std::string> ids;
        for (const auto serial : request.workers)
            ids.push_back(m_state.findWorker(serial)->worker.id);
        const auto* queue = m_state.findQueue(m_state.findJob(request.step.job)->queue);
        const auto validUntil = now + milliseconds(queue->advice->ticket_ms);
        auto& proxy = idle->second;
        proxy.busy = true;
        const auto call = proxy.call = m_nextAdvice++;
        m_adviceInFlight[request.step] = call;
        m_adviceCalls.increment();
        ++m_load.adviceCalls;
        const auto generation = m_generation;
        const auto finish = [this, generation, call, name = idle->first, request, validUntil, now](
                                AdviceAnswer answer) {
            const auto asked = m_adviceInFlight.find(request.step);
            if (generation != m_generation || asked == m_adviceInFlight.end() || asked->second != call)
                return;
            m_adviceInFlight.erase(asked);
            // The proxy may have been forgotten since, after it was silent.
            const auto found = m_advisorProxies.find(name);
            if (found != m_advisorProxies.end() && found->second.call == call)
                found->second.busy = false;
            m_adviceLatency.record(m_clock.now() - now);
            ++m_load.adviceAnswers;
            m_load.adviceTime += m_clock.now() - now;
            if (!answer.ok) {
                m_adviceRetryAt[request.step] = m_clock.now() + adviceRetryDelay;
                recordDecision("advice", absl::StrCat(request.step.job, ".", request.step.step), "no answer", name);
            } else {
                m_adviceRetryAt.erase(request.step);
                std::map<uint32_t, std::string> fit;
                for (const auto serial : request.workers) {
                    const auto* worker = m_state.findWorker(serial);
                    const auto ticket = worker ? answer.tickets.find(worker->worker.id) : answer.tickets.end();
                    if (ticket != answer.tickets.end())
                        fit[serial] = ticket->second;
                }
                const auto* job = m_state.findJob(request.step.job);
                if (job && job->state == record::JobState::Open)
                    m_tickets.record(request.step, request.workers, fit, validUntil);
            }
            requestPlan();
        };
        m_hooks.advise(idle->first, request.step, ids, finish);
        m_hooks.runAfter(request.expectedDuration + adviceTimeoutMargin, [finish] { finish({}); });
        ++asked;
    }
    return asked;
}

bool Leader::isIdle(const AdvisorProxy& proxy) const
{
    return !proxy.busy && m_clock.now() - proxy.lastSeenAt <= advisorProxyTimeout;
}

bool Leader::hasIdleProxy() const
{
    return std::ranges::any_of(m_advisorProxies, [this](const auto& entry) { return isIdle(entry.second); });
}

void Leader::recordAdvisorProxy(const std::string& proxy)
{
    auto& entry = m_advisorProxies[proxy];
    entry.lastSeenAt = m_clock.now();
}

} // namespace turmericpier::cell
