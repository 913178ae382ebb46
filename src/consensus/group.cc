#include "turmericpier/consensus/group.h"

#include "consensus/core.h"
#include "consensus/wal.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <boost/json.hpp>
#include <random>

namespace turmericpier::consensus {

namespace {
    // Elections and heartbeats are late by at most this share of a heartbeat interval.
    constexpr int ticksPerHeartbeat = 4;

    CoreOptions coreOptions(const GroupOptions& options)
    {
        CoreOptions core;
        core.self = options.self;
        core.preferredLeaders = options.preferredLeaders;
        core.heartbeat = options.heartbeat;
        core.electionTimeoutMin = options.electionTimeoutMin;
        core.electionTimeoutMax = options.electionTimeoutMax;
        core.seed = options.seed;
        std::random_device device;
        core.incarnation = (uint64_t { device() } << 32 | device()) | 1; // 0 means none
        return core;
    }
} // namespace

struct Group::Impl {
    struct Proposal {
        Term term;
        TimePoint since;
        Done done;
    };
    /// What dump() shows; copied once per batch.
    struct Status {
        std::string role;
        Term term;
        InstanceId leader;
        Index commit;
        Index applied;
        Index last;
        Index snapshot;
        std::vector<InstanceId> voters;
        std::map<InstanceId, Index> matches;
        std::map<InstanceId, TimePoint> heard;
        size_t pending = 0;
        bool recovering = false;
        std::string failure;
    };

    Impl(GroupOptions groupOptions, GroupHooks groupHooks, const Clock& groupClock, Metrics& metrics,
        std::unique_ptr<Wal> groupWal, StoredState stored)
        : options(std::move(groupOptions))
        , hooks(std::move(groupHooks))
        , clock(groupClock)
        , wal(std::move(groupWal))
        , core(coreOptions(options), std::move(stored), clock.now())
        , loop("consensus", clock)
        , diskLoop("snapshot", clock)
        , proposals(metrics.counter("consensus_proposals_total"))
        , batches(metrics.counter("consensus_syncs_total"))
        , appliedEntries(metrics.counter("consensus_entries_applied_total"))
        , snapshots(metrics.counter("consensus_snapshots_total"))
        , roleChanges(metrics.counter("consensus_role_changes_total"))
        , refusedPosts(metrics.counter("consensus_ring_full_total"))
        , commitLatency(metrics.latency("consensus_commit_seconds"))
    {
        loop.setBatchEnd([this] { process(); });
        loop.postAfter(Duration::zero(), [this] { onTimer(); });
    }

    void onTimer()
    {
        if (failed.ok())
            core.tick(clock.now());
        loop.postAfter(options.heartbeat / ticksPerHeartbeat, [this] { onTimer(); });
    }

    void process()
    {
        while (failed.ok() && core.hasReady())
            handle(core.takeReady());
        if (failed.ok())
            finishSnapshot();
        if (failed.ok() && !core.fault().empty())
            fail(makeError(
                { absl::StatusCode::kInternal, Outcome::Unknown, "LOG_DIVERGED", "append", "" }, core.fault()));
        noteRole();
        updateStatus();
    }

    void handle(Ready ready)
    {
        for (auto& out : ready.messages)
            hooks.send(out.to, std::move(out.message));
        if (auto status = persist(ready); !status.ok())
            return fail(status);
        for (auto& out : ready.afterSync)
            hooks.send(out.to, std::move(out.message));
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
        takeSnapshot();
    }

