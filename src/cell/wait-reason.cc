#include "turmericpier/cell/wait-reason.h"

namespace turmericpier::cell {

std::string_view toString(WaitReason reason)
{
    switch (reason) {
    case WaitReason::Advice:
        return "advice";
    case WaitReason::NoRoom:
        return "no room";
    case WaitReason::OrdersQueued:
        return "orders queued";
    case WaitReason::PlanLimit:
        return "plan limit";
    case WaitReason::TenantCap:
        return "tenant cap";
    case WaitReason::GangMembers:
        return "gang members";
    case WaitReason::GangDelay:
        return "gang delay";
    case WaitReason::GangOrders:
        return "gang orders";
    case WaitReason::RestartDelay:
        break;
    }
    return "restart delay";
}

} // namespace turmericpier::cell
