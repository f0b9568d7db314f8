#include <algorithm>
#include <cmath>
#include <gateway/AdmissionMonitor.h>

namespace bronzeswitch {

AdmissionMonitor::AdmissionMonitor(DecisionLog& log, Metrics& metrics)
    : m_log(log)
    , m_metrics(metrics)
{
}

void AdmissionMonitor::update(const std::string& pool, const AdmissionStatus& status, std::size_t waiting)
{
    auto& last = m_pools[pool];
    count(last, status);
    const bool hasBegun = status.isShedding && !last.isShedding;
    const bool hasEnded = !status.isShedding && last.isShedding;
    if (hasBegun)
        m_beginnings[pool] = last;
    if (hasBegun || hasEnded) {
        nlohmann::json fields { { "pool", pool }, { "highestRankRefused", status.highestRankRefused }, { "waiting", waiting },
            { "slotsPerSecond", std::lround(status.slotsPerSecond) }, { "forecastAgeMs", status.forecastAge.count() },
            { "reservedReturns", status.reservedReturns } };
        if (hasEnded) {
            const auto& before = m_beginnings[pool];
            fields["refusedEarly"] = status.refusedEarly - before.refusedEarly;
            fields["refusedWaiting"] = status.refusedWaiting - before.refusedWaiting;
            fields["returned"] = status.returns.honoured - before.returns.honoured;
            fields["returnedEarly"] = status.returns.early - before.returns.early;
        }
        m_log.write(hasBegun ? events::overloadBegan : events::overloadEnded, std::move(fields));
    }
    last = status;
    m_metrics.setGauge("overloaded-pools",
        static_cast<double>(std::count_if(m_pools.begin(), m_pools.end(), [](const auto& item) { return item.second.isShedding; })));
}

void AdmissionMonitor::count(const AdmissionStatus& before, const AdmissionStatus& status)
{
    const auto add = [this](const char* kind, uint64_t from, uint64_t to) {
        if (to > from)
            m_metrics.countIncident(kind, static_cast<int>(to - from));
    };
    add("refused-early", before.refusedEarly, status.refusedEarly);
    add("refused-waiting", before.refusedWaiting, status.refusedWaiting);
    add("admission-probe", before.probes, status.probes);
    add("return-planned", before.returns.planned, status.returns.planned);
    add("return-unplanned", before.returns.unplanned, status.returns.unplanned);
    add("return-honoured", before.returns.honoured, status.returns.honoured);
    add("return-early", before.returns.early, status.returns.early);
    add("return-expired", before.returns.expired, status.returns.expired);
}

} // namespace bronzeswitch
