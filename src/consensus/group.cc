#include "turmericpier/consensus/group.h"

#include "consensus/core-options.h"
#include "consensus/group-status.h"
#include "consensus/quorum-log.h"
#include "consensus/wal.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <atomic>

namespace turmericpier::consensus {

namespace {
    // Elections and heartbeats are delayed by at most a quarter of a heartbeat interval.
    constexpr int ticksPerHeartbeat = 4;
    // Delay before another snapshot is tried after one could not be written.
    constexpr std::chrono::milliseconds snapshotRetryDelay { 1'000 };
    // Delay before a stopped replica checks its disk again.
    constexpr std::chrono::milliseconds recoveryInterval { 250 };
} // namespace

struct Group::Impl {
    /// An entry in the log that has not been applied yet.
    struct Proposal {
        Term term;
        TimePoint proposedAt;
        ProposalCallback done;
    };
    Impl(GroupOptions groupOptions, GroupHooks groupHooks, const Clock& groupClock, Metrics& groupMetrics)
        : options(std::move(groupOptions))
        , hooks(std::move(groupHooks))
        , clock(groupClock)
        , metrics(groupMetrics)
        , core(std::make_unique<Core>(makeCoreOptions(options), StoredState {}, clock.now()))
        , quorumLog(options.group)
        , loop("consensus", clock)
        , snapshotLoop("snapshot", clock)
        , proposals(metrics.counter("consensus_proposals_total"))
        , syncs(metrics.counter("consensus_syncs_total"))
        , appliedEntries(metrics.counter("consensus_entries_applied_total"))
        , snapshots(metrics.counter("consensus_snapshots_total"))
        , snapshotFailures(metrics.counter("consensus_snapshot_failures_total"))
        , roleChanges(metrics.counter("consensus_role_changes_total"))
        , failures(metrics.counter("consensus_storage_failures_total"))
        , recoveries(metrics.counter("consensus_recoveries_total"))
        , refusedPosts(metrics.counter("consensus_ring_full_total"))
        , commitLatency(metrics.latency("consensus_commit_seconds"))
    {
        loop.setBatchEnd([this] { process(); });
        loop.postAfter(Duration::zero(), [this] { onTimer(); });
    }

    void onTimer()
    {
        if (failure.ok())
            core->tick(clock.now());
        else if (recoverAt && clock.now() >= *recoverAt)
            tryToRecover();
        loop.postAfter(options.heartbeat / ticksPerHeartbeat, [this] { onTimer(); });
    }

    void process()
    {
        while (failure.ok() && core->hasReady())
            handleReady(core->takeReady());
        if (failure.ok())
            finishSnapshot();
        if (failure.ok() && !core->fault().empty())
            fail(makeError(
                { absl::StatusCode::kInternal, Outcome::Unknown, "LOG_DIVERGED", "append", "" }, core->fault()));
        if (const auto report = core->takeReport(); report && failure.ok())
            quorumLog.write(*report, clock.now());
        reportRoleChange();
        updateStatus();
    }

    void handleReady(Ready ready)
    {
        for (auto& outgoing : ready.messages)
            hooks.send(outgoing.to, std::move(outgoing.message));
        if (auto status = persist(ready); !status.ok())
            return fail(status);
        for (auto& outgoing : ready.afterSync)
            hooks.send(outgoing.to, std::move(outgoing.message));
        if (ready.snapshot) {
            if (auto status = hooks.restore(ready.snapshot->data); !status.ok())
                return fail(status);
            applied = ready.snapshot->index;
        }
        for (auto& change : ready.changes)
            onChange(change);
        for (auto& entry : ready.committed)
            apply(entry);
        for (const auto& read : ready.reads)
            onRead(read);
        startSnapshotIfDue();
    }

    absl::Status persist(const Ready& ready)
    {
        hardState = ready.hardState;
        if (!ready.mustSync)
            return absl::OkStatus();
        syncs.increment();
        if (ready.snapshot) {
            auto status = wal->writeSnapshot(*ready.snapshot);
            if (status.ok())
                status = wal->activateSnapshot(ready.snapshot->index, ready.snapshot->term, hardState, ready.resetLog);
            if (!status.ok())
                return status;
        }
        if (auto status = wal->append(hardState, ready.entries); !status.ok())
            return status;
        if (!ready.entries.empty())
            core->onPersisted(ready.entries.back().index, ready.entries.back().term);
        return absl::OkStatus();
    }

