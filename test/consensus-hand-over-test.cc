#include "turmericpier/consensus/hand-over.h"

#include "turmericpier/consensus/group.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <future>
#include <mutex>

using namespace turmericpier;
using namespace turmericpier::consensus;

namespace {
/// Replicas of one group in this process that send messages by direct calls.
class Replicas {
public:
    explicit Replicas(size_t count)
        : m_folder(std::filesystem::temp_directory_path() / ("hand-over-test-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(m_folder);
        for (size_t i = 0; i < count; ++i)
            m_ids.emplace_back("r" + std::to_string(i));
        for (size_t i = 0; i < count; ++i)
            open(i);
        for (auto& group : m_groups)
            group->start();
    }
    ~Replicas()
    {
        for (auto& group : m_groups)
            group->stop();
        std::filesystem::remove_all(m_folder);
    }

    /// Waits without a time limit until a replica leads, and returns its position.
    size_t leader() const
    {
        for (;;) {
            for (size_t i = 0; i < m_ids.size(); ++i) {
                if (isLeader[i])
                    return i;
            }
            std::this_thread::yield();
        }
    }
    Group& group(size_t i) { return *m_groups[i]; }
    std::vector<InstanceId> others(size_t i) const
    {
        auto others = m_ids;
        others.erase(others.begin() + static_cast<ptrdiff_t>(i));
        return others;
    }

    std::atomic<bool> isLeader[3] {};

private:
    void open(size_t i)
    {
        GroupOptions options {
            .group = GroupId("g"), .self = m_ids[i], .voters = m_ids, .folder = m_folder / m_ids[i].str()
        };
        options.seed = i + 1;
        GroupHooks hooks;
        hooks.send = [this, from = m_ids[i]](const InstanceId& to, Message message) {
            for (size_t j = 0; j < m_ids.size(); ++j) {
                if (m_ids[j] == to && j < m_groups.size())
                    m_groups[j]->receive(from, std::move(message));
            }
        };
        hooks.apply = [](Index, std::string_view) { return std::string(); };
        hooks.snapshot = [] { return std::string(); };
        hooks.restore = [](std::string_view) { return absl::OkStatus(); };
        hooks.roleChanged = [this, i](const RoleChange& change) { isLeader[i] = change.isLeader; };
        auto group = Group::open(options, std::move(hooks), m_clock, m_metrics);
        REQUIRE(group.ok());
        m_groups.push_back(std::move(*group));
    }

    const std::filesystem::path m_folder;
    SteadyClock m_clock;
    Metrics m_metrics;
    std::vector<InstanceId> m_ids;
    std::vector<std::unique_ptr<Group>> m_groups;
};
} // namespace

// Guards against a planned stop that leaves the group without a leader for an election timeout.
TEST_CASE("a leader transfers its leadership and a follower returns at once", "[consensus]")
{
    Replicas replicas(3);
    const auto leader = replicas.leader();
    const auto other = (leader + 1) % 3;
    CHECK(handOverLeadership(
        replicas.group(other), replicas.others(other), [&] { return replicas.isLeader[other].load(); }));
    // The transfer may time out on a slow machine. It must then return false, and the group must still have a leader.
    const bool isMoved = handOverLeadership(
        replicas.group(leader), replicas.others(leader), [&] { return replicas.isLeader[leader].load(); });
    CHECK((isMoved || replicas.isLeader[leader]));
    replicas.leader();
}

// Guards against a stop that hangs because there is no other replica.
TEST_CASE("a single replica keeps its leadership", "[consensus]")
{
    Replicas replicas(1);
    const auto leader = replicas.leader();
    CHECK_FALSE(handOverLeadership(
        replicas.group(leader), replicas.others(leader), [&] { return replicas.isLeader[leader].load(); }));
}
