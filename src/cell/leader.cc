#include "turmericpier/cell/leader.h"

#include "cell/reply.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace turmericpier::cell {

using record::EndKind;
using record::JobState;
using record::Verdict;
using std::chrono::milliseconds;

namespace {
    // A worker without runs is removed after this many heartbeat intervals of silence.
    constexpr int idleWorkerTimeoutIntervals = 6;
    constexpr milliseconds loadReportInterval { 1'000 };
    constexpr milliseconds advisorProxyRetention { 30'000 };

    /// Only the judgement of jobs is used. Workers are taken out of use by their recent failures, because the outcomes
    /// that would prove them bad come too late for tasks of some seconds.
    decision::WorkerHealthOptions taskHealthOptions()
    {
        decision::WorkerHealthOptions options;
        options.maxQuarantinedShare = 0;
        options.maxJobs = 5'000;
        return options;
    }

    int64_t toMs(Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); }

    int64_t meanOf(int64_t total, uint32_t count) { return count == 0 ? 0 : total / count; }

    int64_t meanMs(Duration total, uint32_t count) { return meanOf(toMs(total), count); }

    boost::json::object describe(const Resources& resources)
    {
        return { { "cpu", resources.cpu.value }, { "memory", resources.memory.value },
            { "accelerators", resources.accelerators.value } };
    }
} // namespace

std::string_view toString(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Superseded:
        return "superseded";
    case OrderResult::TooLate:
        return "too late";
    case OrderResult::NoRoom:
        return "no room";
    case OrderResult::BadTicket:
        return "bad ticket";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::Unhealthy:
        return "unhealthy";
    case OrderResult::OtherIncarnation:
        return "other life";
    case OrderResult::ConnectionRefused:
        return "connection refused";
    case OrderResult::NotSent:
        return "not sent";
    case OrderResult::NoAnswer:
        break;
    }
    return "no answer";
}

Leader::Leader(LeaderOptions options, LeaderHooks hooks, State& state, const Clock& clock, Metrics& metrics)
    : m_options(options)
    , m_hooks(std::move(hooks))
    , m_state(state)
    , m_clock(clock)
    , m_starts(metrics.counter("cell_starts_total"))
    , m_startsRefused(metrics.counter("cell_starts_refused_total"))
    , m_unknownRuns(metrics.counter("cell_unknown_runs_total"))
    , m_polls(metrics.counter("cell_looks_total"))
    , m_adviceCalls(metrics.counter("cell_advice_calls_total"))
    , m_plans(metrics.counter("cell_plans_total"))
    , m_fallbackStarts(metrics.counter("cell_fallback_starts_total"))
    , m_callsHandled(metrics.counter("cell_calls_total"))
    , m_stateRefusals(metrics.counter("memory_state_refused_total"))
    , m_keyRefusals(metrics.counter("cell_keys_refused_total"))
    , m_rateRefusals(metrics.counter("cell_jobs_limited_total"))
    , m_stateBytes(metrics.gauge("memory_state_bytes"))
    , m_planLatency(metrics.latency("cell_plan_seconds"))
    , m_tickGap(metrics.latency("cell_tick_gap_seconds"))
    , m_startLatency(metrics.latency("cell_start_order_seconds"))
    , m_adviceLatency(metrics.latency("cell_advice_seconds"))
    , m_arrivals(m_options.arrivalWindow)
    , m_taskHealth(taskHealthOptions())
    , m_largeGangs(m_options.gangWait)
{
}

Leader::~Leader() = default;

void Leader::activate(uint64_t term)
{
    deactivate();
    m_active = true;
    m_term = term;
    m_activatedAt = m_clock.now();
    m_timeAtActivation = m_state.timeMs();
    rememberEndedJobs();
    refreshSessions(); // Polls every worker.
    recordDecision("leadership", absl::StrCat(term), "active",
        absl::StrCat("workers=", m_sessions.size(), " open_jobs=", m_state.openJobs().size()));
    requestPlan();
}

