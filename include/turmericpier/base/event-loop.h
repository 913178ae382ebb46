#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/base/ring.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

/// One thread for one duty, fed by a bounded ring:
///
///     EventLoop loop("consensus", clock, { .ringCapacity = 4096 });
///     loop.start();
///     if (!loop.post([&] { step(message); }))
///         dropped.increment(); // the ring is full
namespace turmericpier {

struct EventLoopOptions {
    size_t ringCapacity = 65'536; ///< Functions waiting; more are refused.
};

/// Runs posted functions and timers in order on its own thread.
class EventLoop {
public:
    using Function = std::function<void()>;

    EventLoop(std::string name, const Clock& clock, EventLoopOptions options = {});
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    void start();
    /// Runs what is queued, then ends the thread. Later posts are refused. Timers do not run any more.
    void stop();

    /// Queues `function`; returns false if the ring is full or the loop has stopped. Callable from any thread.
    bool post(Function function);
    /// Runs `function` once `delay` has passed on the clock. Only on the loop's own thread, or before start().
    void postAfter(Duration delay, Function function);
    /// Sets a function that runs after each batch of queued functions, for work shared by the batch.
    void setBatchEnd(Function function);

    bool isOwnThread() const { return std::this_thread::get_id() == m_threadId.load(); }
    size_t queued() const { return m_ring.size(); }

private:
    void run();
    void runTimers();
    Duration waitTime() const;

    const std::string m_name;
    const Clock& m_clock;
    Ring<Function> m_ring;
    std::multimap<TimePoint, Function> m_timers;
    Function m_batchEnd;
    std::thread m_thread;
    std::atomic<std::thread::id> m_threadId;
};

} // namespace turmericpier
