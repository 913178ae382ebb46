#pragma once

#include "consensus/core.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <catch2/catch.hpp>
#include <set>

/// Runs several cores on a simulated network with simulated disks and checks the safety properties of Raft.
namespace turmericpier::consensus {

using namespace std::chrono_literals;

/// Probabilities and limits of the faults that a network injects.
struct Faults {
    double drop = 0; ///< Probability for each message.
    double duplicate = 0; ///< Probability for each message.
    Duration maxDelay = 2ms; ///< Messages are delayed by a random time up to this and may be reordered.
    double crash = 0; ///< Probability for each stage of each Ready.
};

/// Stages of the handling of a Ready after which a replica can be killed.
enum class Stage { Taken, Sent, Synced, Acknowledged };

/// A simulated replica with its state machine and disk.
struct Replica {
    std::unique_ptr<Core> core; ///< Null while down.
    bool paused = false;
    std::vector<std::string> applied; ///< The state machine: the data entries in the order of the log.
    Index appliedIndex;
    // Contents of the disk.
    HardState hardState { .recovering = true };
    std::shared_ptr<const Snapshot> snapshot;
    MemoryLog log;
};

/// The replicas, the messages in transit and the simulated time.
class Network {
public:
    Network(uint64_t seed, std::vector<InstanceId> voters, Duration timeoutMin = 1s, Duration timeoutMax = 2s)
        : random(seed)
        , electionTimeoutMin(timeoutMin)
        , electionTimeoutMax(timeoutMax)
        , m_voters(std::move(voters))
    {
        for (const auto& id : m_voters)
            start(id);
    }

    void start(const InstanceId& id)
    {
        auto& replica = replicas[id];
        StoredState stored { replica.hardState, replica.snapshot, replica.log.base(), replica.log.baseTerm(),
            replica.log.slice(replica.log.base().next(), SIZE_MAX), m_voters };
        CoreOptions options {
            .self = id, .preferredLeaders = preferred, .seed = random(), .incarnation = random() | 1
        };
        options.appendBytes = appendBytes;
        options.snapshotChunkBytes = 64;
        options.inflightBytes = 4 * appendBytes;
        options.servesByLease = servesByLease;
        options.electionTimeoutMin = electionTimeoutMin;
        options.electionTimeoutMax = electionTimeoutMax;
        replica.paused = false;
        replica.applied.clear();
        replica.appliedIndex = {};
        if (replica.snapshot)
            restore(replica, *replica.snapshot);
        replica.core = std::make_unique<Core>(options, std::move(stored), now);
    }
    void crash(const InstanceId& id) { replicas[id].core.reset(); }
    /// Restarts a replica with an empty disk.
    void wipe(const InstanceId& id)
    {
        replicas[id] = Replica {};
        start(id);
    }
    void isolate(const InstanceId& id) { isolated.insert(id); }

