#pragma once

#include "routing-fake-parts.h"

/// Simulation of several routers with fake workers, ledger and callers, and fault injection.
namespace turmericpier::routing::fakes {

/// One simulated run with six requests, three entries, three workers, and two rounds of a grant change and a worker
/// list change. Callers use the first entry that has not crashed.
class World {
public:
    World(const Variant& variant, std::vector<Injection> plan);
    /// Runs the simulation to its end and returns the violated invariants.
    std::vector<std::string> run();

    const std::vector<bool>& fired() const { return m_fired; }
    /// Outcome of the target request in the ledger; Unknown if there is none.
    Outcome targetOutcome() const;

private:
    struct Entry {
        std::unique_ptr<Router> router;
        bool crashed = false;
        TimePoint pausedUntil;
        std::map<Ticket, std::string> keys;
        std::map<Ticket, int> replies;
        std::map<std::pair<Ticket, uint32_t>, std::string> answers;
        std::map<WorkerId, Grant> grants; ///< As delivered to the entry.
        std::set<WorkerId> acceptingWorkers; ///< Workers listed and not leaving, as delivered to the entry.
        /// Attempts in flight, as known to the entry.
        std::map<WorkerId, std::set<std::pair<Ticket, uint32_t>>> inFlight;
    };
    using Event = std::function<void()>;
    using Input = std::function<Actions(Router&, TimePoint)>;

    void after(int64_t milliseconds, Event event);
    void advanceTo(int64_t milliseconds);
    void input(size_t entry, Input input);
    void carryOut(size_t entry, const Action& action);
    void onDispatch(size_t entry, const Dispatch& dispatch);
    void onQuery(size_t entry, const QueryWorker& query);
    void onReply(size_t entry, const Reply& reply);
    template <typename Commit, typename Result> void onCommit(size_t entry, const Commit& commit, Step step);
    void sendResult(size_t entry, const CommitClaim& claim, const ClaimResult& result);
    void sendResult(size_t entry, const CommitOutcome& outcome, const OutcomeResult& result);

    void execute(const Message& message);
    void finishRun(const WorkerId& id, Incarnation incarnation, const std::string& key, uint32_t attempt);
    void answer(const Message& message);
    void deliverAnswer(const Message& message);
    void fail(const Message& message, Outcome outcome, const std::string& reason, int64_t delay);
    void runQuery(const Message& message, std::optional<Fault> fault);
    void markEnded(const Message& message);
    void disconnect(FakeWorker& worker);
    void restart(const WorkerId& id);

    std::optional<Fault> triggerFaults(Step step, const std::string& key);
    void applyStateFault(Fault fault);
    void submit(size_t entry, const std::string& key);
    void pushGrants(size_t entry);
    void pushWorkers();
    void changeGrant(const std::function<void(Grant&)>& change);
    void check();
    void checkKey(const std::string& key);
    bool isIdle() const;
    bool hasLeakedSlot() const;
    void addViolation(const std::string& text) { m_violations.push_back(text); }

