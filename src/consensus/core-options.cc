#include "consensus/core-options.h"

#include <random>

namespace turmericpier::consensus {

CoreOptions makeCoreOptions(const GroupOptions& options)
{
    CoreOptions core;
    core.self = options.self;
    core.preferredLeaders = options.preferredLeaders;
    core.heartbeat = options.heartbeat;
    core.electionTimeoutMin = options.electionTimeoutMin;
    core.electionTimeoutMax = options.electionTimeoutMax;
    core.servesByLease = options.servesByLease;
    core.seed = options.seed;
    std::random_device device;
    core.incarnation = (uint64_t { device() } << 32 | device()) | 1; // 0 is reserved for no incarnation
    return core;
}

} // namespace turmericpier::consensus
