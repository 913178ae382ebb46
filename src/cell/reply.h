#pragma once

#include "turmericpier/cell/state.h"

#include <string>
#include <utility>

namespace turmericpier::cell {

/// Callers that were refused because there was no leader should find one after an election, which takes about this
/// long.
inline constexpr uint32_t retryAfterMs = 1'000;

/// Returns a reply without a result. A reply with NotRun tells the caller when to try again.
inline record::ReplyT makeReply(record::Verdict verdict, std::string message = {})
{
    record::ReplyT reply;
    reply.verdict = verdict;
    reply.message = std::move(message);
    if (verdict == record::Verdict::NotRun)
        reply.retry_after_ms = retryAfterMs;
    return reply;
}

} // namespace turmericpier::cell
