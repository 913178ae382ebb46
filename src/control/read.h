#pragma once

#include "control/state.h"

#include <absl/status/statusor.h>

namespace turmericpier::control {

class Leader;

/// Answers an operator's query from the state and the leader as JSON text. Returns NOT_FOUND if the queried job does
/// not exist and MISSING_QUERY if the request holds no known query.
absl::StatusOr<std::string> readJson(
    const rpc::ReadRequest& request, const ControlState& state, const Leader& leader, const InstanceId& self);

} // namespace turmericpier::control
