#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

/// Bounded queue between the threads of two duties.
namespace turmericpier {

/// A bounded ring with many producers and one consumer. A full ring refuses; it never blocks a producer.
template <typename T> class Ring {
public:
    explicit Ring(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns false, leaving `item` untouched, if the ring is full or closed.
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

    /// Moves all queued items into `out`, waiting up to `timeout` for the first. Returns false once closed and empty.
    template <typename Rep, typename Period>
    bool popAll(std::vector<T>& out, std::chrono::duration<Rep, Period> timeout)
    {
        out.clear();
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        out.swap(m_items);
        return !(m_closed && out.empty());
    }

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
