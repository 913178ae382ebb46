#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

/// Bounded queue between threads.
namespace turmericpier {

/// A bounded queue with many producers and one consumer. A full queue refuses new items and never blocks a producer.
template <typename T> class BoundedQueue {
public:
    explicit BoundedQueue(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Appends `item`. Returns false and leaves `item` unchanged if the queue is full or closed.
    bool tryPush(T&& item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity)
                return false;
            m_items.push_back(std::move(item));
        }
        m_ready.notify_one();
        return true;
    }

    /// Replaces the content of `out` by all queued items, waiting up to `timeout` for the first. Returns false once the
    /// queue is closed and empty.
    template <typename Rep, typename Period>
    bool popAll(std::vector<T>& out, std::chrono::duration<Rep, Period> timeout)
    {
        out.clear();
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        out.swap(m_items);
        return !(m_closed && out.empty());
    }

    /// Makes tryPush() fail from now on and wakes the consumer.
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<T> m_items;
    bool m_closed = false;
};

} // namespace turmericpier