    void apply(const LogEntry& entry)
    {
        std::string result;
        if (entry.kind == EntryKind::Data)
            result = hooks.apply(entry.index, entry.data);
        applied = entry.index;
        appliedBytes += entry.data.size();
        appliedEntries.increment();
        const auto found = pendingProposals.find(entry.index);
        if (found == pendingProposals.end())
            return;
        auto proposal = std::move(found->second);
        pendingProposals.erase(found);
        commitLatency.record(clock.now() - proposal.proposedAt);
        if (proposal.term == entry.term)
            proposal.done(Applied { entry.index, std::move(result) });
        else
            proposal.done(error(Outcome::NotRun, "REPLACED", "another entry was committed in its place"));
    }

    /// Registers `done` to be called once the entry at `index` with `term` is applied.
    void trackProposal(Index index, Term term, ProposalCallback done)
    {
        auto& proposal = pendingProposals[index];
        if (proposal.done) // leadership was lost and regained within one batch
            proposal.done(error(Outcome::Unknown, "LEADERSHIP_LOST", "another entry was appended at the same index"));
        proposal = { term, clock.now(), std::move(done) };
    }

    void onChange(const ChangeResult& change)
    {
        const auto found = pendingChanges.find(change.id);
        if (found == pendingChanges.end())
            return;
        auto done = std::move(found->second);
        pendingChanges.erase(found);
        if (change.index.ok())
            trackProposal(*change.index, change.term, std::move(done));
        else
            done(change.index.status());
    }

    void onRead(const ReadResult& read)
    {
        const auto found = pendingReads.find(read.id);
        if (found == pendingReads.end())
            return;
        auto done = std::move(found->second);
        pendingReads.erase(found);
        if (read.confirmed && applied >= read.index)
            done(absl::OkStatus());
        else
            done(error(Outcome::NotRun, "NOT_LEADER", "this replica is not the leader"));
    }

    /// Starts to write a snapshot if one is due. The file is written on a separate thread, because a snapshot of tens
    /// of MiB would block the log for as long as the disk takes.
    void startSnapshotIfDue()
    {
        const auto previous = core->snapshot() ? core->snapshot()->index : Index {};
        const bool due = snapshotRetryAt
            ? clock.now() >= *snapshotRetryAt
            : applied.value - previous.value >= options.snapshotEvery || appliedBytes >= options.snapshotBytes;
        if (snapshotBeingWritten || !due || applied == previous)
            return;
        appliedBytes = 0;
        snapshotRetryAt.reset();
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->index = applied;
        snapshot->term = *core->log().termAt(applied);
        snapshot->voters = core->log().votersAt(applied).voters;
        snapshot->data = hooks.snapshot();
        snapshotBeingWritten = snapshot;
        snapshotLoop.post([this, snapshot] {
            auto result = wal->writeSnapshot(*snapshot);
            std::lock_guard lock(mutex);
            snapshotWriteResult = std::move(result);
        });
    }

    /// Once the snapshot file is written, makes it the current snapshot and compacts the log.
    void finishSnapshot()
    {
        if (!snapshotBeingWritten)
            return;
        const auto result = takeSnapshotResult();
        if (!result)
            return;
        const auto snapshot = std::exchange(snapshotBeingWritten, nullptr);
        const auto previous = core->snapshot() ? core->snapshot()->index : Index {};
        if (result->ok() && snapshot->index <= previous) // a later one was received from the leader meanwhile
            return wal->discardSnapshot(snapshot->index);
        if (!result->ok())
            return onSnapshotFailure(*result);
        auto status = wal->activateSnapshot(snapshot->index, snapshot->term, hardState, false);
        if (status.ok())
            status = wal->compact(previous, hardState);
        if (!status.ok())
            return fail(status);
        core->onSnapshotTaken(snapshot);
        snapshots.increment();
    }