    absl::Status persist(const Ready& ready)
    {
        hardState = ready.hardState;
        if (!ready.mustSync)
            return absl::OkStatus();
        batches.increment();
        if (ready.snapshot) {
            auto status = wal->writeSnapshot(*ready.snapshot);
            if (status.ok())
                status = wal->adoptSnapshot(ready.snapshot->index, ready.snapshot->term, hardState, ready.resetLog);
            if (!status.ok())
                return status;
        }
        if (auto status = wal->append(hardState, ready.entries); !status.ok())
            return status;
        if (!ready.entries.empty())
            core.persisted(ready.entries.back().index, ready.entries.back().term);
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
        const auto found = waiting.find(entry.index);
        if (found == waiting.end())
            return;
        auto proposal = std::move(found->second);
        waiting.erase(found);
        commitLatency.record(clock.now() - proposal.since);
        if (proposal.term == entry.term)
            proposal.done(Applied { entry.index, std::move(result) });
        else
            proposal.done(error(Outcome::NotRun, "REPLACED", "another entry was committed in its place"));
    }

    /// Answers `done` once the entry of `term` at `index` is applied.
    void await(Index index, Term term, Done done)
    {
        auto& proposal = waiting[index];
        if (proposal.done) // leadership was lost and won again within one batch
            proposal.done(error(Outcome::Unknown, "LEADERSHIP_LOST", "another entry took the index"));
        proposal = { term, clock.now(), std::move(done) };
    }

    void onChange(const ChangeResult& change)
    {
        const auto found = changes.find(change.id);
        if (found == changes.end())
            return;
        auto done = std::move(found->second);
        changes.erase(found);
        if (change.index.ok())
            await(*change.index, change.term, std::move(done));
        else
            done(change.index.status());
    }

    void onRead(const ReadResult& read)
    {
        const auto found = reads.find(read.id);
        if (found == reads.end())
            return;
        auto done = std::move(found->second);
        reads.erase(found);
        if (read.confirmed && applied >= read.index)
            done(absl::OkStatus());
        else
            done(error(Outcome::NotRun, "NOT_LEADER", "this replica does not lead"));
    }

    /// Starts to write a snapshot if one is due. The file is written on a thread of its own, because tens of MiB would
    /// hold up the log for as long as the disk takes.
    void takeSnapshot()
    {
        const auto previous = core.snapshot() ? core.snapshot()->index : Index {};
        const bool due
            = applied.value - previous.value >= options.snapshotEvery || appliedBytes >= options.snapshotBytes;
        if (writing || !due || applied == previous)
            return;
        appliedBytes = 0;
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->index = applied;
        snapshot->term = *core.log().termAt(applied);
        snapshot->voters = core.log().votersAt(applied).voters;
        snapshot->data = hooks.snapshot();
        writing = snapshot;
        diskLoop.post([this, snapshot] {
            auto result = wal->writeSnapshot(*snapshot);
            std::lock_guard lock(mutex);
            written = std::move(result);
        });
    }

    /// Puts a snapshot that was written in force and shortens the log.
    void finishSnapshot()
    {
        if (!writing)
            return;
        std::unique_lock lock(mutex);
        const auto result = std::exchange(written, std::nullopt);
        lock.unlock();
        if (!result)
            return;
        const auto snapshot = std::exchange(writing, nullptr);
        const auto previous = core.snapshot() ? core.snapshot()->index : Index {};
        if (result->ok() && snapshot->index <= previous) // the leader sent a later one meanwhile
            return wal->discardSnapshot(snapshot->index);
        auto status = *result;
        if (status.ok())
            status = wal->adoptSnapshot(snapshot->index, snapshot->term, hardState, false);
        if (status.ok())
            status = wal->compact(previous, hardState);
        if (!status.ok())
            return fail(status);
        core.snapshotTaken(snapshot);
        snapshots.increment();
    }

    absl::Status error(Outcome outcome, const char* reason, std::string_view message) const
    {
        return makeError({ absl::StatusCode::kUnavailable, outcome, reason, "propose", options.self.str() }, message);
    }

    /// Answers everything that waits, when leadership is lost or the replica stops.
    void abandon(const char* reason, std::string_view message)
    {
        for (auto& [index, proposal] : std::exchange(waiting, {}))
            proposal.done(error(Outcome::Unknown, reason, message));
        for (auto& [id, done] : std::exchange(changes, {}))
            done(error(Outcome::NotRun, reason, message));
        for (auto& [id, done] : std::exchange(reads, {}))
            done(error(Outcome::NotRun, reason, message));
    }

