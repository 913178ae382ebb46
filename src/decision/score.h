#pragma once

#include "turmericpier/decision/engine.h"

namespace turmericpier::decision {

/// Returns the built-in score function of a kind. PackingFirst prefers full workers, WaitingFirst prefers free ones,
/// and Mixed packs workers until they are nearly full. All of them spread the replicas of a service over racks.
ScoreFunction builtInScore(ScoreKind kind);

} // namespace turmericpier::decision
