#pragma once

#include "turmericpier/cell/state.h"

#include <string>
#include <utility>

namespace turmericpier::cell {

/// Callers that were refused for want of a leader find one after an election, which takes about this long.
inline constexpr uint32_t retryAfterMs = 1'000;

/// A reply without a result; one that says NotRun tells when to come back.
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