    /// Advances the time by `duration` in steps of 5 ms.
    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end;)
            step();
    }
    bool runUntil(const std::function<bool()>& condition, Duration limit = 60s)
    {
        for (const auto end = now + limit; now < end; step()) {
            if (condition())
                return true;
        }
        return condition();
    }
    void step()
    {
        now = now + 5ms;
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            auto [to, from, message] = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            deliver(from, to, std::move(message));
        }
        for (auto& [id, replica] : replicas) {
            if (replica.core && !replica.paused) {
                replica.core->tick(now);
                processReady(id);
            }
        }
        if (++m_steps % 20 == 0)
            checkLogMatching();
    }

    /// Returns the leader of the highest term among the running replicas that are not isolated; empty if there is none.
    InstanceId leader() const
    {
        InstanceId found;
        Term term;
        for (const auto& [id, replica] : replicas) {
            if (replica.core && replica.core->role() == Role::Leader && replica.core->term() > term
                && !isolated.contains(id) && !replica.paused) {
                found = id;
                term = replica.core->term();
            }
        }
        return found;
    }
    InstanceId waitForLeader()
    {
        REQUIRE(runUntil([this] {
            const auto id = leader();
            return !id.empty() && core(id).log().termAt(core(id).commit()) == core(id).term();
        }));
        return leader();
    }
    Core& core(const InstanceId& id) { return *replicas.at(id).core; }
    absl::StatusOr<Index> propose(const InstanceId& id)
    {
        auto index = core(id).propose(absl::StrCat("p", ++m_proposals));
        processReady(id);
        return index;
    }
    /// Proposes `count` entries to the leader and waits until it has applied them; starts over if leadership is lost.
    void commitEntries(int count)
    {
        for (bool done = false; !done;) {
            const auto id = waitForLeader();
            const auto term = core(id).term();
            const auto leads = [&] { return leader() == id && core(id).term() == term; };
            Index last;
            for (int proposed = 0; proposed < count && leads();) {
                const auto index = propose(id);
                proposed += index.ok() ? 1 : 0;
                last = index.ok() ? *index : last;
                if (!index.ok()) // leadership is being transferred
                    run(10ms);
            }
            REQUIRE(runUntil([&] { return !leads() || replicas[id].appliedIndex >= last; }));
            done = leads();
        }
    }
    void read(const InstanceId& id)
    {
        m_minReadIndex[++m_reads] = lastCommitted();
        core(id).read(m_reads, now);
        processReady(id);
    }
    /// Requests a membership change and returns the key of its result in `changes`.
    uint64_t change(const InstanceId& id, const InstanceId& voter, bool add)
    {
        const auto number = ++m_changes;
        if (add)
            core(id).addVoter(number, voter, now);
        else
            core(id).removeVoter(number, voter);
        processReady(id);
        return number;
    }
    void cancelAddition(const InstanceId& id)
    {
        core(id).cancelAddition();
        processReady(id);
    }
    /// True if every set of voters that any replica knows keeps a majority with intact disks when `id` loses its disk.
    /// No algorithm tolerates more losses.
    bool canLoseDisk(const InstanceId& id)
    {
        const auto keepsMajority = [&](const std::set<InstanceId>& voters) {
            const auto intact = std::ranges::count_if(
                voters, [&](const InstanceId& voter) { return voter != id && !replicas[voter].hardState.recovering; });
            return voters.empty() || 2 * static_cast<size_t>(intact) > voters.size();
        };
        return std::ranges::all_of(replicas, [&](const auto& item) {
            return keepsMajority(knownVoters(item.second, false)) && keepsMajority(knownVoters(item.second, true));
        });
    }
    /// True if any voter lost its disk and has not caught up yet.
    bool anyVoterRecovering()
    {
        return std::ranges::any_of(replicas, [&](const auto& item) {
            return std::ranges::any_of(knownVoters(item.second, true),
                [&](const InstanceId& voter) { return replicas[voter].hardState.recovering; });
        });
    }
    Index lastCommitted() const { return m_committed.empty() ? Index {} : m_committed.rbegin()->first; }
    /// True if every voter is running and has applied the whole log of the leader.
    bool converged()
    {
        const auto id = leader();
        if (id.empty())
            return false;
        for (const auto& voter : core(id).voters()) {
            const auto& replica = replicas[voter];
            if (!replica.core || replica.appliedIndex != core(id).log().last() || replica.core->recovering())
                return false;
        }
        return true;
    }

    std::mt19937_64 random;
    const Duration electionTimeoutMin;
    const Duration electionTimeoutMax;
    TimePoint now { 1s };
    Faults faults;
    std::vector<InstanceId> preferred;
    bool servesByLease = false; ///< Of replicas that are started from now on.
    size_t appendBytes = 400;
    uint64_t snapshotEvery = 40;
    std::map<InstanceId, Replica> replicas;
    std::set<InstanceId> isolated;
    std::map<uint64_t, absl::StatusOr<Index>> changes;
    size_t readsConfirmed = 0;
    size_t snapshotsInstalled = 0;
    std::map<MessageType, size_t> sent;
    /// If set, decides whether a replica is killed at a stage, instead of `faults.crash`.
    std::function<bool(const InstanceId&, Stage, const Ready&)> killAt;
    std::function<bool(const InstanceId& from, const InstanceId& to, const Message&)> dropIf;
    std::function<Duration(const InstanceId& from, const InstanceId& to)> extraDelay; ///< May be empty.

