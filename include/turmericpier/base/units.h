#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// Strongly typed amounts of worker resources.
namespace turmericpier {

/// A signed amount. Each tag makes a unit of its own.
template <typename Tag> struct Amount {
    int64_t value = 0;

    friend bool operator==(Amount, Amount) = default;
    friend std::strong_ordering operator<=>(Amount, Amount) = default;
    friend Amount operator+(Amount a, Amount b) { return Amount { a.value + b.value }; }
    friend Amount operator-(Amount a, Amount b) { return Amount { a.value - b.value }; }
    Amount& operator+=(Amount other) { return *this = *this + other; }
    Amount& operator-=(Amount other) { return *this = *this - other; }
};

using MilliCpu = Amount<struct MilliCpuTag>; ///< Thousandths of a processor core.
using MemoryMib = Amount<struct MemoryMibTag>; ///< Mebibytes.
using Accelerators = Amount<struct AcceleratorsTag>; ///< Whole accelerators.

/// Processors, memory and accelerators of a worker or a task.
struct Resources {
    MilliCpu cpu;
    MemoryMib memory;
    Accelerators accelerators;

    friend bool operator==(const Resources&, const Resources&) = default;
    Resources& operator+=(const Resources& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpu -= other.cpu;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Resources operator+(Resources a, const Resources& b) { return a += b; }
    friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
    friend Resources operator*(const Resources& each, int64_t count)
    {
        return { MilliCpu { each.cpu.value * count }, MemoryMib { each.memory.value * count },
            Accelerators { each.accelerators.value * count } };
    }
};

/// Returns true if `request` fits into `free` in every dimension.
inline bool fits(const Resources& request, const Resources& free)
{
    return request.cpu <= free.cpu && request.memory <= free.memory && request.accelerators <= free.accelerators;
}

/// Returns how many requests of the size `each` fit into `free`; at most `most`.
inline uint64_t countThatFit(const Resources& each, const Resources& free, uint64_t most)
{
    const auto limit = [&most](int64_t amount, int64_t need) {
        if (need > 0)
            most = std::min<uint64_t>(most, static_cast<uint64_t>(std::max<int64_t>(0, amount) / need));
    };
    limit(free.cpu.value, each.cpu.value);
    limit(free.memory.value, each.memory.value);
    limit(free.accelerators.value, each.accelerators.value);
    return most;
}

/// Returns by how much `amount` exceeds `limit` in each dimension, and zero where it does not.
inline Resources excessOver(const Resources& amount, const Resources& limit)
{
    const auto over = amount - limit;
    return { std::max(over.cpu, MilliCpu {}), std::max(over.memory, MemoryMib {}),
        std::max(over.accelerators, Accelerators {}) };
}

/// Returns true if no dimension is negative.
inline bool isValid(const Resources& resources) { return fits(Resources {}, resources); }

} // namespace turmericpier