void Leader::deactivate()
{
    if (m_active)
        recordDecision("leadership", absl::StrCat(m_term), "lost");
    m_active = false;
    m_fenced = false;
    ++m_generation;
    m_sessions.clear();
    m_taskHealth = decision::WorkerHealth(taskHealthOptions());
    m_lostWorkers.clear();
    m_tickets = {};
    m_adviceInFlight.clear();
    m_adviceRetryAt.clear();
    for (auto& [name, proxy] : m_advisorProxies)
        proxy.busy = false;
    m_startsProposed = false;
    m_endsCommand = {};
    m_endsBytes = 0;
    m_largeGangs.clear();
    m_restartDelays.clear();
    m_pendingEnds.clear();
    m_pendingSubmits.clear();
    m_arrivals.clear();
    m_waitingTenants.clear();
    m_tenantFigures.clear();
    m_pendingStateBytes = 0;
    for (const auto& [serial, held] : std::exchange(m_heldHeartbeats, {}))
        held.answer(makeReply(Verdict::NotLeader, "this replica does not lead"));
    m_endedSince.clear();
    m_nextDueMs = 0;
    m_waiting = {};
    m_load = {};
    m_lastTickAt.reset();
}

void Leader::recordDecision(
    std::string_view what, std::string_view id, std::string_view outcome, std::string detail) const
{
    logDecision("cell", what, id, outcome, { { "term", absl::StrCat(m_term) }, { "inputs", std::move(detail) } });
}

void Leader::applied(const record::CommandT& command)
{
    if (!m_active)
        return;
    if (!command.workers.empty() || !command.gone.empty())
        refreshSessions();
    if (command.config)
        forgetOmittedTenants();
    for (const auto& end : command.ends) {
        const auto session = m_sessions.find(end->worker);
        if (session == m_sessions.end())
            continue;
        const auto run = session->second.runs.find(taskOf(*end));
        if (run != session->second.runs.end() && run->second.number == end->run) {
            recordRestart(*end, run->second);
            session->second.runs.erase(run);
        }
        if (end->how == EndKind::Failed)
            recordTaskFailure(session->second, end->job, 1);
        else if (end->how == EndKind::Done)
            recordSuccess(session->second, end->job);
    }
    for (const auto& end : command.ends)
        logEnd(*end);
    stopGangs(command);
    stopClosedJobs(command);
    for (const auto& start : command.starts)
        orderStarts(*start);
    requestPlan();
}

/// Delays the next start of a task that lasts and keeps ending, which would take processor time, entries of the log and
/// calls to the advisor without bound.
void Leader::recordRestart(const record::EndT& end, const Run& run)
{
    const auto* job = m_state.findJob(end.job);
    if (!job || job->state != JobState::Open || !job->steps[end.step]->long_running
        || (end.how != EndKind::Failed && end.how != EndKind::Done))
        return;
    auto task = taskOf(end);
    if (job->steps[end.step]->gang)
        task.index = 0;
    m_restartDelays.recordEnd(task, m_clock.now() - run.startedAt, m_clock.now());
}

/// Orders the starts of the tasks that a record of the log places on a worker.
void Leader::orderStarts(const record::StartT& start)
{
    const auto session = m_sessions.find(start.worker);
    if (session == m_sessions.end())
        return;
    auto key = taskOf(start);
    for (uint32_t i = 0; i < start.count; ++i, ++key.index) {
        const auto* task = m_state.findTask(key);
        if (!task)
            break;
        if (task->state != record::TaskState::Placed || task->run != start.run || task->worker != start.worker)
            continue;
        auto& run = session->second.runs[key];
        run = { .number = start.run, .phaseSince = m_clock.now() };
        run.startedAt = run.progressSince = m_clock.now();
        run.checkpoint = m_state.checkpointOf(key);
        if (i == 0 && isInLargeGang(key))
            m_largeGangs.begin(stepOf(key), start.run, start.count);
        queueStart(session->second, key, run);
    }
    sendQueuedOrders(session->second);
}

void Leader::stopJob(const record::JobT& job)
{
    m_tickets.forgetJob(job.id);
    m_taskHealth.jobEnded(JobId(job.id));
    m_largeGangs.forgetJob(job.id);
    m_restartDelays.forgetJob(job.id);
    m_endedSince.emplace(job.id, m_clock.now());
    for (auto& [serial, session] : m_sessions) {
        for (auto it = session.runs.lower_bound({ job.id, 0, 0, 0 });
             it != session.runs.end() && it->first.job == job.id; ++it)
            stopRun(session, it->first, it->second);
    }
}

