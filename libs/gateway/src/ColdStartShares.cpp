#include <algorithm>
#include <gateway/ColdStartShares.h>

namespace bronzeswitch {

namespace {

// Longer than a peer counts as live after its last report (PeerTimeouts::liveTimeout): until then two homes may use a whole share each.
constexpr Duration takeoverTime { 2000 };

} // namespace

std::optional<ColdStartShares::Update> ColdStartShares::update(
    const GatewayService& service, bool isHome, const FleetView& fleet, TimePoint now)
{
    auto& state = m_states[service.name];
    const bool isTakeover = isHome && !state.homeSince;
    if (isTakeover)
        state.homeSince = now;
    if (!isHome)
        state.homeSince.reset();
    ColdStartRates rates;
    const ColdStartTolerance tolerance { service.coldStart.perSecond, m_bounds.overshoot, m_bounds.slack };
    if (fleet.isKnown && fleet.knownNodes > 0) {
        const double known = std::max(fleet.knownNodes, fleet.liveNodes);
        rates = isHome ? ColdStartRates::ofHome(tolerance, fleet.liveNodes / known, now - *state.homeSince < takeoverTime)
                       : ColdStartRates::withoutHome(tolerance, 1 / known);
    }
    if (state.rates == rates && !isTakeover)
        return std::nullopt;
    state.rates = rates;
    return Update { rates, isTakeover };
}

void ColdStartShares::retain(const std::function<bool(const std::string& service)>& isLimited)
{
    std::erase_if(m_states, [&](const auto& item) { return !isLimited(item.first); });
}

ColdStartRates ColdStartShares::rates(const std::string& service) const
{
    const auto found = m_states.find(service);
    return found == m_states.end() ? ColdStartRates {} : found->second.rates.value_or(ColdStartRates {});
}

} // namespace bronzeswitch
