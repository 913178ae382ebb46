#pragma once

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

/// Counts what a program allocates. To be included in one file of a program only, because it replaces the operators.
namespace turmericpier::cell::test {

inline std::atomic<size_t> allocatedBytes { 0 }; ///< Since the start, by all threads, also what was freed.

} // namespace turmericpier::cell::test

void* operator new(size_t size)
{
    turmericpier::cell::test::allocatedBytes += size;
    if (void* memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

void* operator new(size_t size, const std::nothrow_t&) noexcept
{
    turmericpier::cell::test::allocatedBytes += size;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, size_t) noexcept { std::free(memory); }
