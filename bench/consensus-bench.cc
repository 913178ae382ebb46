#include "turmericpier/consensus/group.h"

#include "consensus/wal.h"

#include <benchmark/benchmark.h>
#include <condition_variable>
#include <mutex>
#include <unistd.h>

/// Measures the durable proposals per second of one voter, with group commit and with one sync for each proposal. The
/// folder is created in the working directory, because a temporary folder may be in memory.
namespace turmericpier::consensus {
namespace {

    constexpr size_t payloadBytes = 256; // about the size of a placement command

    /// A folder that is removed at the end of the benchmark.
    struct Folder {
        std::filesystem::path path;
        Folder()
        {
            std::string name = (std::filesystem::current_path() / "consensus-bench-XXXXXX").string();
            path = ::mkdtemp(name.data());
        }
        ~Folder() { std::filesystem::remove_all(path); }
    };

    /// Proposes entries to a single-voter group and counts the successful ones.
    class Runner {
    public:
        Runner()
        {
            GroupHooks hooks;
            hooks.send = [](const InstanceId&, const Message&) {};
            hooks.apply = [](Index, std::string_view) { return std::string(); };
            hooks.snapshot = [] { return std::string(); };
            hooks.restore = [](std::string_view) { return absl::OkStatus(); };
            GroupOptions options { .group = GroupId("bench"), .self = InstanceId("a") };
            options.voters = { options.self };
            options.folder = m_folder.path;
            m_group = Group::open(options, hooks, m_clock, m_metrics).value();
            m_group->start();
            while (m_answered == 0) { // until the group has a leader
                propose();
                waitUntilFewerOutstanding(1);
            }
        }
        ~Runner() { m_group->stop(); }

        void propose()
        {
            m_group->propose(std::string(payloadBytes, 'x'), [this](const absl::StatusOr<Applied>& result) {
                std::lock_guard lock(m_mutex);
                --m_outstanding;
                m_answered += result.ok() ? 1 : 0;
                m_changed.notify_one();
            });
            std::lock_guard lock(m_mutex);
            ++m_outstanding;
        }
        /// Waits until fewer than `limit` proposals are outstanding.
        void waitUntilFewerOutstanding(int64_t limit)
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return m_outstanding < limit; });
        }
        uint64_t answered()
        {
            std::lock_guard lock(m_mutex);
            return m_answered;
        }
        uint64_t syncs() { return m_metrics.counter("consensus_syncs_total").value(); }

    private:
        Folder m_folder;
        SteadyClock m_clock;
        Metrics m_metrics;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        int64_t m_outstanding = 0; // negative if a proposal completes before it is counted
        uint64_t m_answered = 0;
        std::unique_ptr<Group> m_group;
    };

    void groupCommit(benchmark::State& state)
    {
        Runner runner;
        const auto before = runner.answered();
        const auto syncsBefore = runner.syncs();
        for (auto _ : state) {
            runner.waitUntilFewerOutstanding(state.range(0));
            runner.propose();
        }
        runner.waitUntilFewerOutstanding(1);
        const auto answered = runner.answered() - before;
        state.SetItemsProcessed(static_cast<int64_t>(answered));
        state.counters["per_sync"] = static_cast<double>(answered) / static_cast<double>(runner.syncs() - syncsBefore);
    }
    // The argument is the maximum number of outstanding proposals; 1 means one sync for each proposal.
    BENCHMARK(groupCommit)->Arg(1)->Arg(16)->Arg(256)->Arg(2048)->UseRealTime()->MinTime(2);

    void oneSyncEach(benchmark::State& state)
    {
        Folder folder;
        Metrics metrics;
        auto wal = Wal::open({ .folder = folder.path }, metrics).value();
        uint64_t index = 0;
        for (auto _ : state) {
            LogEntry entry { Term { 1 }, Index { ++index }, EntryKind::Data, std::string(payloadBytes, 'x') };
            if (!wal->append({ Term { 1 } }, { std::move(entry) }).ok())
                state.SkipWithError("the disk failed");
        }
        state.SetItemsProcessed(state.iterations());
    }
    BENCHMARK(oneSyncEach)->UseRealTime()->MinTime(2);

} // namespace
} // namespace turmericpier::consensus

BENCHMARK_MAIN();
