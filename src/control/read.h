#pragma once

#include "control/state.h"

#include <absl/status/statusor.h>

namespace turmericpier::control {

class Leader;

/// Answers an operator's read from the state and the leader, as a JSON object.
absl::StatusOr<std::string> readJson(
    const rpc::ReadRequest& request, const ControlState& state, const Leader& leader, const InstanceId& self);

} // namespace turmericpier::control
