#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/routing/router.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>
#include <utility>

/// Queue of the waiting requests of one service, earliest deadline first. insert(), erase() and rank() take O(log n).
namespace turmericpier::routing {

class RequestQueue {
public:
    void insert(TimePoint deadline, Ticket ticket) { m_tree.insert({ deadline, ticket }); }
    void erase(TimePoint deadline, Ticket ticket) { m_tree.erase({ deadline, ticket }); }

    bool empty() const { return m_tree.empty(); }
    size_t size() const { return m_tree.size(); }
    Ticket front() const { return m_tree.begin()->second; }

    /// Returns the number of waiting requests that will be dispatched before this one.
    size_t rank(TimePoint deadline, Ticket ticket) const { return m_tree.order_of_key({ deadline, ticket }); }

private:
    using Key = std::pair<TimePoint, Ticket>;
    __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<Key>, __gnu_pbds::rb_tree_tag,
        __gnu_pbds::tree_order_statistics_node_update>
        m_tree;
};

} // namespace turmericpier::routing
