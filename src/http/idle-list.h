#pragma once

#include "turmericpier/base/metrics.h"

#include <boost/intrusive/list.hpp>

/// Connections that wait for a request, for the client and the server, which both close the one that has waited longest
/// when they reach their limit.
namespace turmericpier::http {

/// A connection that can be in an IdleList. It leaves the list when it is unlinked or destroyed.
class IdleConnection
    : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    bool isIdle() const { return is_linked(); }
    /// Unlinks the connection, closes it and releases the reference that its owner holds.
    virtual void discard() = 0;

protected:
    ~IdleConnection() = default;
};

/// Idle connections, the one that has been idle longest first.
using IdleList = boost::intrusive::list<IdleConnection, boost::intrusive::constant_time_size<false>>;

/// Closes and counts the connection that has been idle longest. Returns false if none is idle.
inline bool evictLongestIdle(IdleList& idle, Counter& evictions)
{
    if (idle.empty())
        return false;
    evictions.increment();
    idle.front().discard();
    return true;
}

} // namespace turmericpier::http