    Variant m_variant;
    std::vector<Injection> m_plan;
    std::vector<bool> m_fired;
    std::map<Step, int> m_occurrences;
    TimePoint m_now { std::chrono::seconds(1) };
    std::multimap<TimePoint, Event> m_events;
    std::array<Entry, entryCount> m_entries;
    std::map<WorkerId, FakeWorker> m_workers;
    std::array<std::map<WorkerId, Grant>, entryCount> m_grants;
    FakeLedger m_ledger;
    WorkerId m_targetWorker { "w0" };
    uint64_t m_nextTicket = 0;
    bool m_answerLost = false;
    bool m_lastKeysSent = false;
    size_t m_active = 0; ///< Index of the entry that callers use.
    std::map<std::string, std::set<WorkerId>> m_runningOn;
    std::map<std::string, int> m_executions;
    std::vector<std::string> m_violations;
};

namespace detail {
    inline const ServiceId service("till");
    inline const std::string target("p/r/target");
    inline const std::array firstKeys { std::string("p/r/b"), std::string("p/r/c") };
    /// Submitted after the reply to the target: detects slots that are reassigned while still in use.
    inline const std::array lastKeys { std::string("p/r/x"), std::string("p/r/y"), std::string("p/r/z") };
    constexpr int64_t latencyMs = 1;
    constexpr int64_t failureDetectionMs = 10;
    constexpr int64_t lateDelayMs = 60;
    constexpr int64_t runTimeMs = 5;
    constexpr int64_t requestTimeoutMs = 300; // From submit to deadline.
    constexpr int64_t tickIntervalMs = 10;
    constexpr int64_t resolveGraceMs = 100;
}

inline World::World(const Variant& variant, std::vector<Injection> plan)
    : m_variant(variant)
    , m_plan(std::move(plan))
    , m_fired(m_plan.size())
{
    for (size_t i = 0; i < m_entries.size(); ++i) {
        RouterOptions options { .self = InstanceId("e" + std::to_string(i)),
            .dataCentre = DataCentreId("d"),
            .region = RegionId("r"),
            .seed = i + 1,
            .resolveGrace = std::chrono::milliseconds(detail::resolveGraceMs) };
        if (variant.hedge)
            options.mayHedge = [](const Request&) { return true; };
        if (variant.claimRepeatable)
            options.mustClaim = [](const Request&) { return true; };
        m_entries[i].router = std::make_unique<Router>(options);
        m_entries[i].router->setServices({ { detail::service } });
        for (const char* id : { "w0", "w1", "w2" })
            m_grants[i][WorkerId(id)] = { WorkerId(id), Epoch { 1 }, 1, 8, m_now + std::chrono::seconds(600) };
    }
    for (const char* id : { "w0", "w1", "w2" })
        m_workers[WorkerId(id)].listed = std::string(id) != "w2"; // w2 is added by the worker list change.
}

inline void World::after(int64_t milliseconds, Event event)
{
    m_events.emplace(m_now + std::chrono::milliseconds(milliseconds), std::move(event));
}

inline void World::advanceTo(int64_t milliseconds)
{
    const TimePoint end { std::chrono::seconds(1) + std::chrono::milliseconds(milliseconds) };
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto first = m_events.begin();
        m_now = std::max(m_now, first->first);
        const Event event = std::move(first->second);
        m_events.erase(first);
        event();
    }
    m_now = end;
    for (size_t i = 0; i < m_entries.size(); ++i)
        if (m_entries[i].pausedUntil <= m_now)
            input(i, [](Router& router, TimePoint now) { return router.tick(now); });
}

inline std::optional<Fault> World::triggerFaults(Step step, const std::string& key)
{
    constexpr int64_t repeatDelayMs = 15;
    if (key != detail::target)
        return {};
    const int occurrence = ++m_occurrences[step];
    std::optional<Fault> message;
    for (size_t i = 0; i < m_plan.size(); ++i) {
        if (m_plan[i].step != step || m_plan[i].occurrence != occurrence || m_fired[i])
            continue;
        m_fired[i] = true;
        if (m_plan[i].fault < Fault::WorkerRestarts)
            message = m_plan[i].fault;
        else
            for (int64_t at = 0; at <= (m_plan[i].again ? repeatDelayMs : 0); at += repeatDelayMs)
                after(at, [this, fault = m_plan[i].fault] { applyStateFault(fault); });
    }
    return message;
}

inline void World::submit(size_t entry, const std::string& key)
{
    const auto fault = triggerFaults(Step::Submit, key);
    const auto send = [this, entry, key] {
        if (m_entries[entry].crashed)
            return submit(m_active, key);
        const Ticket ticket { ++m_nextTicket };
        m_entries[entry].keys[ticket] = key;
        const TimePoint deadline = m_now + std::chrono::milliseconds(detail::requestTimeoutMs);
        input(entry, [this, ticket, key, deadline](Router& router, TimePoint now) {
            return router.submit(ticket, { key, detail::service, m_variant.nonRepeatable, deadline }, now);
        });
    };
    const bool late = fault == Fault::Late || fault == Fault::LoseRequest; // The caller resends a lost call.
    after(late ? detail::lateDelayMs : 0, send);
    if (fault == Fault::Twice)
        after(0, send);
}

inline void World::onReply(size_t entry, const Reply& reply)
{
    Entry& from = m_entries[entry];
    const std::string key = from.keys[reply.ticket];
    if (++from.replies[reply.ticket] > 1)
        addViolation("second reply to one caller");
    if (reply.status.ok() && from.answers[{ reply.answeredTicket, reply.answeredAttempt }] != "answer to " + key)
        addViolation("reply without the caller's own answer");
    const auto record = m_ledger.outcomes.find(key);
    const bool ended = record != m_ledger.outcomes.end();
    const Outcome reported = reply.status.ok() ? Outcome::Ran : detailsOf(reply.status).outcome;
    if (reported != Outcome::Unknown && (!ended || record->second.outcome.outcome != reported))
        addViolation("reply differs from the ledger for " + key);
    if (reported == Outcome::Unknown && !ended && !m_ledger.claims.contains(key))
        addViolation("reply before any outcome of " + key);
    if (key == detail::target && !std::exchange(m_lastKeysSent, true))
        for (const std::string& last : detail::lastKeys)
            after(detail::latencyMs, [this, &last] { submit(m_active, last); });
    if (triggerFaults(Step::Reply, key) == Fault::LoseRequest)
        after(detail::failureDetectionMs, [this, key] { submit(std::min(m_active + 1, entryCount - 1), key); });
}

