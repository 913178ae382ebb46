#include "turmericpier/base/event-loop.h"

#include <algorithm>

namespace turmericpier {

namespace {
    // A ManualClock does not wake the loop when it advances, so the loop checks its timers at least this often.
    constexpr Duration maxPollTimeout = std::chrono::milliseconds(5);
} // namespace

EventLoop::EventLoop(std::string name, const Clock& clock, EventLoopOptions options)
    : m_name(std::move(name))
    , m_clock(clock)
    , m_queue(options.queueCapacity)
{
}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void EventLoop::stop()
{
    m_queue.close();
    if (m_thread.joinable() && !isOwnThread())
        m_thread.join();
}

bool EventLoop::post(Function function) { return m_queue.tryPush(std::move(function)); }

void EventLoop::postAfter(Duration delay, Function function)
{
    m_timers.emplace(m_clock.now() + delay, std::move(function));
}

void EventLoop::setBatchEnd(Function function) { m_batchEnd = std::move(function); }

void EventLoop::run()
{
    m_threadId = std::this_thread::get_id();
    pthread_setname_np(pthread_self(), m_name.substr(0, 15).c_str()); // Linux limits thread names to 15 characters.
    std::vector<Function> batch;
    while (m_queue.popAll(batch, pollTimeout())) {
        for (auto& function : batch)
            function();
        batch.clear();
        runDueTimers();
        if (m_batchEnd)
            m_batchEnd();
    }
}

void EventLoop::runDueTimers()
{
    const auto now = m_clock.now();
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        auto function = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        function();
    }
}

Duration EventLoop::pollTimeout() const
{
    if (m_timers.empty())
        return maxPollTimeout;
    return std::clamp(m_timers.begin()->first - m_clock.now(), Duration::zero(), maxPollTimeout);
}

} // namespace turmericpier
