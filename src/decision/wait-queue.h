#pragma once

#include "decision/tables.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <algorithm>
#include <optional>
#include <vector>

namespace turmericpier::decision {

/// Jobs of one team that have queued tasks, grouped into classes by priority and request. At most one attempt per class
/// fails in a round, so that a round costs time in the number of classes and not of jobs.
class WaitQueue {
public:
    struct Entry {
        uint64_t order = 0;
        JobIndex job = JobIndex::None;

        friend auto operator<=>(const Entry&, const Entry&) = default;
    };

    void insert(const ClassKey& key, const Entry& entry)
    {
        auto& queued = m_classes[key];
        if (queued.entries.empty()) {
            ++m_untried;
            m_minimumRequest = m_classes.size() == 1 ? key.request : minimum(m_minimumRequest, key.request);
        }
        queued.entries.insert(entry);
        ++m_size;
    }
    void erase(const ClassKey& key, const Entry& entry)
    {
        const auto it = m_classes.find(key);
        if (it == m_classes.end())
            return;
        m_size -= it->second.entries.erase(entry);
        if (!it->second.entries.empty())
            return;
        m_untried -= it->second.tried ? 0 : 1;
        m_classes.erase(it);
    }
    /// Returns the job after `entry` in its class, or nothing if it is the last one.
    std::optional<Entry> nextInClass(const ClassKey& key, const Entry& entry) const
    {
        const auto it = m_classes.find(key);
        if (it == m_classes.end())
            return std::nullopt;
        const auto next = it->second.entries.upper_bound(entry);
        return next == it->second.entries.end() ? std::nullopt : std::optional(*next);
    }
    bool empty() const { return m_classes.empty(); }
    size_t size() const { return m_size; }
    /// Returns true if some class has not been tried since its first job was queued.
    bool hasUntriedClass() const { return m_untried > 0; }
    /// Returns a lower bound of all queued requests in each resource. The bound may be too low after jobs have left the
    /// queue, until the next round completes.
    const PackedResources& minimumRequest() const { return m_minimumRequest; }

    /// Iterates over the queue by priority and then by order of submission.
    class Round {
    public:
        /// Unless `full` is set, skips classes that were tried before and do not fit into `maxFreedCapacity`. The
        /// referenced amount may shrink while the round is in use.
        Round(WaitQueue& queue, bool full, const PackedResources& maxFreedCapacity)
            : m_queue(&queue)
            , m_maxFreedCapacity(&maxFreedCapacity)
            , m_full(full)
        {
        }

        /// Returns the job to try next, or nothing at the end of the queue.
        std::optional<Entry> current()
        {
            while (true) {
                while (!m_heap.empty() && !eligible(m_heap.front().second))
                    pop();
                if (!m_heap.empty())
                    return m_heap.front().first;
                if (!advance())
                    return std::nullopt;
            }
        }
        /// Skips the rest of the current class in this round, because its current job could not be placed.
        void blockClass()
        {
            const auto it = m_queue->m_classes.find(m_heap.front().second);
            if (it != m_queue->m_classes.end() && !it->second.tried) {
                --m_queue->m_untried;
                it->second.tried = true;
            }
            pop();
        }
        /// Advances to the next job of the current class.
        void next()
        {
            const auto [entry, key] = m_heap.front();
            pop();
            const auto it = m_queue->m_classes.find(key);
            if (it == m_queue->m_classes.end())
                return;
            const auto following = it->second.entries.upper_bound(entry);
            if (following != it->second.entries.end())
                push({ *following, key });
        }

    private:
        using Item = std::pair<Entry, ClassKey>;

        static bool isLater(const Item& a, const Item& b) { return a.first > b.first; }
        void push(const Item& item)
        {
            m_heap.push_back(item);
            std::push_heap(m_heap.begin(), m_heap.end(), isLater);
        }
        void pop()
        {
            std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
            m_heap.pop_back();
        }
        bool eligible(const ClassKey& key) const
        {
            if (m_full || key.request.fitsInto(*m_maxFreedCapacity))
                return true;
            const auto it = m_queue->m_classes.find(key);
            return it != m_queue->m_classes.end() && !it->second.tried;
        }
        /// Adds the classes of the next lower priority to the heap. Returns false at the end of the queue.
        bool advance()
        {
            const auto& classes = m_queue->m_classes;
            auto it = m_started ? classes.upper_bound({ m_priority, { INT32_MAX, INT32_MAX, INT32_MAX }, UINT64_MAX })
                                : classes.begin();
            m_started = true;
            if (it == classes.end()) {
                m_queue->updateMinimumRequest();
                return false;
            }
            m_priority = it->first.inversePriority;
            for (; it != classes.end() && it->first.inversePriority == m_priority; ++it) {
                if (m_full || !it->second.tried || it->first.request.fitsInto(*m_maxFreedCapacity))
                    push({ *it->second.entries.begin(), it->first });
            }
            return true;
        }

        WaitQueue* m_queue;
        const PackedResources* m_maxFreedCapacity;
        bool m_full;
        std::vector<Item> m_heap;
        uint32_t m_priority = 0;
        bool m_started = false;
    };

private:
    struct Class {
        absl::btree_set<Entry> entries;
        bool tried = false; ///< An attempt to place a job of the class has failed.
    };

    static PackedResources minimum(const PackedResources& a, const PackedResources& b)
    {
        return { std::min(a.cpu, b.cpu), std::min(a.memory, b.memory), std::min(a.accelerators, b.accelerators) };
    }
    void updateMinimumRequest()
    {
        bool first = true;
        for (const auto& [key, queued] : m_classes) {
            m_minimumRequest = first ? key.request : minimum(m_minimumRequest, key.request);
            first = false;
        }
    }

    absl::btree_map<ClassKey, Class> m_classes;
    PackedResources m_minimumRequest;
    size_t m_size = 0;
    size_t m_untried = 0;
};

} // namespace turmericpier::decision