inline void World::pushGrants(size_t entry)
{
    std::vector<Grant> grants;
    for (const auto& [id, grant] : m_grants[entry])
        grants.push_back(grant);
    input(entry, [this, entry, grants](Router& router, TimePoint now) {
        for (const Grant& grant : grants)
            m_entries[entry].grants[grant.worker] = grant;
        return router.setGrants(grants, now);
    });
}

inline void World::pushWorkers()
{
    std::vector<WorkerInfo> infos;
    for (const auto& [id, worker] : m_workers)
        if (worker.listed)
            infos.push_back(
                { id, DataCentreId("d"), RegionId("r"), worker.leaving, { detail::service }, worker.incarnation });
    for (size_t entry = 0; entry < m_entries.size(); ++entry) {
        input(entry, [this, entry, infos](Router& router, TimePoint now) {
            m_entries[entry].acceptingWorkers.clear();
            for (const WorkerInfo& info : infos)
                if (!info.leaving)
                    m_entries[entry].acceptingWorkers.insert(info.worker);
            return router.setWorkers(infos, now);
        });
    }
}

inline void World::changeGrant(const std::function<void(Grant&)>& change)
{
    change(m_grants[m_active][m_targetWorker]);
    pushGrants(m_active);
}

/// Breaks the connections of all requests that the worker is running.
inline void World::disconnect(FakeWorker& worker)
{
    for (auto& [id, run] : worker.runs)
        for (const Message& message : std::exchange(run.waiters, {}))
            fail(message, Outcome::Unknown, "CONNECTION_LOST", detail::failureDetectionMs);
}

inline void World::restart(const WorkerId& id)
{
    FakeWorker& worker = m_workers[id];
    disconnect(worker);
    const Incarnation next = worker.incarnation.next();
    worker = FakeWorker { .incarnation = next, .listed = worker.listed, .leaving = worker.leaving };
    for (auto& [key, workers] : m_runningOn)
        workers.erase(id);
    constexpr int64_t workerListDelayMs = 30;
    after(workerListDelayMs, [this] { pushWorkers(); });
}

inline void World::applyStateFault(Fault fault)
{
    constexpr int64_t stateFaultMs = 100;
    FakeWorker& worker = m_workers[m_targetWorker];
    switch (fault) {
    case Fault::WorkerRestarts:
        return restart(m_targetWorker);
    case Fault::WorkerVanishes:
        worker.reachable = false;
        worker.listed = false;
        disconnect(worker);
        return after(stateFaultMs / 2, [this] { pushWorkers(); });
    case Fault::WorkerRefusesAll:
        worker.refusesAll = true;
        return;
    case Fault::WorkerFailsAll:
        worker.failsAll = true;
        return;
    case Fault::EntryCrashes:
        if (m_active + 1 == entryCount)
            return;
        m_entries[m_active].crashed = true;
        for (const auto& [ticket, key] : m_entries[m_active++].keys)
            if (m_entries[m_active - 1].replies[ticket] == 0)
                after(detail::failureDetectionMs, [this, key = key] { submit(m_active, key); });
        return;
    case Fault::EntryPauses:
        m_entries[m_active].pausedUntil = m_now + std::chrono::milliseconds(stateFaultMs * 4);
        return;
    case Fault::CallerCancels:
        for (const auto& [ticket, key] : m_entries[m_active].keys)
            if (key == detail::target)
                input(m_active,
                    [ticket = ticket](Router& router, TimePoint now) { return router.cancelled(ticket, now); });
        return;
    case Fault::CallerResends:
        return submit(m_active, detail::target);
    case Fault::GrantShrinks:
        changeGrant([](Grant& grant) { grant.slots = 0; });
        return after(stateFaultMs, [this] { changeGrant([](Grant& grant) { grant.slots = 1; }); });
    case Fault::GrantMoves:
        changeGrant([](Grant& grant) { grant.epoch = grant.epoch.next(); });
        worker.epochFence[m_active] = m_grants[m_active][m_targetWorker].epoch;
        return;
    case Fault::GrantExpires:
        changeGrant([this](Grant& grant) { grant.expires = m_now; });
        return after(stateFaultMs,
            [this] { changeGrant([this](Grant& grant) { grant.expires = m_now + std::chrono::seconds(600); }); });
    case Fault::WorkerLeaves:
        worker.leaving = true;
        return pushWorkers();
    case Fault::WorkerUnlisted:
        worker.listed = false;
        pushWorkers();
        return after(stateFaultMs, [this, &worker] {
            worker.listed = true;
            pushWorkers();
        });
    case Fault::LedgerDown:
        m_ledger.down = true;
        return after(stateFaultMs, [this] { m_ledger.down = false; });
    default:
        return;
    }
}