void Leader::stopClosedJobs(const record::CommandT& command)
{
    std::set<std::string> touched(command.cancel.begin(), command.cancel.end());
    for (const auto& end : command.ends)
        touched.insert(end->job);
    for (const auto& id : touched) {
        const auto* job = m_state.findJob(id);
        if (!job || job->state == JobState::Open || m_endedSince.contains(id))
            continue;
        recordDecision("job", id,
            job->state == JobState::Done         ? "done"
                : job->state == JobState::Failed ? "failed"
                                                 : "cancelled");
        stopJob(*job);
    }
}

void Leader::logEnd(const record::EndT& end) const
{
    if (end.how == EndKind::Done)
        return;
    const auto* worker = m_state.findWorker(end.worker);
    recordDecision("end", taskName(taskOf(end)), record::EnumNameEndKind(end.how),
        absl::StrCat("run=", end.run, " worker=", worker ? worker->worker.id : "gone"));
}

/// Takes the ended jobs over that former leaders have not removed. While there is no leader the time of the cell stands
/// still, so that they are kept rather too long than too short.
void Leader::rememberEndedJobs()
{
    for (const auto& [id, job] : m_state.jobs()) {
        if (job->state == JobState::Open)
            continue;
        const auto age = milliseconds(m_state.timeMs() - std::min(m_state.timeMs(), job->ended_ms));
        m_endedSince.emplace(id, m_clock.now() - age);
    }
}

uint64_t Leader::cellTimeMs() const
{
    return m_timeAtActivation + static_cast<uint64_t>(toMs(m_clock.now() - m_activatedAt));
}

void Leader::forgetOldJobs()
{
    const auto now = m_clock.now();
    // Half of the retention is what callers are promised; the rest is given up for new jobs.
    const bool isHalfFull = m_options.maxStateBytes > 0 && m_state.memory() > m_options.maxStateBytes / 2;
    const Duration retention = m_options.endedJobRetention / (isHalfFull ? 2 : 1);
    constexpr size_t maxForgotten = 1'000; // Bounds the size of the entry.
    record::CommandT command;
    for (auto it = m_endedSince.begin(); it != m_endedSince.end() && command.forget.size() < maxForgotten; ++it) {
        if (now - it->second >= retention)
            command.forget.push_back(it->first);
    }
    if (command.forget.empty())
        return;
    for (const auto& id : command.forget)
        m_endedSince[id] = now; // Retried later if a run of the job has not ended yet.
    propose(command, [this](const absl::Status& status) {
        if (!status.ok())
            logError("cell", "ended jobs were not removed", { { "message", std::string(status.message()) } });
        std::erase_if(m_endedSince, [this](const auto& entry) { return !m_state.findJob(entry.first); });
    });
}

/// Records the time since the last tick, which shows how long events wait for the leader's thread.
void Leader::recordTick()
{
    const auto now = m_clock.now();
    if (m_lastTickAt) {
        m_tickGap.record(now - *m_lastTickAt);
        m_load.maxTickGap = std::max(m_load.maxTickGap, now - *m_lastTickAt);
    } else {
        m_loadReportedAt = now;
    }
    m_lastTickAt = now;
    m_stateBytes.set(static_cast<int64_t>(m_state.memory()));
    if (now - m_loadReportedAt >= loadReportInterval)
        reportLoad();
}

void Leader::reportLoad()
{
    m_loadReportedAt = m_clock.now();
    const auto load = std::exchange(m_load, {});
    const auto unplaced = [&load](std::initializer_list<WaitReason> reasons) {
        int64_t tasks = 0;
        for (const auto reason : reasons)
            tasks += load.unplaced[reason];
        return meanOf(tasks, load.plans);
    };
    recordDecision("load", absl::StrCat("term ", m_term), "report",
        absl::StrCat("tick_gap_ms=", toMs(load.maxTickGap), " plans=", load.plans, " plan_ms=", toMs(load.planTime),
            " starts=", load.starts, " start_answer_ms=", meanMs(load.startTime, load.startAnswers), " looks=",
            load.polls, " advice=", load.adviceCalls, " advice_ms=", meanMs(load.adviceTime, load.adviceAnswers),
            " open_jobs=", m_state.openJobs().size(), " unplaced_advice=", unplaced({ WaitReason::Advice }),
            " unplaced_room=", unplaced({ WaitReason::NoRoom, WaitReason::OrdersQueued }), " unplaced_limit=",
            unplaced(
                { WaitReason::PlanLimit, WaitReason::GangDelay, WaitReason::GangOrders, WaitReason::RestartDelay }),
            " unplaced_cap=", unplaced({ WaitReason::TenantCap })));
}

