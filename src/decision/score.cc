#include "decision/score.h"

#include <algorithm>
#include <cmath>

namespace turmericpier::decision {

namespace {

    // Spreading weighs more than any difference in load, which is at most 2.
    constexpr double rackWeight = 10;
    constexpr double dataCentreWeight = 0.1;
    // A mixed score keeps this share of each worker free while other workers have more.
    constexpr double mixedHeadroom = 0.15;

    double leftShare(int64_t request, int64_t free, int64_t capacity)
    {
        return capacity > 0 ? double(free - request) / double(capacity) : 0;
    }

    struct Left {
        double least;
        double most;
        double sum;
    };

    Left leftOf(const ScoreInput& in)
    {
        const auto cpu = leftShare(in.request.cpu.value, in.free.cpu.value, in.capacity.cpu.value);
        const auto memory = leftShare(in.request.memory.value, in.free.memory.value, in.capacity.memory.value);
        return { std::min(cpu, memory), std::max(cpu, memory), cpu + memory };
    }

    double spread(const ScoreInput& in)
    {
        return rackWeight * in.sameJobInRack + dataCentreWeight * in.sameJobInDataCentre;
    }

    // Accelerators next to a task that needs none can not be used once the processors are taken.
    double strandedAccelerators(const ScoreInput& in)
    {
        return in.request.accelerators.value == 0 && in.capacity.accelerators.value > 0 ? 1 : 0;
    }

    double packing(const ScoreInput& in)
    {
        const auto left = leftOf(in);
        // An even remainder can be used by more kinds of tasks than a lopsided one.
        return -left.sum - (left.most - left.least) - strandedAccelerators(in) - spread(in);
    }

    double waiting(const ScoreInput& in) { return leftOf(in).least - strandedAccelerators(in) - spread(in); }

    double mixed(const ScoreInput& in)
    {
        const auto left = leftOf(in);
        const auto tight = std::max(0.0, mixedHeadroom - left.least) / mixedHeadroom;
        return -left.sum / 2 - (left.most - left.least) / 2 - 2 * tight - strandedAccelerators(in) - spread(in);
    }

} // namespace

ScoreFunction builtInScore(ScoreKind kind)
{
    switch (kind) {
    case ScoreKind::WaitingFirst:
        return waiting;
    case ScoreKind::PackingFirst:
        return packing;
    case ScoreKind::Mixed:
        break;
    }
    return mixed;
}

} // namespace turmericpier::decision
