#pragma once

#include "turmericpier/base/units.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace turmericpier::decision {

/// Resources in 12 bytes, used in the tables of the engine. Amounts are clamped to +/-2^30, which is about a million
/// cores or 1 PiB of memory, so that the sum of two amounts never overflows.
struct PackedResources {
    int32_t cpu = 0;
    int32_t memory = 0;
    int32_t accelerators = 0;

    static constexpr int64_t maxAmount = int64_t { 1 } << 30;

    PackedResources() = default;
    PackedResources(int32_t cpu, int32_t memory, int32_t accelerators)
        : cpu(cpu)
        , memory(memory)
        , accelerators(accelerators)
    {
    }
    explicit PackedResources(const Resources& r)
        : cpu(clamp(r.cpu.value))
        , memory(clamp(r.memory.value))
        , accelerators(clamp(r.accelerators.value))
    {
    }

    Resources unpack() const { return { { cpu }, { memory }, { accelerators } }; }
    bool fitsInto(const PackedResources& free) const
    {
        return cpu <= free.cpu && memory <= free.memory && accelerators <= free.accelerators;
    }

    friend bool operator==(const PackedResources&, const PackedResources&) = default;
    friend auto operator<=>(const PackedResources&, const PackedResources&) = default;
    friend PackedResources operator+(const PackedResources& a, const PackedResources& b)
    {
        return { a.cpu + b.cpu, a.memory + b.memory, a.accelerators + b.accelerators };
    }
    friend PackedResources operator-(const PackedResources& a, const PackedResources& b)
    {
        return { a.cpu - b.cpu, a.memory - b.memory, a.accelerators - b.accelerators };
    }
    PackedResources& operator+=(const PackedResources& other) { return *this = *this + other; }
    PackedResources& operator-=(const PackedResources& other) { return *this = *this - other; }

private:
    static int32_t clamp(int64_t value) { return static_cast<int32_t>(std::clamp(value, -maxAmount, maxAmount)); }
};

/// Returns how many times `request` fits into `free`, at most `limit`.
inline uint32_t countFitting(const PackedResources& request, const PackedResources& free, uint32_t limit)
{
    int64_t count = limit;
    const auto bound = [&count](int32_t need, int32_t have) {
        if (need > 0)
            count = std::min<int64_t>(count, std::max(have, 0) / need);
        else if (have < need)
            count = 0;
    };
    bound(request.cpu, free.cpu);
    bound(request.memory, free.memory);
    bound(request.accelerators, free.accelerators);
    return static_cast<uint32_t>(count);
}

/// Returns `r` multiplied by `count`, with each amount clamped to the valid range.
inline PackedResources multiply(const PackedResources& r, uint32_t count)
{
    const Resources product { { r.cpu * int64_t { count } }, { r.memory * int64_t { count } },
        { r.accelerators * int64_t { count } } };
    return PackedResources(product);
}

/// Returns the largest share of `whole` that `part` takes up in any resource.
inline double dominantShare(const PackedResources& part, const PackedResources& whole)
{
    const auto share = [](int32_t a, int32_t b) { return b > 0 ? double(a) / b : 0.0; };
    return std::max(
        { share(part.cpu, whole.cpu), share(part.memory, whole.memory), share(part.accelerators, whole.accelerators) });
}

} // namespace turmericpier::decision
