#pragma once

#include "turmericpier/http/connection-budget.h"

#include <absl/status/statusor.h>
#include <cstddef>

/// Division of the memory of a process among the kinds of data that others make it hold.
///
///     const auto budget = http::divideMemory(160U << 20U, http::ConnectionUse::Entry);
///     auto requests = std::make_shared<MemoryShare>("requests", budget->requests, metrics);
namespace turmericpier::http {

/// Greatest number of bytes of each kind of data. The rest is for the program, its connections, the log of a replica
/// and the overhead of the allocator.
struct MemoryBudget {
    size_t requests = 0; ///< Requests from the first byte to the end of the response, and the responses.
    size_t answers = 0; ///< Answers of workers and of the advisor that are being read.
    size_t peers = 0; ///< Messages of other processes that are being read or wait to be handled.
    size_t document = 0; ///< One JSON text while it is parsed; only one is parsed at a time.
    size_t state = 0; ///< Jobs and workers in the replicated state, and those that wait for their commit.
};

/// Smallest memory with which a process works.
constexpr size_t minMemory = size_t { 32 } << 20U;

/// Divides `bytes`, the memory of the machine. Fails with TOO_LITTLE_MEMORY, naming the size needed, if it is less than
/// minMemory.
absl::StatusOr<MemoryBudget> divideMemory(size_t bytes, ConnectionUse use);

} // namespace turmericpier::http
