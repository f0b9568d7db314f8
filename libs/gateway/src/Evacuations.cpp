#include <algorithm>
#include <gateway/Evacuations.h>

namespace bronzeswitch {

namespace {

// Many times the number of data centres. Bounds the size of reports if keys name data centres that don't exist.
constexpr std::size_t maxDataCentres = 64;

void setOrder(Evacuations::State& state, EvacuationOrder order, const std::string& source)
{
    state.order = std::move(order);
    state.source = source;
    state.undecidedUntil.reset();
}

} // namespace

std::vector<EvacuationOrder> Evacuations::merge(const std::vector<EvacuationOrder>& orders, const std::string& source, TimePoint now)
{
    std::vector<EvacuationOrder> changes;
    for (auto order : orders) {
        if (order.dataCentre.empty())
            continue;
        if (isOutdated(order)) {
            order.position = { m_lastRead.end.era, m_lastRead.end.offset - 1 };
            order.isInForce = false;
        }
        const auto known = m_states.find(order.dataCentre);
        if (known != m_states.end() && order.position <= known->second.order.position)
            continue;
        const bool wasEvacuated = isEvacuated(order.dataCentre);
        auto& state = m_states[order.dataCentre];
        setOrder(state, order, source);
        if (order.isInForce && order.position.era < m_era)
            state.undecidedUntil = now + sourceRewriteTime;
        if (wasEvacuated != order.isInForce)
            changes.push_back(order);
    }
    dropExcess();
    return changes;
}

// An order that a complete read would have shown but didn't was revoked before that read; the peer that reports it doesn't know that.
bool Evacuations::isOutdated(const EvacuationOrder& order) const
{
    const bool isCovered = order.position.era == m_lastRead.end.era && order.position < m_lastRead.end;
    return order.isInForce && isCovered && !m_lastRead.dataCentres.contains(order.dataCentre);
}

// Forgets the earliest revocations; orders in force are kept.
void Evacuations::dropExcess()
{
    while (m_states.size() > maxDataCentres) {
        const auto earliest = std::min_element(m_states.begin(), m_states.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.order.isInForce, left.second.order.position)
                < std::pair(right.second.order.isInForce, right.second.order.position);
        });
        if (earliest->second.order.isInForce)
            return;
        m_states.erase(earliest);
    }
}

std::vector<EvacuationOrder> Evacuations::onCompleteRead(const CompleteRead& read, const std::string& source)
{
    onEra(read.end.era, read.startedAt);
    if (read.end < m_lastRead.end)
        return {};
    m_lastRead = read;
    std::vector<EvacuationOrder> changes;
    for (auto& [dataCentre, state] : m_states) {
        const bool isCovered = state.order.isInForce && state.order.position < read.end;
        const bool isDecided = !state.undecidedUntil || read.startedAt >= *state.undecidedUntil;
        if (!isCovered || !isDecided)
            continue;
        state.undecidedUntil.reset();
        if (read.dataCentres.contains(dataCentre))
            continue;
        setOrder(state, { dataCentre, { read.end.era, read.end.offset - 1 }, false }, source);
        changes.push_back(state.order);
    }
    return changes;
}

void Evacuations::onEra(int64_t era, TimePoint now)
{
    if (era <= m_era)
        return;
    m_era = era;
    for (auto& [dataCentre, state] : m_states) {
        if (state.order.isInForce && state.order.position.era < era)
            state.undecidedUntil = now + sourceRewriteTime;
    }
}

std::optional<TimePoint> Evacuations::completeReadDueAt() const
{
    std::optional<TimePoint> due;
    for (const auto& [dataCentre, state] : m_states) {
        if (state.undecidedUntil)
            due = std::min(due.value_or(*state.undecidedUntil), *state.undecidedUntil);
    }
    return due;
}

bool Evacuations::isEvacuated(const std::string& dataCentre) const
{
    const auto* state = find(dataCentre);
    return state && state->order.isInForce;
}

std::set<std::string> Evacuations::evacuated() const
{
    std::set<std::string> result;
    for (const auto& [dataCentre, state] : m_states) {
        if (state.order.isInForce)
            result.insert(dataCentre);
    }
    return result;
}

std::vector<EvacuationOrder> Evacuations::orders() const
{
    std::vector<EvacuationOrder> result;
    result.reserve(m_states.size());
    for (const auto& [dataCentre, state] : m_states)
        result.push_back(state.order);
    return result;
}

const Evacuations::State* Evacuations::find(const std::string& dataCentre) const
{
    const auto found = m_states.find(dataCentre);
    return found == m_states.end() ? nullptr : &found->second;
}

} // namespace bronzeswitch