    /// The log still holds every entry, so the replica goes on and writes another snapshot later.
    void onSnapshotFailure(const absl::Status& status)
    {
        snapshotFailures.increment();
        snapshotRetryAt = clock.now() + snapshotRetryDelay;
        logError("consensus", "snapshot not written",
            { { "group", options.group.str() }, { "message", std::string(status.message()) } });
    }

    absl::Status error(Outcome outcome, const char* reason, std::string_view message) const
    {
        return makeError({ absl::StatusCode::kUnavailable, outcome, reason, "propose", options.self.str() }, message);
    }

    /// Fails all pending requests when leadership is lost or the replica stops.
    void failPendingRequests(const char* reason, std::string_view message)
    {
        for (auto& [index, proposal] : std::exchange(pendingProposals, {}))
            proposal.done(error(Outcome::Unknown, reason, message));
        for (auto& [id, done] : std::exchange(pendingChanges, {}))
            done(error(Outcome::NotRun, reason, message));
        for (auto& [id, done] : std::exchange(pendingReads, {}))
            done(error(Outcome::NotRun, reason, message));
    }

    void reportRoleChange()
    {
        const bool leads = failure.ok() && core->role() == Role::Leader;
        // A stopped replica hears of no change of the leader.
        const RoleChange role { leads, core->term(), failure.ok() ? core->leader() : InstanceId {} };
        if (role == lastRole)
            return;
        if (lastRole.isLeader && (!leads || core->term() != lastRole.term))
            failPendingRequests("LEADERSHIP_LOST", "leadership was lost before the entry was known to be committed");
        if (leads != lastRole.isLeader) {
            roleChanges.increment();
            logState("consensus", leads ? "became leader" : "lost leadership",
                { { "group", options.group.str() }, { "term", std::to_string(core->term().value) },
                    { "leader", core->leader().str() } });
        }
        lastRole = role;
        if (hooks.roleChanged)
            hooks.roleChanged(lastRole);
    }

    void fail(const absl::Status& status)
    {
        failures.increment();
        setFailure(status);
        updateStatus(); // Whoever gets one of the errors below finds the failure in the dump.
        failPendingRequests("REPLICA_STOPPED", failureMessage());
    }

    /// Only errors of the disk can end by themselves.
    void setFailure(const absl::Status& status)
    {
        if (failure.message() != status.message()) {
            logError("consensus", "replica stopped",
                { { "group", options.group.str() }, { "error", std::string(status.message()) } });
        }
        failure = status;
        recoverAt.reset();
        if (isDiskError(status))
            recoverAt = clock.now() + recoveryInterval;
    }

    WalOptions walOptions() const { return { .folder = options.folder, .write = options.write, .sync = options.sync }; }

    /// Reads the log and starts the consensus core from it, like a process that was restarted. What the state machine
    /// has applied is not applied again.
    absl::Status recover()
    {
        auto opened = Wal::open(walOptions(), metrics);
        if (!opened.ok())
            return opened.status();
        auto stored = (*opened)->takeStoredState();
        stored.voters = options.voters;
        if (stored.snapshot && stored.snapshot->index > applied) {
            if (auto status = hooks.restore(stored.snapshot->data); !status.ok())
                return status;
            applied = stored.snapshot->index;
        }
        const auto last = stored.entries.empty() ? stored.baseIndex : stored.entries.back().index;
        if (last < applied) {
            return makeError(
                { absl::StatusCode::kDataLoss, Outcome::Unknown, "LOG_TRUNCATED", "open", options.folder.string() },
                absl::StrCat("the log ends at entry ", last.value, ", entry ", applied.value, " was applied"));
        }
        stored.applied = applied;
        hardState = stored.hardState;
        wal = *std::move(opened);
        core = std::make_unique<Core>(makeCoreOptions(options), std::move(stored), clock.now());
        failure = absl::OkStatus();
        recoverAt.reset();
        return absl::OkStatus();
    }

    void tryToRecover()
    {
        // The thread that writes a snapshot uses the log.
        if (snapshotBeingWritten) {
            const auto result = takeSnapshotResult();
            if (!result)
                return;
            if (!result->ok())
                onSnapshotFailure(*result);
            snapshotBeingWritten.reset();
        }
        auto status = Wal::checkWritable(walOptions(), metrics);
        if (status.ok())
            status = recover();
        if (!status.ok())
            return setFailure(status);
        recoveries.increment();
        logState("consensus", "replica recovered",
            { { "group", options.group.str() }, { "applied", std::to_string(applied.value) } });
    }