inline bool World::isIdle() const
{
    return m_events.empty() && std::all_of(m_entries.begin(), m_entries.end(), [](const Entry& entry) {
        return entry.crashed || entry.router->isIdle();
    });
}

inline bool World::hasLeakedSlot() const
{
    for (const Entry& entry : m_entries)
        if (!entry.crashed)
            for (const GrantUse& use : entry.router->grantUse())
                if (use.inUse > 0 && m_workers.at(use.worker).reachable)
                    return true;
    return false;
}

inline std::vector<std::string> World::run()
{
    constexpr int64_t requestEndMs = 3'000;
    constexpr int64_t slotTimeoutMs = 30'000;
    pushWorkers();
    for (size_t entry = 0; entry < m_entries.size(); ++entry)
        pushGrants(entry);
    for (const std::string& key : detail::firstKeys)
        submit(m_active, key);
    after(4, [this] { submit(m_active, detail::target); });
    const auto change = [this](Step step, const Event& push) {
        const auto fault = triggerFaults(step, detail::target);
        const bool late = fault == Fault::LoseRequest || fault == Fault::Late; // The next update repeats a lost change.
        after(late ? detail::lateDelayMs : 0, push);
        if (fault == Fault::Twice)
            after(detail::latencyMs, push);
    };
    const auto grantChange = [this] { changeGrant([](Grant& grant) { grant.epoch = grant.epoch.next(); }); };
    for (const int64_t at : { 10, 60 }) {
        after(at, [=] { change(Step::GrantChange, grantChange); });
        after(at + 2, [=, this] {
            change(Step::WorkerList, [this] {
                FakeWorker& joining = m_workers[WorkerId("w2")];
                joining.listed = joining.reachable;
                pushWorkers();
            });
        });
    }
    int64_t at = 0;
    while (at < requestEndMs && !(isIdle() && at > 0))
        advanceTo(at += detail::tickIntervalMs);
    if (!isIdle())
        addViolation("a request did not end");
    while (at < slotTimeoutMs && hasLeakedSlot())
        advanceTo(at += detail::tickIntervalMs * 10);
    if (hasLeakedSlot())
        addViolation("a slot stays in use");
    check();
    return m_violations;
}

inline void World::check()
{
    for (const Entry& entry : m_entries)
        for (const auto& [ticket, key] : entry.keys)
            if (!entry.crashed && (!entry.replies.contains(ticket) || entry.replies.at(ticket) != 1))
                addViolation("a caller has no reply");
    for (const Entry& entry : m_entries)
        for (const auto& [ticket, key] : entry.keys)
            checkKey(key);
}

inline void World::checkKey(const std::string& key)
{
    // The ledger leader resolves claims without an outcome once the lease of their entry has ended.
    if (!m_ledger.outcomes.contains(key) && m_active > 0 && m_ledger.claims.contains(key))
        m_ledger.outcomes[key] = { 0, CommitOutcome { .outcome = Outcome::Unknown } };
    const auto record = m_ledger.outcomes.find(key);
    if (record == m_ledger.outcomes.end())
        return addViolation("no outcome of " + key);
    if (record->second.outcome.outcome == Outcome::Ran && m_executions[key] == 0)
        addViolation("RAN, but not executed: " + key);
    if (record->second.outcome.outcome == Outcome::NotRun && m_executions[key] > 0)
        addViolation("NOT_RUN, but executed: " + key);
}

inline Outcome World::targetOutcome() const
{
    const auto record = m_ledger.outcomes.find(detail::target);
    return record == m_ledger.outcomes.end() ? Outcome::Unknown : record->second.outcome.outcome;
}

} // namespace turmericpier::routing::fakes

#include "routing-fake-messages.h" // IWYU pragma: keep
