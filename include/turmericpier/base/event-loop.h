#pragma once

#include "turmericpier/base/bounded-queue.h"
#include "turmericpier/base/clock.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

/// A thread that runs functions from a bounded queue:
///
///     EventLoop loop("consensus", clock, { .queueCapacity = 4096 });
///     loop.start();
///     if (!loop.post([&] { step(message); }))
///         dropped.increment(); // the queue is full
namespace turmericpier {

struct EventLoopOptions {
    size_t queueCapacity = 65'536; ///< Largest number of queued functions; post() refuses more.
};

/// Runs posted functions in the order of posting, and timers in the order of their times, on a thread of its own.
class EventLoop {
public:
    using Function = std::function<void()>;

    /// Creates a loop whose thread is called `name`. `clock` drives the timers and must outlive the loop.
    EventLoop(std::string name, const Clock& clock, EventLoopOptions options = {});
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Starts the thread.
    void start();
    /// Runs the queued functions, then joins the thread. Later posts are refused, and pending timers are dropped. A
    /// call on the loop's own thread does not join.
    void stop();

    /// Queues `function`. Returns false if the queue is full or the loop has stopped. Callable from any thread.
    bool post(Function function);
    /// Runs `function` once `delay` has passed on the clock. Call it only on the loop's own thread, or before start().
    void postAfter(Duration delay, Function function);
    /// Sets a function that runs after each batch of queued functions and due timers, so that work such as a flush is
    /// done once for the batch. Call it before start().
    void setBatchEnd(Function function);

    bool isOwnThread() const { return std::this_thread::get_id() == m_threadId.load(); }
    size_t queued() const { return m_queue.size(); } ///< Number of functions that wait to run.

private:
    void run();
    void runDueTimers();
    Duration pollTimeout() const;

    const std::string m_name;
    const Clock& m_clock;
    BoundedQueue<Function> m_queue;
    std::multimap<TimePoint, Function> m_timers;
    Function m_batchEnd; ///< Empty if not set.
    std::thread m_thread;
    std::atomic<std::thread::id> m_threadId;
};

} // namespace turmericpier
