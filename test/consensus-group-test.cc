#include "turmericpier/consensus/group.h"

#include "turmericpier/base/error.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <fstream>
#include <set>
#include <shared_mutex>
#include <thread>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::consensus;
using namespace std::chrono_literals;

namespace {

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

/// Groups in one process that send to each other through memory.
class Groups {
public:
    ~Groups()
    {
        for (auto& [id, replica] : m_replicas)
            stop(id);
    }

    void open(const InstanceId& id, std::vector<InstanceId> voters, uint64_t snapshotEvery = 20'000)
    {
        auto& replica = m_replicas[id];
        replica.data.clear();
        GroupOptions options;
        options.group = GroupId("test");
        options.self = id;
        options.voters = std::move(voters);
        options.folder = m_folder.path / id.str();
        options.snapshotEvery = snapshotEvery;
        GroupHooks hooks;
        hooks.send = [this, id](const InstanceId& to, Message message) {
            std::shared_lock lock(m_mutex);
            const auto found = m_running.find(to);
            if (found != m_running.end() && !m_cut.contains(id) && !m_cut.contains(to))
                found->second->receive(id, std::move(message));
        };
        hooks.apply = [&replica](Index, std::string_view data) {
            replica.data += std::string(data) + ";";
            return "did " + std::string(data);
        };
        hooks.snapshot = [&replica] { return replica.data; };
        hooks.restore = [&replica](std::string_view data) {
            replica.data = data;
            return absl::OkStatus();
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

    void cut(const InstanceId& id)
    {
        std::unique_lock lock(m_mutex);
        m_cut.insert(id);
    }
    void heal()
    {
        std::unique_lock lock(m_mutex);
        m_cut.clear();
    }

    /// Advances the clock until `condition` holds; false after far more rounds than it ever takes.
    bool until(const std::function<bool()>& condition)
    {
        for (int round = 0; round < 20'000; ++round) {
            if (condition())
                return true;
            m_clock.advance(5ms);
            std::this_thread::sleep_for(1ms);
        }
        return false;
    }

    /// Waits for `call` to answer.
    absl::StatusOr<Applied> wait(const std::function<void(Group::Done)>& call)
    {
        auto result = std::make_shared<std::optional<absl::StatusOr<Applied>>>();
        auto mutex = std::make_shared<std::mutex>();
        call([result, mutex](absl::StatusOr<Applied> applied) {
            std::lock_guard lock(*mutex);
            *result = std::move(applied);
        });
        REQUIRE(until([&] {
            std::lock_guard lock(*mutex);
            return result->has_value();
        }));
        return **result;
    }
    absl::StatusOr<Applied> propose(const InstanceId& id, const std::string& data)
    {
        return wait([&](Group::Done done) { group(id).propose(data, done); });
    }
    absl::Status read(const InstanceId& id)
    {
        return wait([&](Group::Done done) {
            group(id).read([done](const absl::Status& status) {
                done(status.ok() ? absl::StatusOr<Applied>(Applied {}) : absl::StatusOr<Applied>(status));
            });
        }).status();
    }

    InstanceId leader(const std::set<InstanceId>& except = {})
    {
        InstanceId found;
        REQUIRE(until([&] {
            for (auto& [id, replica] : m_replicas) {
                if (replica.group && !except.contains(id) && field(id, "role") == "leader" && read(id).ok())
                    found = id;
            }
            return !found.empty();
        }));
        return found;
    }

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
    const std::filesystem::path& folder() const { return m_folder.path; }
    /// What a stopped replica applied.
    std::string stoppedData(const InstanceId& id)
    {
        stop(id);
        return m_replicas[id].data;
    }

private:
    struct Replica {
        std::string data;
        std::unique_ptr<Group> group;
    };

    TemporaryFolder m_folder;
    ManualClock m_clock;
    Metrics m_metrics;
    std::shared_mutex m_mutex;
    std::map<InstanceId, Group*> m_running;
    std::set<InstanceId> m_cut;
    std::map<InstanceId, Replica> m_replicas;
};

const InstanceId a("a"), b("b"), c("c"), d("d");

} // namespace

// Guards against a log that is lost or applied twice over a restart.
TEST_CASE("a single voter applies each entry once and keeps it over a restart", "[consensus]")
{
    Groups groups;
    groups.open(a, { a });
    groups.leader();
    const auto applied = groups.propose(a, "one");
    REQUIRE(applied.ok());
    CHECK(applied->result == "did one");
    REQUIRE(groups.propose(a, "two").ok());
    groups.stop(a);
    groups.open(a, { a });
    groups.leader();
    CHECK(groups.stoppedData(a) == "one;two;");
}

// Guards against a group that stays without a leader, or loses entries, when the leader is lost.
TEST_CASE("three replicas go on after the loss of the leader", "[consensus]")
{
    Groups groups;
    for (const auto& id : { a, b, c })
        groups.open(id, { a, b, c });
    const auto first = groups.leader();
    REQUIRE(groups.propose(first, "one").ok());
    groups.stop(first);
    const auto second = groups.leader();
    REQUIRE(groups.propose(second, "two").ok());
    groups.open(first, { a, b, c });
    REQUIRE(groups.until([&] { return groups.caughtUp(first, second); }));
    CHECK(groups.stoppedData(first) == "one;two;");
}
