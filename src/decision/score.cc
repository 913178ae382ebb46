#include "decision/score.h"

#include <algorithm>
#include <cmath>

namespace turmericpier::decision {

namespace {

    // A shared rack outweighs any difference in load, which is at most 2.
    constexpr double rackWeight = 10;
    constexpr double dataCentreWeight = 0.1;
    // The mixed score penalizes workers with less than this fraction free, so that the fraction stays free while other
    // workers have more.
    constexpr double mixedHeadroom = 0.15;

    double remainingShare(int64_t request, int64_t free, int64_t capacity)
    {
        return capacity > 0 ? double(free - request) / double(capacity) : 0;
    }

    // Fractions of CPU and memory that stay free if the task is placed on the worker.
    struct RemainingShares {
        double min;
        double max;
        double sum;
    };

    RemainingShares remainingAfter(const ScoreInput& in)
    {
        const auto cpu = remainingShare(in.request.cpu.value, in.free.cpu.value, in.capacity.cpu.value);
        const auto memory = remainingShare(in.request.memory.value, in.free.memory.value, in.capacity.memory.value);
        return { std::min(cpu, memory), std::max(cpu, memory), cpu + memory };
    }

    double spreadPenalty(const ScoreInput& in)
    {
        return rackWeight * in.sameJobInRack + dataCentreWeight * in.sameJobInDataCentre;
    }

    // Returns 1 if a task that needs no accelerator would occupy a worker with accelerators, which cannot be used once
    // the worker's CPUs are taken.
    double strandedAcceleratorPenalty(const ScoreInput& in)
    {
        return in.request.accelerators.value == 0 && in.capacity.accelerators.value > 0 ? 1 : 0;
    }

    double packingFirstScore(const ScoreInput& in)
    {
        const auto remaining = remainingAfter(in);
        // A balanced remainder of CPU and memory fits more kinds of tasks than an unbalanced one.
        return -remaining.sum - (remaining.max - remaining.min) - strandedAcceleratorPenalty(in) - spreadPenalty(in);
    }

    double waitingFirstScore(const ScoreInput& in)
    {
        return remainingAfter(in).min - strandedAcceleratorPenalty(in) - spreadPenalty(in);
    }

    double mixedScore(const ScoreInput& in)
    {
        const auto remaining = remainingAfter(in);
        const auto shortage = std::max(0.0, mixedHeadroom - remaining.min) / mixedHeadroom;
        return -remaining.sum / 2 - (remaining.max - remaining.min) / 2 - 2 * shortage - strandedAcceleratorPenalty(in)
            - spreadPenalty(in);
    }

} // namespace

ScoreFunction builtInScore(ScoreKind kind)
{
    switch (kind) {
    case ScoreKind::WaitingFirst:
        return waitingFirstScore;
    case ScoreKind::PackingFirst:
        return packingFirstScore;
    case ScoreKind::Mixed:
        break;
    }
    return mixedScore;
}

} // namespace turmericpier::decision
