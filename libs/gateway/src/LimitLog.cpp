#include <gateway/LimitLog.h>

namespace bronzeswitch {

namespace {

constexpr Duration lineInterval { 1000 };

} // namespace

void LimitLog::onReached(const std::string& limit, nlohmann::json inputs, TimePoint now)
{
    m_metrics.countIncident("limit-" + limit);
    auto& entry = m_entries[limit];
    ++entry.times;
    if (entry.loggedAt != TimePoint {} && now - entry.loggedAt < lineInterval)
        return;
    inputs["limit"] = limit;
    inputs["times"] = entry.times;
    m_log.write(events::limitReached, std::move(inputs));
    entry = { now, 0 };
}

} // namespace bronzeswitch
