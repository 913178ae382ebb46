#pragma once

#include "routing-fake-world.h"

/// Delivery of each message between the routers and the fakes, with the planned faults.
namespace turmericpier::routing::fakes {

/// Delivers an event to an entry. A paused entry receives it after the pause, a crashed entry never.
inline void World::input(size_t entry, Input input)
{
    Entry& to = m_entries[entry];
    if (to.crashed)
        return;
    if (m_now < to.pausedUntil) {
        m_events.emplace(to.pausedUntil, [this, entry, input] { this->input(entry, input); });
        return;
    }
    for (const Action& action : input(*to.router, m_now))
        carryOut(entry, action);
}

inline void World::carryOut(size_t entry, const Action& action)
{
    if (const auto* dispatch = std::get_if<Dispatch>(&action))
        onDispatch(entry, *dispatch);
    else if (const auto* claim = std::get_if<CommitClaim>(&action))
        onCommit<CommitClaim, ClaimResult>(entry, *claim, Step::Claim);
    else if (const auto* outcome = std::get_if<CommitOutcome>(&action))
        onCommit<CommitOutcome, OutcomeResult>(entry, *outcome, Step::Outcome);
    else if (const auto* query = std::get_if<QueryWorker>(&action))
        onQuery(entry, *query);
    else
        onReply(entry, std::get<Reply>(action));
}

inline void World::onDispatch(size_t entry, const Dispatch& dispatch)
{
    Entry& from = m_entries[entry];
    const Grant& grant = from.grants[dispatch.worker];
    auto& inFlight = from.inFlight[dispatch.worker];
    const std::string key = from.keys[dispatch.ticket];
    inFlight.insert({ dispatch.ticket, dispatch.attempt });
    if (inFlight.size() > grant.slots)
        addViolation("more in flight on " + dispatch.worker.str() + " than the grant's slots");
    if (!from.acceptingWorkers.contains(dispatch.worker))
        addViolation("dispatch to a worker that is leaving or gone");
    if (grant.expires <= m_now || grant.epoch != dispatch.grantEpoch)
        addViolation("dispatch without a grant in force");
    const auto claim = m_ledger.claims.find(key);
    if (m_variant.nonRepeatable && (claim == m_ledger.claims.end() || claim->second.worker != dispatch.worker))
        addViolation("dispatch without a claim");
    if (key == detail::target)
        m_targetWorker = dispatch.worker;
    const Message message { entry, dispatch.ticket, dispatch.attempt, dispatch.worker, key, dispatch.grantEpoch,
        dispatch.workerIncarnation };
    const auto fault = triggerFaults(Step::Dispatch, key);
    if (fault == Fault::LoseRequest || fault == Fault::LateAfterFailure)
        fail(message, Outcome::Unknown, "LOST", detail::failureDetectionMs);
    if (fault == Fault::Refuse)
        return fail(message, Outcome::NotRun, "REFUSED", detail::latencyMs);
    if (fault == Fault::LoseRequest)
        return;
    const bool late = fault == Fault::Late || fault == Fault::LateAfterFailure;
    after(late ? detail::lateDelayMs : detail::latencyMs, [this, message] { execute(message); });
    if (fault == Fault::Twice)
        after(detail::lateDelayMs, [this, message] { execute(message); });
}

inline void World::fail(const Message& message, Outcome outcome, const std::string& reason, int64_t delay)
{
    after(delay, [this, message, outcome, reason] {
        input(message.entry, [this, message, outcome, reason](Router& router, TimePoint now) {
            if (outcome != Outcome::Unknown)
                markEnded(message);
            return router.failed(
                message.ticket, message.attempt, { outcome, reason, outcome == Outcome::Unknown }, now);
        });
    });
}

/// Records that the entry has been told the end of the attempt.
inline void World::markEnded(const Message& message)
{
    m_entries[message.entry].inFlight[message.worker].erase({ message.ticket, message.attempt });
}

inline void World::execute(const Message& message)
{
    FakeWorker& worker = m_workers[message.worker];
    if (!worker.reachable)
        return fail(message, Outcome::Unknown, "UNREACHABLE", detail::failureDetectionMs);
    const std::pair id(message.key, message.attempt);
    const auto seen = worker.runs.find(id);
    const bool known = seen != worker.runs.end();
    if (known && !seen->second.done) {
        seen->second.waiters.push_back(message);
        return;
    }
    if (known)
        return answer(message);
    if (worker.refusesAll || message.incarnation != worker.incarnation || worker.fenced.contains(id)
        || message.epoch < worker.epochFence[message.entry] || worker.running >= worker.slots)
        return fail(message, Outcome::NotRun, "REFUSED", detail::latencyMs);
    auto& runningOn = m_runningOn[message.key];
    runningOn.insert(message.worker);
    if (runningOn.size() > 1)
        addViolation(message.key + " runs on two workers at once");
    if (++m_executions[message.key] > 1 && m_variant.nonRepeatable)
        addViolation("non-repeatable " + message.key + " executed twice");
    ++worker.running;
    worker.runs[id].waiters.push_back(message);
    after(worker.failsAll ? 0 : detail::runTimeMs, [this, message, incarnation = worker.incarnation] {
        finishRun(message.worker, incarnation, message.key, message.attempt);
    });
}

inline void World::finishRun(const WorkerId& id, Incarnation incarnation, const std::string& key, uint32_t attempt)
{
    FakeWorker& worker = m_workers[id];
    if (worker.incarnation != incarnation)
        return;
    --worker.running;
    m_runningOn[key].erase(id);
    FakeWorker::Run& run = worker.runs[{ key, attempt }];
    run.done = true;
    for (const Message& message : std::exchange(run.waiters, {})) {
        if (worker.failsAll)
            fail(message, Outcome::Unknown, "INTERNAL", detail::latencyMs);
        else if (worker.reachable)
            answer(message);
        else
            fail(message, Outcome::Unknown, "UNREACHABLE", detail::failureDetectionMs);
    }
}

inline void World::answer(const Message& message)
{
    auto fault = triggerFaults(Step::Answer, message.key);
    if (m_variant.firstAnswerLost && message.key == detail::target && !std::exchange(m_answerLost, true))
        fault = Fault::LoseRequest;
    if (fault == Fault::LoseRequest || fault == Fault::LateAfterFailure)
        fail(message, Outcome::Unknown, "LOST", detail::failureDetectionMs);
    if (fault == Fault::LoseRequest)
        return;
    const bool late = fault == Fault::Late || fault == Fault::LateAfterFailure;
    after(late ? detail::lateDelayMs : detail::latencyMs, [this, message] { deliverAnswer(message); });
    if (fault == Fault::Twice)
        after(detail::lateDelayMs, [this, message] { deliverAnswer(message); });
}

inline void World::deliverAnswer(const Message& message)
{
    input(message.entry, [this, message](Router& router, TimePoint now) {
        markEnded(message);
        m_entries[message.entry].answers[{ message.ticket, message.attempt }] = "answer to " + message.key;
        return router.answered(message.ticket, message.attempt, now);
    });
}

inline void World::onQuery(size_t entry, const QueryWorker& query)
{
    const Message message { entry, query.ticket, query.attempt, query.worker, query.key };
    const auto fault = triggerFaults(Step::Query, query.key);
    if (fault == Fault::LoseRequest || fault == Fault::LoseReply || fault == Fault::LateAfterFailure)
        after(detail::failureDetectionMs, [this, message] {
            input(message.entry, [message](Router& router, TimePoint now) {
                return router.queried(message.ticket, message.attempt, QueryState::Unreachable, now);
            });
        });
    if (fault == Fault::LoseRequest)
        return;
    const bool late = fault == Fault::Late || fault == Fault::LateAfterFailure;
    after(late ? detail::lateDelayMs : detail::latencyMs, [this, message, fault] { runQuery(message, fault); });
}

inline void World::runQuery(const Message& message, std::optional<Fault> fault)
{
    FakeWorker& worker = m_workers[message.worker];
    const std::pair id(message.key, message.attempt);
    QueryState state = QueryState::Unreachable;
    if (worker.reachable) {
        const auto found = worker.runs.find(id);
        if (found == worker.runs.end())
            worker.fenced.insert(id);
        state = found == worker.runs.end() ? QueryState::NotSeen
            : found->second.done           ? QueryState::Done
                                           : QueryState::Running;
    }
    if (fault == Fault::LoseReply)
        return;
    const auto deliver = [this, message, state, incarnation = worker.incarnation] {
        input(message.entry, [this, message, state, incarnation](Router& router, TimePoint now) {
            if (state == QueryState::Done)
                m_entries[message.entry].answers[{ message.ticket, message.attempt }] = "answer to " + message.key;
            if (state == QueryState::Done || state == QueryState::NotSeen)
                markEnded(message);
            return router.queried(message.ticket, message.attempt, state, now, incarnation);
        });
    };
    after(detail::latencyMs, deliver);
    if (fault == Fault::Twice)
        after(detail::lateDelayMs, deliver);
}

inline void World::sendResult(size_t entry, const CommitClaim& claim, const ClaimResult& result)
{
    input(entry, [claim, result](Router& router, TimePoint now) {
        return router.claimCommitted(claim.ticket, claim.attempt, result, now);
    });
}

inline void World::sendResult(size_t entry, const CommitOutcome& outcome, const OutcomeResult& result)
{
    input(entry, [outcome, result](Router& router, TimePoint now) {
        return router.outcomeCommitted(outcome.ticket, result, now);
    });
}

template <typename Commit, typename Result> void World::onCommit(size_t entry, const Commit& commit, Step step)
{
    const std::string key = m_entries[entry].keys[commit.ticket];
    const auto fault = triggerFaults(step, key);
    if constexpr (std::is_same_v<Commit, CommitClaim>) {
        if (key == detail::target)
            m_targetWorker = commit.worker;
        if (fault == Fault::Refuse) {
            after(detail::latencyMs, [=, this] { sendResult(entry, commit, { ClaimResult::Code::Refused }); });
            return;
        }
    }
    const bool failureReported
        = fault == Fault::LoseRequest || fault == Fault::LoseReply || fault == Fault::LateAfterFailure;
    if (failureReported)
        after(detail::failureDetectionMs, [=, this] { sendResult(entry, commit, { Result::Code::Failed }); });
    if (fault == Fault::LoseRequest)
        return;
    const bool late = fault == Fault::Late || fault == Fault::LateAfterFailure;
    after(late ? detail::lateDelayMs : detail::latencyMs, [=, this] {
        if (m_ledger.down) {
            after(detail::failureDetectionMs, [=, this] { sendResult(entry, commit, { Result::Code::Failed }); });
            return;
        }
        const Result result = m_ledger.apply(entry, key, commit);
        if (fault == Fault::LoseReply)
            return;
        after(detail::latencyMs, [=, this] { sendResult(entry, commit, result); });
        if (fault == Fault::Twice)
            after(detail::lateDelayMs, [=, this] { sendResult(entry, commit, result); });
    });
}

} // namespace turmericpier::routing::fakes
