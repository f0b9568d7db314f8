#include "AdmissionPlan.h"

#include <algorithm>
#include <set>

namespace bronzeswitch {

namespace {

// Part of the work that each lower rank gets ahead of higher ranks while none is refused or late, so that long requests of a higher
// rank don't hold up short ones.
constexpr double lowerRankShare = 0.1;
// The work of quiet times must not become credit for a burst: the shorter the window, the less an organisation at many times its usual load
// takes from the others.
constexpr Duration fairShareWindow { 1000 };

} // namespace

void applyAdmission(PoolPlan& plan, const RoutingTable& table, const GatewayService& service, bool hasHome)
{
    const auto routes = table.routesToService(service.name);
    const auto& organisations = table.document().organisations;
    std::set<int> ranks;
    for (const auto* route : routes)
        ranks.insert(route->rank);
    const bool hasRanks = ranks.size() > 1
        || std::any_of(organisations.begin(), organisations.end(), [](const auto& organisation) { return organisation.rank.has_value(); });
    // The callers of streams leave when the first event is late, so only there a late start is known to be useless. A node without
    // the requests of the others can't forecast the pool's queue.
    const bool hasStreams = std::any_of(routes.begin(), routes.end(), [](const auto* route) { return route->kind == RequestKind::Stream; });
    plan.lowerRankShare = lowerRankShare;
    plan.admission.refusesEarly = hasHome && service.isEngine() && hasStreams;
    plan.admission.schedulesReturns = plan.admission.refusesEarly;
    // A late response still serves its caller, and most of those that are refused are not served in time later either.
    plan.admission.servesLate = plan.admission.refusesEarly;
    // Engines that state their pace share their machines: their capacity changes within a second, so that waiting requests miss their
    // targets. Elsewhere most requests that wait for a slot are served.
    plan.admission.oncePaceIsStated = plan.admission.refusesEarly;
    plan.admission.shedsByRank = plan.admission.refusesEarly && hasRanks;
    if (plan.admission.refusesEarly && organisations.size() > 1)
        plan.admission.fairShareWindow = fairShareWindow;
}

} // namespace bronzeswitch
