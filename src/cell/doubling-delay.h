#pragma once

#include "turmericpier/base/clock.h"

#include <algorithm>

namespace turmericpier::cell::detail {

/// Returns `first` after it was doubled so many times, at most `max`.
constexpr Duration doublingDelay(Duration first, uint32_t doublings, Duration max)
{
    for (; doublings > 0 && first < max; --doublings)
        first *= 2;
    return std::min(first, max);
}

} // namespace turmericpier::cell::detail
