#include "cell-live-workers.h"

#include <catch2/catch.hpp>
#include <random>

/// Tests that after any series of events everything that can run does so, without a further event.

using namespace turmericpier;
using namespace turmericpier::cell;
using namespace turmericpier::cell::test;

namespace {

constexpr int workerCount = 6;
constexpr int eventCount = 60;

/// A cell that is disturbed at random, from a seed.
class DisturbedCell : public LiveCell {
public:
    DisturbedCell(unsigned seed, bool advice)
        : LiveCell(config(1, 2, advice))
        , m_random(seed)
    {
        startResult = [this] {
            constexpr std::array refusals { OrderResult::NoRoom, OrderResult::Unhealthy, OrderResult::Superseded,
                OrderResult::NotSent };
            return m_isDisturbed && chance(10) ? refusals.at(m_random() % refusals.size()) : OrderResult::Accepted;
        };
        fails = [this](const std::string&, const StartOrder&) { return m_isDisturbed && chance(10); };
        activate();
        addLiveWorkers(workerCount, 16'000);
        live(milliseconds(500));
    }

    void disturb()
    {
        m_isDisturbed = true;
        for (int i = 0; i < eventCount; ++i) {
            disturbOnce();
            liveWithFailures(milliseconds(50 * (1 + m_random() % 20)));
        }
        m_isDisturbed = false;
    }
    /// Ends all disturbances. Nothing but ticks, heartbeats and answers follows.
    void calm()
    {
        commits = true;
        holdsLease = true;
        advisorAnswers = true;
        proxies = { "h1", "h2" };
        orderTime = milliseconds(0);
        for (auto& [id, worker] : workers)
            worker.isCutOff = false;
    }
    size_t submitted() const { return m_tasks; }

private:
    bool chance(unsigned percent) { return m_random() % 100 < percent; }

    std::string someWorker() { return "w" + std::to_string(1 + m_random() % workerCount); }

    void submitSome()
    {
        const auto tasks = static_cast<uint32_t>(1 + m_random() % (chance(20) ? 150 : 5));
        auto made = lasting(tasks, 10);
        if (chance(30))
            made->gang = true;
        else if (tasks <= workerCount && chance(50))
            made->max_per_worker = 1;
        m_tasks += tasks;
        submitJob(job(jobId(++m_jobs), std::move(made)));
        if (m_isDisturbed && !state.findJob(jobId(m_jobs)))
            m_tasks -= tasks;
    }

    void disturbOnce()
    {
        switch (m_random() % 9) {
        case 0:
        case 1:
            commits = holdsLease = true;
            return submitSome();
        case 2:
        case 3: {
            auto& worker = workers.at(someWorker());
            worker.isCutOff = !worker.isCutOff;
            return;
        }
        case 4: {
            auto leave = callFor(record::CallKind::Leave, "");
            leave->worker = std::make_unique<record::WorkerT>(*records.at(someWorker()));
            leader->handle(std::move(leave), [](const record::ReplyT&) {});
            return;
        }
        case 5:
            holdsLease = !holdsLease;
            return;
        case 6:
            proxies = chance(50) ? std::vector<std::string> {} : std::vector<std::string> { "h1" };
            return;
        case 7:
            advisorAnswers = !advisorAnswers;
            return;
        default:
            orderTime = milliseconds(m_random() % 400);
        }
    }

    /// Lets time pass while the log refuses some proposals.
    void liveWithFailures(milliseconds time)
    {
        constexpr milliseconds step { 10 };
        for (auto left = time; left.count() > 0; left -= step) {
            commits = false;
            live(step);
            for (auto proposals = std::exchange(log, {}); !proposals.empty(); proposals.pop_front()) {
                auto& [command, done] = proposals.front();
                if (chance(5)) {
                    done(refusal());
                    continue;
                }
                state.apply(*command);
                leader->applied(*command);
                done(absl::OkStatus());
            }
            commits = true;
            runPending();
        }
    }

    std::mt19937 m_random;
    bool m_isDisturbed = false;
    unsigned m_jobs = 0;
    size_t m_tasks = 0;
};

} // namespace

// Guards against a condition by which tasks are left out and whose end nothing follows.
TEST_CASE("after any events all tasks run without a further event", "[cell]")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        DisturbedCell cell(seed, seed % 2 == 0);
        cell.disturb();
        const auto before = cell.fallbackStarts();
        cell.calm();
        // Leases of cut off workers last 10 s; then a task that lasts has 9 s.
        CHECK(cell.liveUntil(milliseconds(20'000), [&] { return cell.running() == cell.submitted(); }));
        CHECK(before == 0);
        CHECK(cell.fallbackStarts() == 0);
    }
}
