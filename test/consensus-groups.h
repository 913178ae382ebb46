#pragma once

#include "turmericpier/base/error.h"
#include "turmericpier/consensus/group.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <set>
#include <shared_mutex>
#include <thread>
#include <unistd.h>

/// Replicas of one consensus group in the test process, with disks that refuse calls.
namespace turmericpier::consensus {

using namespace std::chrono_literals;

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path;
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "consensus-group-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

/// What the disk of a replica refuses.
struct DiskFaults {
    std::atomic<bool> writes = false;
    std::atomic<bool> partsOfWrites = false; ///< Writes are cut in the middle, and the rest is refused.
    std::atomic<bool> syncs = false;
    std::atomic<int> callsUntilRefusal = -1; ///< One write or sync is refused after this number; none if negative.
    std::atomic<bool> refusesOnlySnapshots = false; ///< Whether `callsUntilRefusal` counts calls for snapshots only.

    bool refusesCall(int file)
    {
        if (callsUntilRefusal < 0 || (refusesOnlySnapshots && !isSnapshot(file)))
            return false;
        return callsUntilRefusal-- == 0;
    }
    static bool isSnapshot(int file)
    {
        const auto path = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(file));
        return path.filename().string().starts_with("snapshot-");
    }
    ssize_t write(int file, const char* data, size_t size)
    {
        if (writes || refusesCall(file) || (partsOfWrites && size == 1))
            return errno = ENOSPC, -1;
        return ::write(file, data, partsOfWrites ? size / 2 : size);
    }
    int sync(int file)
    {
        if (syncs || refusesCall(file))
            return errno = EIO, -1;
        return ::fdatasync(file);
    }
};