    std::optional<absl::Status> takeSnapshotResult()
    {
        std::lock_guard lock(mutex);
        return std::exchange(snapshotWriteResult, std::nullopt);
    }

    void updateStatus()
    {
        leaseEnd.store(failure.ok() ? core->leaseEnd().sinceStart.count() : 0, std::memory_order_release);
        std::lock_guard lock(mutex);
        status.role = toString(core->role());
        status.term = core->term();
        status.leader = core->leader();
        status.commit = core->commit();
        status.applied = applied;
        status.last = core->log().last();
        status.snapshot = core->snapshot() ? core->snapshot()->index : Index {};
        status.voters = core->voters();
        status.matches.clear();
        status.signsOfLife.clear();
        for (const auto& [peer, progress] : core->progress()) {
            status.matches[peer] = progress.match;
            status.signsOfLife[peer] = core->lastSignOfLife(progress);
        }
        status.pending = pendingProposals.size();
        status.recovering = core->recovering();
        status.failure = failureMessage();
    }

    /// Runs `function(done)` on the event loop. Calls `done` with an error if the replica has stopped or its queue is
    /// full.
    template <typename Callback, typename Function> void submit(Callback done, Function function)
    {
        auto run = [this, done, function = std::move(function)]() mutable {
            if (failure.ok())
                function(std::move(done));
            else
                done(error(Outcome::NotRun, "REPLICA_STOPPED", failureMessage()));
        };
        if (!post(std::move(run)))
            done(error(Outcome::NotRun, "QUEUE_FULL", "the queue of the replica is full or closed"));
    }

    /// Runs `change(id)` on the event loop; `done` receives the result of the change of this id.
    template <typename Change> void submitChange(ProposalCallback done, Change change)
    {
        submit(std::move(done), [this, change = std::move(change)](ProposalCallback callback) {
            const auto id = nextId++;
            pendingChanges[id] = std::move(callback);
            change(id);
        });
    }

    std::string failureMessage() const { return std::string(failure.message()); }

    /// Queues `function` for the event loop. Returns false if the queue is full or closed.
    bool post(EventLoop::Function function)
    {
        if (loop.post(std::move(function)))
            return true;
        refusedPosts.increment();
        return false;
    }

