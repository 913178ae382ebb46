#include "turmericpier/cell/leader.h"

#include "cell/reply.h"
#include "turmericpier/base/error.h"
#include "turmericpier/cell/heartbeats.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

/// Handling of calls of clients, operators and workers.
namespace turmericpier::cell {

using record::CallKind;
using record::Verdict;

namespace {
    constexpr size_t jobIdLength = 16; // In hexadecimal digits.
    // Age of the oldest heartbeat in a report, plus the time for which a connection that delivers nothing is kept.
    constexpr std::chrono::milliseconds maxReportAge = maxHeartbeatAge + std::chrono::milliseconds(1'000);

    bool isJobId(std::string_view id)
    {
        return id.size() == jobIdLength
            && std::ranges::all_of(id, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    /// Refuses a job or a worker for which the state has no memory. Jobs that have ended free theirs after minutes.
    record::ReplyT makeStateFullReply()
    {
        constexpr uint32_t stateFullRetryMs = 5'000;
        auto reply = makeReply(Verdict::NotRun, "the state of the cell has no memory for it");
        reply.retry_after_ms = stateFullRetryMs;
        return reply;
    }

    Verdict verdictOf(const absl::Status& status)
    {
        if (status.ok())
            return Verdict::Ok;
        return detailsOf(status).outcome == Outcome::NotRun ? Verdict::NotRun : Verdict::Unknown;
    }
} // namespace

void Leader::handle(std::unique_ptr<record::CallT> call, Answer answer)
{
    m_callsHandled.increment();
    // Reads need the lease too: an answer that something does not exist must be based on the latest state.
    if (!m_active || !m_hooks.holdsLease())
        return answer(makeReply(Verdict::NotLeader, "this replica does not lead"));
    switch (call->kind) {
    case CallKind::Submit:
        return submit(std::move(call), std::move(answer));
    case CallKind::Status:
        return status(*call, answer);
    case CallKind::Cancel:
        return cancel(*call, std::move(answer));
    case CallKind::Waiting:
        return waiting(*call, answer);
    case CallKind::PutConfig:
        return putConfig(std::move(call), std::move(answer));
    case CallKind::GetConfig: {
        auto reply = makeReply(m_state.config() ? Verdict::Ok : Verdict::NotRun, "there is no configuration yet");
        if (m_state.config())
            reply.config = std::make_unique<record::ConfigT>(*m_state.config());
        return answer(std::move(reply));
    }
    case CallKind::Beat:
        return heartbeat(std::move(call), std::move(answer));
    case CallKind::Seen:
        return seen(*call, answer);
    case CallKind::Leave:
        return leave(*call, answer);
    case CallKind::Advise:
    case CallKind::Locate:
    case CallKind::Join:
    case CallKind::Orders:
    case CallKind::OrderAnswers:
        break;
    }
    answer(makeReply(Verdict::Invalid, "not a call for the leader"));
}

/// Proposes a command after the ends that were collected before it, so that the log keeps their order.
void Leader::propose(record::CommandT& command, LeaderHooks::ProposeCallback done)
{
    flushEnds();
    command.time_ms = cellTimeMs();
    m_hooks.propose(command, std::move(done));
}

void Leader::proposeFor(record::CommandT& command, Answer answer, std::string what, std::string id, std::string inputs)
{
    propose(command,
        [this, answer = std::move(answer), what = std::move(what), id = std::move(id), inputs = std::move(inputs)](
            const absl::Status& status) {
            const auto verdict = verdictOf(status);
            recordDecision(what, id,
                verdict == Verdict::Ok           ? "committed"
                    : verdict == Verdict::NotRun ? "refused"
                                                 : "unknown",
                absl::StrCat(inputs, status.message()));
            answer(makeReply(verdict, std::string(status.message())));
        });
}

/// Returns false, and logs and counts it, if the state would exceed its memory with a job or a worker of this size.
bool Leader::fitsState(size_t bytes, std::string_view id)
{
    if (m_options.maxStateBytes == 0 || m_state.memory() + m_pendingStateBytes + bytes <= m_options.maxStateBytes)
        return true;
    m_stateRefusals.increment();
    recordDecision("memory", id, "refused",
        absl::StrCat("share=state limit=", m_options.maxStateBytes, " used=", m_state.memory(),
            " pending=", m_pendingStateBytes, " wanted=", bytes));
    return false;
}

/// Counts the memory of a job or a worker until its commit is answered; the state contains it from then on.
Leader::Answer Leader::holdStateMemory(size_t bytes, Answer answer)
{
    m_pendingStateBytes += bytes;
    return [this, bytes, generation = m_generation, answer = std::move(answer)](record::ReplyT reply) {
        if (generation == m_generation)
            m_pendingStateBytes -= bytes;
        answer(std::move(reply));
    };
}

/// Returns the queue and the tenant of a call. If there is no such queue, or the key is not known, answers the call and
/// returns nothing.
std::optional<Leader::Caller> Leader::identifyOrAnswer(const record::CallT& call, const Answer& answer) const
{
    if (!m_state.config()) {
        answer(makeReply(Verdict::NotRun, "there is no configuration yet"));
        return std::nullopt;
    }
    Caller caller { m_state.matchQueue(call.host, call.path), "" };
    if (!caller.queue) {
        answer(makeReply(Verdict::NoSuchQueue, absl::StrCat("no queue at ", call.host, call.path)));
        return std::nullopt;
    }
    if (!m_state.tenants().areConfigured())
        return caller;
    if (const auto* tenant = m_state.tenants().findByKey(call.key)) {
        caller.tenant = tenant->name;
    } else if (!caller.queue->is_public) {
        m_keyRefusals.increment();
        answer(makeReply(Verdict::Unauthorized, "the key of the call is not known"));
        return std::nullopt;
    }
    return caller;
}

/// Returns true if the caller may see and cancel a job of this queue and tenant. Job ids cannot be guessed, and a
/// client of a public queue may have lost its key since it sent the job.
bool Leader::mayAccess(const Caller& caller, const std::string& queue, const std::string& tenant) const
{
    if (queue != queueKey(caller.queue->host, caller.queue->prefix))
        return false;
    return caller.tenant.empty() || tenant.empty() || caller.tenant == tenant;
}

/// Refuses a job beyond the weight of its tenant while tasks of the tenant wait, so that a queue that grows without end
/// does not delay the jobs that can be served.
bool Leader::isWithinRate(const std::string& tenant, const std::string& job, const Answer& answer)
{
    const auto* found = m_state.tenants().find(tenant);
    if (!found)
        return true;
    auto& figures = m_tenantFigures[tenant];
    const auto now = m_clock.now();
    if (m_arrivals.take(tenant, found->weight, now) || !m_waitingTenants.contains(tenant)) {
        ++figures.accepted;
        return true;
    }
    ++figures.limited;
    m_rateRefusals.increment();
    auto reply = makeReply(Verdict::TooMany, "the tenant sends more jobs than its weight allows");
    reply.retry_after_ms = static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_arrivals.promise(tenant, found->weight, now)).count());
    // A kind of its own, because the number of lines of a kind is limited.
    recordDecision("limit", job, "refused",
        absl::StrCat("tenant=", tenant, " weight=", found->weight, " retry_after_ms=", reply.retry_after_ms));
    answer(std::move(reply));
    return false;
}

/// Refuses a job with a gang that needs more than its tenant may run at a time, which would wait without end.
bool Leader::isWithinCap(const record::JobT& job, const Answer& answer) const
{
    for (size_t i = 0; i < job.steps.size(); ++i) {
        const auto& step = *job.steps[i];
        if (!step.gang || m_state.tenants().tasksWithinCap(job.tenant, {}, resourcesOf(step), step.count) == step.count)
            continue;
        recordDecision("limit", job.id, "refused", absl::StrCat("tenant=", job.tenant, " gang=", step.count));
        answer(makeReply(
            Verdict::Invalid, absl::StrCat("steps[", i, "]: the gang needs more than the cap of its tenant")));
        return false;
    }
    return true;
}

/// Bounds the figures by the number of tenants that have work or may send it.
void Leader::forgetOmittedTenants()
{
    const auto isKnown = [this](const std::string& name) { return m_state.tenants().find(name) != nullptr; };
    m_arrivals.removeUnless(isKnown);
    std::erase_if(m_tenantFigures, [&](const auto& item) { return !isKnown(item.first); });
}

void Leader::submit(std::unique_ptr<record::CallT> call, Answer answer)
{
    const auto caller = identifyOrAnswer(*call, answer);
    if (!caller)
        return;
    auto& job = *call->job;
    job.id = call->path.substr(caller->queue->prefix.size());
    if (!isJobId(job.id))
        return answer(makeReply(Verdict::NoSuchQueue, absl::StrCat("no job id follows the prefix of the queue")));
    // Also a job of another tenant is acknowledged: a refusal would say that it does not run.
    if (m_state.findJob(job.id))
        return answer(makeReply(Verdict::Ok));
    if (const auto pending = m_pendingSubmits.find(job.id); pending != m_pendingSubmits.end()) {
        pending->second.answers.push_back(std::move(answer));
        return;
    }
    job.queue = queueKey(caller->queue->host, caller->queue->prefix);
    job.tenant = caller->tenant;
    if (!isWithinCap(job, answer))
        return;
    const auto bytes = estimateMemory(job);
    if (!fitsState(bytes, job.id))
        return answer(makeStateFullReply());
    if (!isWithinRate(job.tenant, job.id, answer))
        return;
    m_pendingSubmits[job.id] = { job.queue, job.tenant, { holdStateMemory(bytes, std::move(answer)) } };
    job.accepted_ms = m_hooks.wallMs();
    const auto id = job.id;
    record::CommandT command;
    command.submit.push_back(std::move(call->job));
    proposeFor(
        command,
        [this, id, generation = m_generation](const record::ReplyT& reply) {
            if (generation != m_generation)
                return;
            auto submitted = m_pendingSubmits.extract(id);
            if (submitted.empty())
                return;
            for (const auto& waiter : submitted.mapped().answers)
                waiter(reply);
        },
        "submit", id, caller->tenant.empty() ? "" : absl::StrCat("tenant=", caller->tenant, " "));
}

void Leader::status(const record::CallT& call, const Answer& answer) const
{
    const auto caller = identifyOrAnswer(call, answer);
    if (!caller)
        return;
    const auto id = call.path.substr(caller->queue->prefix.size());
    const auto* job = m_state.findJob(id);
    if (!job || !mayAccess(*caller, job->queue, job->tenant))
        return answer(makeReply(Verdict::NoSuchJob));
    auto reply = makeReply(Verdict::Ok);
    reply.state = job->state;
    reply.started = job->started;
    answer(std::move(reply));
}

void Leader::cancel(const record::CallT& call, Answer answer)
{
    const auto caller = identifyOrAnswer(call, answer);
    if (!caller)
        return;
    const auto id = call.path.substr(caller->queue->prefix.size());
    const auto* job = m_state.findJob(id);
    const auto pending = m_pendingSubmits.find(id);
    if (!job && pending == m_pendingSubmits.end())
        return answer(makeReply(Verdict::NoSuchJob));
    if (!mayAccess(*caller, job ? job->queue : pending->second.queue, job ? job->tenant : pending->second.tenant))
        return answer(makeReply(Verdict::NoSuchJob));
    if (job && job->state != record::JobState::Open)
        return answer(makeReply(Verdict::Ok));
    record::CommandT command;
    command.cancel.push_back(id);
    proposeFor(command, std::move(answer), "cancel", id);
}

void Leader::waiting(const record::CallT& call, const Answer& answer) const
{
    const auto caller = identifyOrAnswer(call, answer);
    if (!caller)
        return;
    auto reply = makeReply(Verdict::Ok);
    reply.waiting = m_state.waitingJobs(queueKey(caller->queue->host, caller->queue->prefix));
    answer(std::move(reply));
}

void Leader::putConfig(std::unique_ptr<record::CallT> call, Answer answer)
{
    const auto version = call->config->version;
    if (m_state.config() && version <= m_state.config()->version)
        return answer(makeReply(Verdict::Ok));
    record::CommandT command;
    command.config = std::move(call->config);
    proposeFor(command, std::move(answer), "configuration", absl::StrCat(version));
}

void Leader::heartbeat(std::unique_ptr<record::CallT> call, Answer answer)
{
    auto& worker = *call->worker;
    if (m_state.config() && !m_state.findService(worker.service))
        return answer(makeReply(Verdict::Ok, "no such service")); // There is no queue that could use the worker.
    const auto* known = m_state.findWorkerById(worker.id);
    if (known && known->worker.born_ms > worker.born_ms)
        return answer(makeReply(Verdict::Ok)); // A delayed heartbeat of an earlier incarnation.
    if (known && known->worker.born_ms == worker.born_ms) {
        const auto session = m_sessions.find(known->worker.serial);
        if (session != m_sessions.end()) {
            session->second.lastContactAt = m_clock.now();
            session->second.leaving = false;
        }
        // A late heartbeat may show a capacity that has changed since.
        if (isUnchanged(known->worker, worker) || worker.seq < known->worker.seq)
            return answer(makeReply(Verdict::Ok));
        worker.draining |= known->worker.draining;
    }
    if (known && mayHoldRunsOf(*known, worker))
        return holdHeartbeat(m_sessions.at(known->worker.serial), std::move(call), std::move(answer));
    const auto* atAddress = m_state.findWorkerAt(worker.address);
    if (!known && atAddress && atAddress->worker.born_ms > worker.born_ms)
        return answer(makeReply(Verdict::Ok)); // A later incarnation has registered at the address.
    const auto bytes = estimateMemory(worker);
    if ((!known || bytes > estimateMemory(known->worker)) && !fitsState(bytes, worker.id))
        return answer(makeStateFullReply());
    answer = holdStateMemory(bytes, std::move(answer));
    const auto id = absl::StrCat(worker.id, worker.draining ? " draining" : " ready");
    record::CommandT command;
    if (known && known->worker.born_ms < worker.born_ms)
        appendEndsOfReplaced(command, *known);
    if (atAddress && atAddress != known && atAddress->worker.born_ms < worker.born_ms)
        appendEndsOfReplaced(command, *atAddress);
    appendLateCrashes(command, worker);
    proposeExcessEnds(command);
    command.workers.push_back(std::move(call->worker));
    proposeFor(command, std::move(answer), "worker", id);
}

/// Processes a report of heartbeats that other replicas have answered.
void Leader::seen(const record::CallT& call, const Answer& answer)
{
    const auto now = m_clock.now();
    for (const auto serial : call.seen) {
        const auto found = m_sessions.find(serial);
        if (found == m_sessions.end())
            continue; // Removed since, or unknown here; the worker registers again with a later heartbeat.
        auto& session = found->second;
        session.lastContactAt = now;
        // A heartbeat in a report may be older than the worker's leave.
        if (session.leaving && now - session.leavingSince > maxReportAge)
            session.leaving = false;
    }
    answer(makeReply(Verdict::Ok));
}

void Leader::leave(const record::CallT& call, const Answer& answer)
{
    const auto* known = m_state.findWorkerById(call.worker->id);
    if (known) {
        // The call does not end this incarnation, because it may be a delayed one of an earlier incarnation under the
        // same id. The lease is no longer renewed, and the address is polled until it refuses connections.
        const auto session = m_sessions.find(known->worker.serial);
        if (session != m_sessions.end()) {
            session->second.leaving = true;
            session->second.leavingSince = m_clock.now();
            session->second.pollDueAt = m_clock.now();
            recordDecision("worker", known->worker.id, "leaving");
        }
    }
    answer(makeReply(Verdict::Ok));
}

} // namespace turmericpier::cell