/// Replicas in one process that send messages to each other by direct calls.
class Groups {
public:
    /// Opens a replica for each voter.
    explicit Groups(
        const std::vector<InstanceId>& voters, uint64_t snapshotEvery = 100'000, uint64_t snapshotBytes = UINT64_MAX)
        : m_voters(voters)
        , m_snapshotEvery(snapshotEvery)
        , m_snapshotBytes(snapshotBytes)
    {
        for (const auto& id : voters)
            open(id);
    }
    ~Groups()
    {
        for (auto& [id, replica] : m_replicas)
            stop(id);
    }

    void open(const InstanceId& id)
    {
        auto& replica = m_replicas[id];
        replica.data.clear();
        GroupOptions options;
        options.group = GroupId("test");
        options.self = id;
        options.voters = m_voters;
        options.folder = m_folder.path / id.str();
        options.snapshotEvery = m_snapshotEvery;
        options.snapshotBytes = m_snapshotBytes;
        options.write
            = [&replica](int file, const char* data, size_t size) { return replica.disk.write(file, data, size); };
        options.sync = [&replica](int file) { return replica.disk.sync(file); };
        GroupHooks hooks;
        hooks.send = [this, id](const InstanceId& to, Message message) {
            size_t bytes = message.snapshot ? message.snapshot->data.size() : 0;
            for (const auto& entry : message.entries)
                bytes += entry.data.size();
            if (bytes > 256 * 1024) // the limit of an append, far below the frame limit of 4 MiB
                oversized = true;
            std::shared_lock lock(m_mutex);
            const auto found = m_running.find(to);
            if (found != m_running.end() && !m_isolated.contains(id) && !m_isolated.contains(to))
                found->second->receive(id, std::move(message));
        };
        hooks.apply = [this, &replica](Index, std::string_view data) {
            if (onApply)
                onApply();
            replica.data += std::string(data) + ";";
            return "did " + std::string(data);
        };
        hooks.snapshot = [&replica] { return replica.data; };
        hooks.restore = [&replica](std::string_view data) {
            replica.data = data;
            return absl::OkStatus();
        };
        hooks.roleChanged = [this, &replica](const RoleChange& change) {
            std::unique_lock lock(m_mutex);
            replica.role = change;
        };
        auto group = Group::open(options, hooks, m_clock, m_metrics);
        REQUIRE(group.ok());
        replica.group = std::move(*group);
        std::unique_lock lock(m_mutex);
        m_running[id] = replica.group.get();
        lock.unlock();
        replica.group->start();
    }

    void stop(const InstanceId& id)
    {
        std::unique_lock lock(m_mutex);
        m_running.erase(id);
        lock.unlock();
        m_replicas[id].group.reset();
    }

    void isolate(const InstanceId& id)
    {
        std::unique_lock lock(m_mutex);
        m_isolated.insert(id);
    }
    void heal()
    {
        std::unique_lock lock(m_mutex);
        m_isolated.clear();
    }

    /// Advances the clock by 5 ms at a time until `condition` holds; returns false after 20,000 rounds.
    bool advanceUntil(const std::function<bool()>& condition) { return pollUntil(condition, 5ms); }

    /// Waits with the clock paused, so that no election begins however slowly the disks sync.
    bool waitUntil(const std::function<bool()>& condition) { return pollUntil(condition, 0ms); }

    /// Calls `call` and returns the result that it passes to its callback.
    absl::StatusOr<Applied> wait(const std::function<void(Group::ProposalCallback)>& call)
    {
        auto result = std::make_shared<std::optional<absl::StatusOr<Applied>>>();
        auto mutex = std::make_shared<std::mutex>();
        call([result, mutex](absl::StatusOr<Applied> applied) {
            std::lock_guard lock(*mutex);
            *result = std::move(applied);
        });
        REQUIRE(advanceUntil([&] {
            std::lock_guard lock(*mutex);
            return result->has_value();
        }));
        return **result;
    }
    absl::StatusOr<Applied> propose(const InstanceId& id, const std::string& data)
    {
        return wait([&](Group::ProposalCallback done) { group(id).propose(data, done); });
    }
    absl::Status read(const InstanceId& id)
    {
        return wait([&](Group::ProposalCallback done) {
            group(id).read([done](const absl::Status& status) {
                done(status.ok() ? absl::StatusOr<Applied>(Applied {}) : absl::StatusOr<Applied>(status));
            });
        }).status();
    }

    InstanceId leader(const std::set<InstanceId>& except = {})
    {
        InstanceId found;
        REQUIRE(advanceUntil([&] {
            for (auto& [id, replica] : m_replicas) {
                if (replica.group && !except.contains(id) && field(id, "role") == "leader" && read(id).ok())
                    found = id;
            }
            return !found.empty();
        }));
        return found;
    }

    Counter& counter(std::string_view name) { return m_metrics.counter(name); }
    std::function<void()> onApply;
    std::atomic<bool> oversized = false;

    Group& group(const InstanceId& id) { return *m_replicas.at(id).group; }
    boost::json::value field(const InstanceId& id, std::string_view name)
    {
        return boost::json::parse(group(id).dump()).as_object().at(name);
    }
    uint64_t number(const InstanceId& id, std::string_view name) { return field(id, name).to_number<uint64_t>(); }
    bool caughtUp(const InstanceId& id, const InstanceId& with)
    {
        return number(id, "applied") == number(with, "applied");
    }
    DiskFaults& disk(const InstanceId& id) { return m_replicas.at(id).disk; }
    InstanceId leaderKnownTo(const InstanceId& id)
    {
        std::shared_lock lock(m_mutex);
        return m_replicas.at(id).role.leader;
    }
    bool isStopped(const InstanceId& id) { return !field(id, "failure").as_string().empty(); }
    /// Proposes an entry to the leader until it is committed, and waits until all replicas have applied it.
    void commitEverywhere(const std::string& data)
    {
        InstanceId by;
        REQUIRE(advanceUntil([&] {
            by = leader();
            return propose(by, data).ok();
        }));
        for (const auto& id : m_voters)
            REQUIRE(advanceUntil([&] { return caughtUp(id, by) && !isStopped(id); }));
    }
    const std::filesystem::path& folder() const { return m_folder.path; }
    /// Stops a replica and returns the data that it has applied.
    std::string stoppedData(const InstanceId& id)
    {
        stop(id);
        return m_replicas[id].data;
    }

private:
    bool pollUntil(const std::function<bool()>& condition, Duration advancePerRound)
    {
        for (int round = 0; round < 20'000; ++round) {
            if (condition())
                return true;
            m_clock.advance(advancePerRound);
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    struct Replica {
        DiskFaults disk;
        RoleChange role; ///< As reported last.
        std::string data;
        std::unique_ptr<Group> group;
    };

    const std::vector<InstanceId> m_voters;
    const uint64_t m_snapshotEvery;
    const uint64_t m_snapshotBytes;
    TemporaryFolder m_folder;
    ManualClock m_clock;
    Metrics m_metrics;
    std::shared_mutex m_mutex;
    std::map<InstanceId, Group*> m_running;
    std::set<InstanceId> m_isolated;
    std::map<InstanceId, Replica> m_replicas;
};

inline const InstanceId a("a"), b("b"), c("c"), d("d");

} // namespace turmericpier::consensus
