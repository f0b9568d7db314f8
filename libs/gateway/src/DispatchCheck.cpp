#include "DispatchCheck.h"

namespace bronzeswitch {

const char* reasonToWithhold(
    GatewayContext& context, const std::string& service, const std::string& upstream, TimePoint grantedAt, TimePoint now)
{
    const auto* entry = context.directory.find(upstream);
    if (entry && entry->service != service) {
        context.metrics.countIncident("grant-of-other-service");
        return "the upstream belongs to another service";
    }
    const bool isLeaving = !entry || entry->isDraining;
    if (entry && isLeaving)
        context.notices.onWithheld(*entry, now);
    if (isLeaving)
        return "the upstream leaves";
    if (context.evacuations.isEvacuated(entry->dataCentre)) {
        context.metrics.countIncident("evacuated-withheld");
        return "the upstream's data centre is evacuated";
    }
    if (context.pauses.isPaused(*entry, now))
        return "the upstream has asked for a pause";
    if (context.coldUpstreams.isStale(*entry, grantedAt, now))
        return "the grant is too old for an upstream that may be cold";
    return context.mayDispatch ? nullptr : "this node stops";
}

} // namespace bronzeswitch