void Leader::tick()
{
    if (!m_active)
        return;
    recordTick();
    const auto now = m_clock.now();
    for (auto& [serial, session] : m_sessions) {
        if (!session.pollInFlight && now >= session.pollDueAt
            && (!session.synced || session.failedPolls > 0 || !session.runs.empty() || session.leaving))
            poll(session);
        checkRuns(session);
        sendQueuedOrders(session);
        const bool silent = session.runs.empty()
            ? now - session.lastContactAt > idleWorkerTimeoutIntervals * m_options.heartbeatInterval
            : now >= session.leaseEnd;
        if (!session.removalProposed && session.failedPolls > 0 && silent)
            proposeRemoval(session, false);
    }
    stopLateGangs();
    replanIfChanged();
    std::erase_if(m_adviceRetryAt, [&](const auto& entry) { return now >= entry.second; });
    std::erase_if(
        m_advisorProxies, [&](const auto& entry) { return now - entry.second.lastSeenAt > advisorProxyRetention; });
    forgetOldJobs();
    m_restartDelays.forgetOld(now);
}

/// Describes each tenant, the first ones by name.
boost::json::array Leader::describeTenants() const
{
    constexpr size_t maxTenants = 200;
    const auto& tenants = m_state.tenants();
    if (tenants.all().empty())
        return {};
    std::map<std::string, uint32_t> waiting;
    for (const auto& [order, job] : m_state.openJobs())
        waiting[job->tenant] += job->started ? 0 : 1;
    boost::json::array described;
    for (const auto& [name, tenant] : tenants.all()) {
        if (described.size() == maxTenants)
            break;
        const auto used = tenants.usage(name);
        const auto figures = m_tenantFigures.find(name);
        const auto known = figures == m_tenantFigures.end() ? TenantFigures {} : figures->second;
        described.push_back(
            boost::json::object { { "name", name }, { "weight", tenant.weight }, { "used", describe(used) },
                { "cap",
                    describe({ MilliCpu { tenant.cap_cpu }, MemoryMib { tenant.cap_memory },
                        Accelerators { tenant.cap_accelerators } }) },
                { "waiting_jobs", waiting[name] }, { "has_waiting_tasks", m_waitingTenants.contains(name) },
                { "accepted", known.accepted }, { "limited", known.limited } });
    }
    return described;
}

/// Describes the first steps of which the last plan has left tasks out.
boost::json::array Leader::describeWaiting() const
{
    boost::json::array described;
    for (const auto& [step, waiting] : m_waiting.steps) {
        described.push_back(boost::json::object { { "step", stepName(step) }, { "tasks", waiting.tasks },
            { "reason", cell::toString(waiting.reason) }, { "since_ms", toMs(m_clock.now() - waiting.since) } });
    }
    return described;
}

std::string Leader::dump() const
{
    boost::json::array workers;
    for (const auto& [serial, session] : m_sessions) {
        const auto* record = m_state.findWorker(serial);
        const auto failures = session.failures.value(m_clock.now());
        const auto exclusion = exclusionOf(session, failures, m_clock.now());
        workers.push_back(boost::json::object { { "serial", serial }, { "id", record ? record->worker.id : "" },
            { "synced", session.synced }, { "silent_looks", session.failedPolls }, { "runs", session.runs.size() },
            { "usable", exclusion == Exclusion::None }, { "excluded_by", nameOf(exclusion) },
            { "failures", failures } });
    }
    return boost::json::serialize(boost::json::object { { "active", m_active }, { "term", m_term },
        { "open_jobs", m_state.openJobs().size() }, { "jobs", m_state.jobs().size() },
        { "state_bytes", m_state.memory() }, { "max_state_bytes", m_options.maxStateBytes },
        { "config_version", m_state.config() ? m_state.config()->version : 0 }, { "tenants", describeTenants() },
        { "tenant_count", m_state.tenants().all().size() }, { "waiting", describeWaiting() },
        { "workers", std::move(workers) } });
}

} // namespace turmericpier::cell