    void noteRole()
    {
        const bool leads = failed.ok() && core.role() == Role::Leader;
        if (leads == lastRole.isLeader && core.term() == lastRole.term && core.leader() == lastRole.leader)
            return;
        if (lastRole.isLeader && (!leads || core.term() != lastRole.term))
            abandon("LEADERSHIP_LOST", "leadership was lost before the entry was known to be committed");
        if (leads != lastRole.isLeader) {
            roleChanges.increment();
            logState("consensus", leads ? "became leader" : "lost leadership",
                { { "group", options.group.str() }, { "term", std::to_string(core.term().value) },
                    { "leader", core.leader().str() } });
        }
        lastRole = { leads, core.term(), failed.ok() ? core.leader() : InstanceId {} };
        if (hooks.roleChanged)
            hooks.roleChanged(lastRole);
    }

    void fail(const absl::Status& status)
    {
        failed = status;
        logError("consensus", "replica stopped",
            { { "group", options.group.str() }, { "error", std::string(status.message()) } });
        abandon("REPLICA_STOPPED", failure());
    }

    void updateStatus()
    {
        leaseEnd.store(failed.ok() ? core.leaseEnd().sinceStart.count() : 0, std::memory_order_release);
        std::lock_guard lock(mutex);
        status.role = toString(core.role());
        status.term = core.term();
        status.leader = core.leader();
        status.commit = core.commit();
        status.applied = applied;
        status.last = core.log().last();
        status.snapshot = core.snapshot() ? core.snapshot()->index : Index {};
        status.voters = core.voters();
        status.matches.clear();
        status.heard.clear();
        for (const auto& [peer, progress] : core.progress()) {
            status.matches[peer] = progress.match;
            status.heard[peer] = progress.lastHeard;
        }
        status.pending = waiting.size();
        status.recovering = core.recovering();
        status.failure = failure();
    }

    /// Runs `function(done)` on the loop. A replica that has stopped or is overloaded refuses.
    template <typename Callback, typename Function> void submit(Callback done, Function function)
    {
        auto run = [this, done, function = std::move(function)]() mutable {
            if (failed.ok())
                function(std::move(done));
            else
                done(error(Outcome::NotRun, "REPLICA_STOPPED", failure()));
        };
        if (!post(std::move(run)))
            done(error(Outcome::NotRun, "QUEUE_FULL", "the queue of the replica is full or closed"));
    }

    std::string failure() const { return std::string(failed.message()); }