private:
    /// Returns the voters that a replica knows; with `peers` also those that a leader is adding.
    static std::set<InstanceId> knownVoters(const Replica& replica, bool peers)
    {
        const auto& log = replica.core ? replica.core->log() : replica.log;
        std::set<InstanceId> voters(log.voters().voters.begin(), log.voters().voters.end());
        if (replica.core && peers && !voters.empty()) {
            for (const auto& [peer, progress] : replica.core->progress())
                voters.insert(peer);
        }
        return voters;
    }
    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random) < probability; }

    void deliver(const InstanceId& from, const InstanceId& to, Message message)
    {
        auto& replica = replicas[to];
        if (!replica.core || isolated.contains(from) || isolated.contains(to))
            return;
        if (replica.paused) { // remains in the socket buffer
            m_queue.emplace(now + 5ms, std::tuple { to, from, std::move(message) });
            return;
        }
        replica.core->step(from, std::move(message), now);
        processReady(to);
    }

    void send(const InstanceId& from, std::vector<Outgoing> messages)
    {
        for (auto& out : messages) {
            ++sent[out.message.type];
            if (chance(faults.drop) || (dropIf && dropIf(from, out.to, out.message)))
                continue;
            for (int copies = chance(faults.duplicate) ? 2 : 1; copies > 0; --copies) {
                const Duration delay(std::uniform_int_distribution<int64_t>(0, faults.maxDelay.count())(random));
                const auto extra = extraDelay ? extraDelay(from, out.to) : Duration::zero();
                m_queue.emplace(now + delay + extra, std::tuple { out.to, from, out.message });
            }
        }
    }

    bool killIfChosen(const InstanceId& id, Stage stage, const Ready& ready)
    {
        if (!(killAt ? killAt(id, stage, ready) : chance(faults.crash)))
            return false;
        crash(id);
        return true;
    }

    void processReady(const InstanceId& id)
    {
        auto& replica = replicas[id];
        while (replica.core && replica.core->hasReady()) {
            auto ready = replica.core->takeReady();
            checkRole(id);
            // Only messages of a leader whose term is already durable may be sent before the sync.
            for (const auto& out : ready.messages) {
                const auto type = out.message.type;
                REQUIRE(out.message.term == replica.hardState.term);
                REQUIRE((type == MessageType::Append || type == MessageType::Heartbeat || type == MessageType::Snapshot
                    || type == MessageType::TimeoutNow));
            }
            if (killIfChosen(id, Stage::Taken, ready))
                return;
            send(id, std::move(ready.messages));
            if (killIfChosen(id, Stage::Sent, ready))
                return;
            persist(replica, ready);
            if (killIfChosen(id, Stage::Synced, ready))
                return;
            if (!ready.entries.empty())
                replica.core->onPersisted(ready.entries.back().index, ready.entries.back().term);
            send(id, std::move(ready.afterSync));
            if (killIfChosen(id, Stage::Acknowledged, ready))
                return;
            finish(replica, ready);
        }
    }

    static void persist(Replica& replica, const Ready& ready)
    {
        if (!ready.mustSync)
            return;
        replica.hardState = ready.hardState;
        if (ready.snapshot)
            replica.snapshot = ready.snapshot;
        if (ready.resetLog)
            replica.log.reset(ready.snapshot->index, ready.snapshot->term, {});
        for (const auto& entry : ready.entries) {
            replica.log.truncateAfter(Index { entry.index.value - 1 });
            REQUIRE(entry.index == replica.log.last().next());
            replica.log.append(entry);
        }
    }

    void finish(Replica& replica, const Ready& ready)
    {
        REQUIRE(replica.core->fault().empty());
        if (ready.snapshot) {
            restore(replica, *ready.snapshot);
            ++snapshotsInstalled;
        }
        for (const auto& change : ready.changes)
            changes.emplace(change.id, change.index);
        for (const auto& entry : ready.committed)
            apply(replica, entry);
        for (const auto& read : ready.reads) {
            if (!read.confirmed)
                continue;
            REQUIRE(read.index >= m_minReadIndex[read.id]); // linearizability: a read sees every earlier commit
            REQUIRE(replica.appliedIndex >= read.index);
            ++readsConfirmed;
        }
        const auto previous = replica.snapshot ? replica.snapshot->index : Index {};
        if (replica.appliedIndex.value < previous.value + snapshotEvery)
            return;
        auto& core = *replica.core;
        replica.snapshot
            = std::make_shared<Snapshot>(Snapshot { replica.appliedIndex, *core.log().termAt(replica.appliedIndex),
                core.log().votersAt(replica.appliedIndex).voters, absl::StrJoin(replica.applied, ",") });
        core.onSnapshotTaken(replica.snapshot);
        replica.log.compactTo(core.log().base());
    }

    static void restore(Replica& replica, const Snapshot& snapshot)
    {
        replica.applied = absl::StrSplit(snapshot.data, ',', absl::SkipEmpty());
        replica.appliedIndex = snapshot.index;
    }

    void apply(Replica& replica, const LogEntry& entry)
    {
        REQUIRE(entry.index == replica.appliedIndex.next());
        const auto [found, isNew] = m_committed.emplace(entry.index, entry);
        REQUIRE(found->second.term == entry.term); // committed entries are never replaced
        REQUIRE(found->second.data == entry.data);
        if (entry.kind == EntryKind::Data)
            replica.applied.push_back(entry.data);
        replica.appliedIndex = entry.index;
        if (isNew && entry.kind == EntryKind::Data)
            m_committedData.push_back(entry.data);
        REQUIRE(replica.applied.size() <= m_committedData.size()); // all replicas apply the same sequence
        REQUIRE(std::equal(replica.applied.begin(), replica.applied.end(), m_committedData.begin()));
    }

    void checkRole(const InstanceId& id)
    {
        const auto& core = *replicas[id].core;
        if (core.role() != Role::Leader)
            return;
        const auto [found, isNew] = m_leaders.emplace(core.term(), id);
        REQUIRE(found->second == id); // election safety: one leader per term
        if (!isNew)
            return;
        for (const auto& [index, entry] : m_committed) // leader completeness
            REQUIRE((index <= core.log().base() || core.log().termAt(index) == entry.term));
    }

    void checkLogMatching()
    {
        for (const auto& [id, one] : replicas) {
            for (const auto& [other, two] : replicas) {
                if (!(id < other) || !one.core || !two.core)
                    continue;
                const auto& left = one.core->log();
                const auto& right = two.core->log();
                bool same = false;
                const auto base = std::max(left.base(), right.base());
                for (auto index = std::min(left.last(), right.last()); index > base; index.value--) {
                    const bool equal = left.at(index).term == right.at(index).term;
                    REQUIRE((!same || equal)); // log matching: equal entries have equal predecessors
                    same = same || equal;
                    REQUIRE((!equal || left.at(index).data == right.at(index).data));
                }
            }
        }
    }

    const std::vector<InstanceId> m_voters;
    std::multimap<TimePoint, std::tuple<InstanceId, InstanceId, Message>> m_queue;
    std::map<Index, LogEntry> m_committed;
    std::vector<std::string> m_committedData;
    std::map<Term, InstanceId> m_leaders;
    std::map<uint64_t, Index> m_minReadIndex;
    uint64_t m_proposals = 0;
    uint64_t m_reads = 0;
    uint64_t m_changes = 0;
    uint64_t m_steps = 0;
};

} // namespace turmericpier::consensus
