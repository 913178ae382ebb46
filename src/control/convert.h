#pragma once

#include "control/state.h"
#include "turmericpier/decision/model.h"

/// Conversions between protobuf messages and the value types of the decision engine.
namespace turmericpier::control {

Resources fromRpc(const rpc::Resources& resources);
rpc::Resources toRpc(const Resources& resources);
decision::Worker workerFromRpc(const rpc::WorkerReport& report);
decision::Team teamFromRpc(const rpc::Team& team);
decision::Policy policyFromRpc(const rpc::Policy& policy);
decision::Job jobFromRpc(const rpc::Job& job);
decision::Placement placementFromLog(const log::Placement& placement);
rpc::Outcome toRpc(Outcome outcome);
Outcome fromRpc(rpc::Outcome outcome);

} // namespace turmericpier::control
