#pragma once

#include "decision/tables.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <optional>
#include <vector>

namespace turmericpier::decision {

/// Jobs of one team with queued tasks, grouped by class: priority and request. One failed attempt per class and round
/// is enough, so that a round costs time in the number of classes and not of jobs.
class WaitQueue {
public:
    struct Entry {
        uint64_t order = 0;
        JobIndex job = JobIndex::None;

        friend auto operator<=>(const Entry&, const Entry&) = default;
    };

    void insert(const ClassKey& key, const Entry& entry)
    {
        m_classes[key].insert(entry);
        ++m_size;
    }
    void erase(const ClassKey& key, const Entry& entry)
    {
        const auto it = m_classes.find(key);
        if (it == m_classes.end())
            return;
        m_size -= it->second.erase(entry);
        if (it->second.empty())
            m_classes.erase(it);
    }
    bool empty() const { return m_classes.empty(); }
    size_t size() const { return m_size; }
    size_t classes() const { return m_classes.size(); }
    std::optional<Entry> head(const ClassKey& key) const
    {
        const auto it = m_classes.find(key);
        return it == m_classes.end() ? std::nullopt : std::optional(*it->second.begin());
    }

    /// A pass over the queue in order of priority, then of submission.
    class Round {
    public:
        explicit Round(const WaitQueue& queue)
            : m_queue(&queue)
        {
            advance();
        }

        /// The job to try next; none at the end.
        std::optional<Entry> current() const
        {
            return m_heap.empty() ? std::nullopt : std::optional(m_heap.begin()->first);
        }
        /// Nothing of this class can be placed in this round.
        void block()
        {
            m_heap.erase(m_heap.begin());
            advance();
        }
        /// The current job was placed, or is passed over: go on with the next of its class.
        void next()
        {
            const auto [entry, key] = *m_heap.begin();
            m_heap.erase(m_heap.begin());
            if (const auto it = m_queue->m_classes.find(key); it != m_queue->m_classes.end()) {
                const auto following = it->second.upper_bound(entry);
                if (following != it->second.end())
                    m_heap.emplace(*following, key);
            }
            advance();
        }

    private:
        /// Once the classes of one priority are exhausted, takes in those of the next.
        void advance()
        {
            const auto& classes = m_queue->m_classes;
            if (!m_heap.empty() || m_done)
                return;
            auto it = m_started ? classes.upper_bound({ m_priority, { INT32_MAX, INT32_MAX, INT32_MAX }, UINT64_MAX })
                                : classes.begin();
            m_started = true;
            if (it == classes.end()) {
                m_done = true;
                return;
            }
            m_priority = it->first.inversePriority;
            for (; it != classes.end() && it->first.inversePriority == m_priority; ++it)
                m_heap.emplace(*it->second.begin(), it->first);
        }

        const WaitQueue* m_queue;
        absl::btree_map<Entry, ClassKey> m_heap;
        uint32_t m_priority = 0;
        bool m_started = false;
        bool m_done = false;
    };

    /// Calls `visit` for each class with its first entry and size.
    template <typename Visit> void forEachClass(const Visit& visit) const
    {
        for (const auto& [key, entries] : m_classes)
            visit(key, *entries.begin(), entries.size());
    }

private:
    absl::btree_map<ClassKey, absl::btree_set<Entry>> m_classes;
    size_t m_size = 0;
};

} // namespace turmericpier::decision
