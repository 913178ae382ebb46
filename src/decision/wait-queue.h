#pragma once

#include "decision/tables.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <algorithm>
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
        auto& queued = m_classes[key];
        if (queued.entries.empty()) {
            ++m_untried;
            m_least = m_classes.size() == 1 ? key.request : minimum(m_least, key.request);
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
    /// The job of the class after the given one.
    std::optional<Entry> following(const ClassKey& key, const Entry& entry) const
    {
        const auto it = m_classes.find(key);
        if (it == m_classes.end())
            return std::nullopt;
        const auto next = it->second.entries.upper_bound(entry);
        return next == it->second.entries.end() ? std::nullopt : std::optional(*next);
    }
    bool empty() const { return m_classes.empty(); }
    size_t size() const { return m_size; }
    /// True if a class has not been tried since its first job was queued.
    bool hasUntried() const { return m_untried > 0; }
    /// No request is smaller in any resource. May be lower than needed after requests have left the queue.
    const PackedResources& least() const { return m_least; }

    /// A pass over the queue in order of priority, then of submission.
    class Round {
    public:
        /// Passes over classes that were tried before and do not fit into `room`, unless `full` is set. The amount may
        /// shrink while the round is in use.
        Round(WaitQueue& queue, bool full, const PackedResources& room)
            : m_queue(&queue)
            , m_room(&room)
            , m_full(full)
        {
        }

        /// The job to try next; none at the end.
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
        /// Nothing of this class can be placed in this round.
        void block()
        {
            const auto it = m_queue->m_classes.find(m_heap.front().second);
            if (it != m_queue->m_classes.end() && !it->second.tried) {
                --m_queue->m_untried;
                it->second.tried = true;
            }
            pop();
        }
        /// The current job was placed: go on with the next of its class.
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

        static bool later(const Item& a, const Item& b) { return a.first > b.first; }
        void push(const Item& item)
        {
            m_heap.push_back(item);
            std::push_heap(m_heap.begin(), m_heap.end(), later);
        }
        void pop()
        {
            std::pop_heap(m_heap.begin(), m_heap.end(), later);
            m_heap.pop_back();
        }
        bool eligible(const ClassKey& key) const
        {
            if (m_full || key.request.fitsInto(*m_room))
                return true;
            const auto it = m_queue->m_classes.find(key);
            return it != m_queue->m_classes.end() && !it->second.tried;
        }
        /// Takes in the classes of the next priority. Returns false at the end of the queue.
        bool advance()
        {
            const auto& classes = m_queue->m_classes;
            auto it = m_started ? classes.upper_bound({ m_priority, { INT32_MAX, INT32_MAX, INT32_MAX }, UINT64_MAX })
                                : classes.begin();
            m_started = true;
            if (it == classes.end()) {
                m_queue->measureLeast();
                return false;
            }
            m_priority = it->first.inversePriority;
            for (; it != classes.end() && it->first.inversePriority == m_priority; ++it) {
                if (m_full || !it->second.tried || it->first.request.fitsInto(*m_room))
                    push({ *it->second.entries.begin(), it->first });
            }
            return true;
        }

        WaitQueue* m_queue;
        const PackedResources* m_room;
        bool m_full;
        std::vector<Item> m_heap;
        uint32_t m_priority = 0;
        bool m_started = false;
    };

private:
    struct Class {
        absl::btree_set<Entry> entries;
        bool tried = false; ///< In vain.
    };

    static PackedResources minimum(const PackedResources& a, const PackedResources& b)
    {
        return { std::min(a.cpu, b.cpu), std::min(a.memory, b.memory), std::min(a.accelerators, b.accelerators) };
    }
    void measureLeast()
    {
        bool first = true;
        for (const auto& [key, queued] : m_classes) {
            m_least = first ? key.request : minimum(m_least, key.request);
            first = false;
        }
    }

    absl::btree_map<ClassKey, Class> m_classes;
    PackedResources m_least;
    size_t m_size = 0;
    size_t m_untried = 0;
};

} // namespace turmericpier::decision