    const GroupOptions options;
    const GroupHooks hooks;
    const Clock& clock;
    Metrics& metrics;
    std::unique_ptr<Wal> wal; ///< Null until the log was opened.
    std::unique_ptr<Core> core; ///< Never null; not used while the replica is stopped.
    QuorumLog quorumLog;
    EventLoop loop;
    EventLoop snapshotLoop; ///< Writes snapshot files.
    Counter& proposals;
    Counter& syncs;
    Counter& appliedEntries;
    Counter& snapshots;
    Counter& snapshotFailures;
    Counter& roleChanges;
    Counter& failures;
    Counter& recoveries;
    Counter& refusedPosts;
    std::atomic<size_t> receivedBytes { 0 }; ///< Of messages that wait for the event loop.
    Latency& commitLatency; ///< Time from a proposal until its entry is applied.
    absl::Status failure; ///< Error that stopped the replica, or OK.
    std::optional<TimePoint> recoverAt; ///< Time of the next try of a stopped replica to recover; none if it cannot.
    HardState hardState;
    Index applied;
    uint64_t appliedBytes = 0; ///< Bytes applied since the last snapshot was started.
    RoleChange lastRole;
    uint64_t nextId = 1;
    std::map<Index, Proposal> pendingProposals; ///< Proposals and membership changes that are in the log.
    std::map<uint64_t, ProposalCallback> pendingChanges; ///< Membership changes that are not in the log yet.
    std::map<uint64_t, std::function<void(absl::Status)>> pendingReads;
    std::shared_ptr<const Snapshot> snapshotBeingWritten; ///< May be null.
    std::optional<TimePoint> snapshotRetryAt; ///< Time of the next snapshot if the last one could not be written.
    mutable std::mutex mutex;
    std::atomic<int64_t> leaseEnd { 0 }; ///< End of the leader lease on `clock` in ns; 0 without a lease.
    std::optional<absl::Status> snapshotWriteResult; ///< Guarded by `mutex`.
    GroupStatus status; ///< Guarded by `mutex`.
};

Group::Group(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Group::~Group() { stop(); }

absl::StatusOr<std::unique_ptr<Group>> Group::open(
    GroupOptions options, GroupHooks hooks, const Clock& clock, Metrics& metrics)
{
    auto impl = std::make_unique<Impl>(std::move(options), std::move(hooks), clock, metrics);
    if (auto status = impl->recover(); !status.ok()) {
        if (detailsOf(status).reason != diskRefused)
            return status;
        impl->fail(status);
    }
    impl->updateStatus();
    return std::unique_ptr<Group>(new Group(std::move(impl)));
}

void Group::start()
{
    m_impl->snapshotLoop.start();
    m_impl->loop.start();
}

void Group::stop()
{
    m_impl->loop.stop();
    m_impl->snapshotLoop.stop();
    m_impl->failPendingRequests("REPLICA_STOPPED", "the replica was stopped");
}

void Group::propose(std::string data, ProposalCallback done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl, data = std::move(data)](ProposalCallback callback) mutable {
        impl.proposals.increment();
        const auto index = impl.core->propose(std::move(data));
        if (!index.ok())
            return callback(index.status());
        impl.trackProposal(*index, impl.core->term(), std::move(callback));
    });
}

void Group::read(std::function<void(absl::Status)> done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl](std::function<void(absl::Status)> callback) {
        const auto id = impl.nextId++;
        impl.pendingReads[id] = std::move(callback);
        impl.core->read(id, impl.clock.now());
    });
}

void Group::receive(InstanceId from, Message message)
{
    auto& impl = *m_impl;
    const auto bytes = sizeOf(message);
    if (impl.receivedBytes + bytes > impl.options.maxReceivedBytes)
        return impl.refusedPosts.increment();
    impl.receivedBytes += bytes;
    const bool queued = impl.post([&impl, bytes, from = std::move(from), message = std::move(message)]() mutable {
        impl.receivedBytes -= bytes;
        if (impl.failure.ok())
            impl.core->step(from, std::move(message), impl.clock.now());
    });
    impl.receivedBytes -= queued ? 0 : bytes;
}

void Group::addVoter(InstanceId voter, ProposalCallback done)
{
    m_impl->submitChange(std::move(done), [impl = m_impl.get(), voter = std::move(voter)](uint64_t id) {
        impl->core->addVoter(id, voter, impl->clock.now());
    });
}

void Group::cancelAddition()
{
    m_impl->post([impl = m_impl.get()] {
        if (impl->failure.ok())
            impl->core->cancelAddition();
    });
}

void Group::removeVoter(InstanceId voter, ProposalCallback done)
{
    m_impl->submitChange(std::move(done),
        [impl = m_impl.get(), voter = std::move(voter)](uint64_t id) { impl->core->removeVoter(id, voter); });
}

void Group::transferLeadership(InstanceId to)
{
    auto& impl = *m_impl;
    impl.post([&impl, to = std::move(to)] {
        if (impl.failure.ok())
            impl.core->transferLeadership(to, impl.clock.now());
    });
}

bool Group::holdsLease() const
{
    return m_impl->clock.now().sinceStart.count() < m_impl->leaseEnd.load(std::memory_order_acquire);
}

std::vector<Group::Voter> Group::voters() const
{
    const auto now = m_impl->clock.now();
    std::lock_guard lock(m_impl->mutex);
    const auto& status = m_impl->status;
    std::vector<Voter> voters;
    for (const auto& id : status.voters) {
        const auto signOfLife = status.signsOfLife.find(id);
        voters.push_back({ id, signOfLife == status.signsOfLife.end() ? Duration::zero() : now - signOfLife->second });
    }
    return voters;
}

std::string Group::dump() const
{
    std::lock_guard lock(m_impl->mutex);
    return describe(m_impl->options, m_impl->status);
}

} // namespace turmericpier::consensus
