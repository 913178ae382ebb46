#pragma once

#include "turmericpier/cell/state.h"

#include <map>
#include <string>

/// Helpers for what is kept by step.
namespace turmericpier::cell::detail {

/// Removes the entries of all steps of a job.
template <typename Value> void eraseJob(std::map<StepKey, Value>& steps, const std::string& job)
{
    auto first = steps.lower_bound(StepKey { job, 0, 0, 0 });
    while (first != steps.end() && first->first.job == job)
        first = steps.erase(first);
}

} // namespace turmericpier::cell::detail