    /// Runs `function` on the loop; returns false if it will not run.
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
    std::unique_ptr<Wal> wal;
    Core core;
    EventLoop loop;
    EventLoop diskLoop; ///< Writes snapshots.
    Counter& proposals;
    Counter& batches;
    Counter& appliedEntries;
    Counter& snapshots;
    Counter& roleChanges;
    Counter& refusedPosts;
    Latency& commitLatency; ///< From the proposal to its application.
    absl::Status failed;
    HardState hardState;
    Index applied;
    uint64_t appliedBytes = 0; ///< Since the last snapshot.
    RoleChange lastRole;
    uint64_t nextId = 1;
    std::map<Index, Proposal> waiting; ///< Proposals and voter changes in the log.
    std::map<uint64_t, Done> changes; ///< Voter changes that are not in the log yet.
    std::map<uint64_t, std::function<void(absl::Status)>> reads;
    std::shared_ptr<const Snapshot> writing; ///< The snapshot that is being written.
    mutable std::mutex mutex;
    std::atomic<int64_t> leaseEnd { 0 }; ///< On `clock`, in ns; 0 unless this replica leads.
    std::optional<absl::Status> written; ///< Result of writing it; guarded by `mutex`.
    Status status; ///< Guarded by `mutex`.
};

Group::Group(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Group::~Group() { stop(); }

absl::StatusOr<std::unique_ptr<Group>> Group::open(
    GroupOptions options, GroupHooks hooks, const Clock& clock, Metrics& metrics)
{
    auto wal = Wal::open({ .folder = options.folder }, metrics);
    if (!wal.ok())
        return wal.status();
    auto stored = (*wal)->takeStored();
    stored.voters = options.voters;
    const auto snapshot = stored.snapshot;
    const auto hardState = stored.hardState;
    auto impl = std::make_unique<Impl>(
        std::move(options), std::move(hooks), clock, metrics, std::move(*wal), std::move(stored));
    impl->hardState = hardState;
    if (snapshot) {
        if (auto status = impl->hooks.restore(snapshot->data); !status.ok())
            return status;
        impl->applied = snapshot->index;
    }
    impl->updateStatus();
    return std::unique_ptr<Group>(new Group(std::move(impl)));
}

void Group::start()
{
    m_impl->diskLoop.start();
    m_impl->loop.start();
}

void Group::stop()
{
    m_impl->loop.stop();
    m_impl->diskLoop.stop();
    m_impl->abandon("REPLICA_STOPPED", "the replica was stopped");
}

void Group::propose(std::string data, Done done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl, data = std::move(data)](Done callback) mutable {
        impl.proposals.increment();
        const auto index = impl.core.propose(std::move(data));
        if (!index.ok())
            return callback(index.status());
        impl.await(*index, impl.core.term(), std::move(callback));
    });
}

void Group::read(std::function<void(absl::Status)> done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl](std::function<void(absl::Status)> callback) {
        const auto id = impl.nextId++;
        impl.reads[id] = std::move(callback);
        impl.core.read(id, impl.clock.now());
    });
}

void Group::receive(InstanceId from, Message message)
{
    auto& impl = *m_impl;
    impl.post([&impl, from = std::move(from), message = std::move(message)]() mutable {
        if (impl.failed.ok())
            impl.core.step(from, std::move(message), impl.clock.now());
    });
}

void Group::addVoter(InstanceId voter, Done done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl, voter = std::move(voter)](Done callback) {
        const auto id = impl.nextId++;
        impl.changes[id] = std::move(callback);
        impl.core.addVoter(id, voter, impl.clock.now());
    });
}

void Group::removeVoter(InstanceId voter, Done done)
{
    auto& impl = *m_impl;
    impl.submit(std::move(done), [&impl, voter = std::move(voter)](Done callback) {
        const auto id = impl.nextId++;
        impl.changes[id] = std::move(callback);
        impl.core.removeVoter(id, voter);
    });
}

void Group::transferLeadership(InstanceId to)
{
    auto& impl = *m_impl;
    impl.post([&impl, to = std::move(to)] {
        if (impl.failed.ok())
            impl.core.transferLeadership(to, impl.clock.now());
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
        const auto heard = status.heard.find(id);
        voters.push_back({ id, heard == status.heard.end() ? Duration::zero() : now - heard->second });
    }
    return voters;
}

std::string Group::dump() const
{
    std::lock_guard lock(m_impl->mutex);
    const auto& status = m_impl->status;
    boost::json::object matches;
    for (const auto& [peer, match] : status.matches)
        matches[peer.str()] = match.value;
    boost::json::array voters;
    for (const auto& voter : status.voters)
        voters.emplace_back(voter.str());
    return boost::json::serialize(boost::json::object {
        { "group", m_impl->options.group.str() },
        { "self", m_impl->options.self.str() },
        { "role", status.role },
        { "term", status.term.value },
        { "leader", status.leader.str() },
        { "commit", status.commit.value },
        { "applied", status.applied.value },
        { "last", status.last.value },
        { "snapshot", status.snapshot.value },
        { "voters", std::move(voters) },
        { "matches", std::move(matches) },
        { "pending", status.pending },
        { "recovering", status.recovering },
        { "failure", status.failure },
    });
}

} // namespace turmericpier::consensus
