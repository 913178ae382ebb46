#pragma once

#include "turmericpier/decision/engine.h"

namespace turmericpier::decision {

/// The built-in score of a kind: packing prefers full workers, waiting prefers free ones, mixed packs until a worker
/// is nearly full. Replicas of one service avoid each other's racks in all of them.
ScoreFunction builtInScore(ScoreKind kind);

} // namespace turmericpier::decision
