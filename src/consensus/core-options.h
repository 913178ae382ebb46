#pragma once

#include "consensus/core.h"
#include "turmericpier/consensus/group.h"

namespace turmericpier::consensus {

/// Returns the options of the core of a group, with an incarnation of its own.
CoreOptions makeCoreOptions(const GroupOptions& options);

} // namespace turmericpier::consensus
