#include <algorithm>
#include <gateway/RolloutController.h>
#include <trial/LatencyBuckets.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxReplacedOrders = 16; // Of a service.
constexpr Duration writeFallbackDelay { 1500 }; // After which any node writes, in case the responsible one can't reach the record.

void count(std::vector<int64_t>& buckets, double milliseconds)
{
    if (milliseconds <= 0)
        return;
    const auto index = LatencyBuckets::indexOf(milliseconds);
    if (buckets.size() <= index)
        buckets.resize(index + 1);
    ++buckets[index];
}

} // namespace

RolloutController::RolloutController(ExposureBounds bounds, DecisionLog& log)
    : m_bounds(bounds)
    , m_log(log)
{
}

bool RolloutController::addOrder(const RolloutOrder& order, TimePoint now)
{
    const auto known = m_states.find(order.service);
    if (known != m_states.end()) {
        auto& state = known->second;
        const auto knownOrder = state.rollout.order();
        if (!isLater(order, knownOrder) || isReplaced(order, knownOrder))
            return false;
        if (isRewritten(order, knownOrder)) {
            state.rollout.setIdentity(order);
            state.forgetRecord();
            return false;
        }
        rememberReplaced(knownOrder);
    }
    m_states.erase(order.service);
    m_states.try_emplace(order.service, order, m_bounds, now);
    m_log.write(events::rolloutStep,
        { { "service", order.service }, { "order", order.id }, { "era", order.era }, { "target", order.target },
            { "durationMs", order.duration.count() }, { "phase", toString(RolloutPhase::Trial) } });
    return true;
}

bool RolloutController::isReplaced(const RolloutOrder& order, const RolloutOrder& known) const
{
    const auto replaced = m_replaced.find(order.service);
    if (replaced == m_replaced.end() || order.era <= known.era)
        return false;
    return std::any_of(
        replaced->second.begin(), replaced->second.end(), [&](const RolloutOrder& earlier) { return isRewritten(order, earlier); });
}

void RolloutController::rememberReplaced(const RolloutOrder& order)
{
    auto& replaced = m_replaced[order.service];
    replaced.push_back(order);
    if (replaced.size() > maxReplacedOrders)
        replaced.pop_front();
}

void RolloutController::State::forgetRecord()
{
    isRecordRead = false;
    recordedPhase.reset();
    dueSince.reset();
}

void RolloutController::forgetRecords()
{
    for (auto& [service, state] : m_states)
        state.forgetRecord();
}

void RolloutController::applyRecord(const RolloutOrder& order, std::optional<RolloutPhase> phase)
{
    const auto found = m_states.find(order.service);
    if (found == m_states.end() || found->second.rollout.order() != order)
        return;
    auto& state = found->second;
    state.isRecordRead = true;
    if (phase)
        state.recordedPhase = phase;
    if (phase && isFinal(*phase))
        state.rollout.adopt(*phase);
}

VersionTally* RolloutController::ownTally(const std::string& service, const std::string& route, const std::string& version)
{
    const auto found = m_states.find(service);
    if (found == m_states.end())
        return nullptr;
    auto& state = found->second;
    if (state.isEndRecorded())
        return nullptr;
    auto& tally = tallyOf(state.own, route);
    return version == state.rollout.order().target ? &tally.candidate : &tally.stable;
}

void RolloutController::onDispatched(const std::string& service, const std::string& route, const std::string& version)
{
    if (auto* tally = ownTally(service, route, version))
        ++tally->sent;
}

void RolloutController::onResponse(
    const std::string& service, const std::string& route, const std::string& version, const VersionObservation& observation)
{
    auto* tally = ownTally(service, route, version);
    if (!tally)
        return;
    ++(observation.isFailed ? tally->failed : tally->withoutFailure);
    if (observation.isFailed)
        return;
    count(tally->firstByte, observation.firstByteMs);
    count(tally->betweenTokens, observation.betweenTokensMs);
}

void RolloutController::setPeerReports(
    const std::string& peer, int64_t incarnation, const std::vector<RolloutReport>& reports, TimePoint now)
{
    auto& known = m_incarnations[peer];
    const bool isRestarted = known != incarnation;
    known = incarnation;
    for (auto& [service, state] : m_states) {
        const auto before = state.peers.find(peer);
        if (isRestarted && before != state.peers.end()) {
            for (const auto& tally : before->second.routes)
                addTally(state.retired, tally);
            state.peers.erase(before);
        }
    }
    for (const auto& report : reports) {
        // This is how a node that can't reach the durable record learns of an order.
        const RolloutOrder order { report.service, report.target, Duration(report.durationMs), report.orderId, report.orderEra };
        addOrder(order, now);
        auto& state = m_states.at(report.service);
        if (state.rollout.order() != order)
            continue;
        state.peers[peer] = report;
        state.started = std::min(state.started, now - Duration(report.elapsedMs));
        const auto phase = state.rollout.phase();
        state.rollout.adopt(report.phase);
        logPhase(state, phase, now);
    }
}

std::vector<RouteTally> RolloutController::totals(const State& state) const
{
    auto sums = state.own;
    for (const auto& [route, tally] : state.retired)
        addTally(sums, tally);
    for (const auto& [peer, report] : state.peers) {
        for (const auto& tally : report.routes)
            addTally(sums, tally);
    }
    std::vector<RouteTally> result;
    result.reserve(sums.size());
    for (auto& [route, tally] : sums)
        result.push_back(std::move(tally));
    return result;
}

Duration RolloutController::elapsed(const State& state, TimePoint now) const
{
    return std::chrono::duration_cast<Duration>(now - state.started);
}

std::vector<RolloutReport> RolloutController::reports(TimePoint now) const
{
    std::vector<RolloutReport> result;
    for (const auto& [service, state] : m_states) {
        const auto& order = state.rollout.order();
        RolloutReport report { service, order.target, order.duration.count(), order.id, state.rollout.phase(), elapsed(state, now).count(),
            {}, order.era };
        for (const auto& [route, tally] : state.own) {
            if (!state.isEndRecorded())
                report.routes.push_back(tally);
        }
        result.push_back(std::move(report));
    }
    return result;
}

std::vector<std::string> RolloutController::tick(
    TimePoint now, bool mayJudge, const ServicePredicate& isLeader, const ServicePredicate& isStableVersionIdle)
{
    std::vector<std::string> changed;
    for (auto& [service, state] : m_states) {
        const auto before = state.rollout.phase();
        if (mayJudge)
            state.rollout.observe(totals(state));
        const bool mayLead = state.isRecordRead && isLeader(service);
        state.rollout.advance(elapsed(state, now), mayLead);
        state.isStableVersionIdle = state.rollout.phase() == RolloutPhase::Moving && isStableVersionIdle(service);
        logPhase(state, before, now);
        const bool isDue = duePhase(state, now).has_value();
        if (!isDue)
            state.dueSince.reset();
        else if (!state.dueSince)
            state.dueSince = now;
        if (state.rulePhase != state.rollout.phase()) {
            state.rulePhase = state.rollout.phase();
            changed.push_back(service);
        }
    }
    return changed;
}

void RolloutController::logPhase(const State& state, RolloutPhase before, TimePoint now)
{
    const auto& rollout = state.rollout;
    if (rollout.phase() == before)
        return;
    const auto& event = rollout.phase() == RolloutPhase::TakenBack ? events::rolloutTakenBack
        : rollout.phase() == RolloutPhase::Completed               ? events::rolloutFinished
                                                                   : events::rolloutStep;
    m_log.write(event,
        { { "service", rollout.order().service }, { "order", rollout.order().id }, { "target", rollout.order().target },
            { "phase", toString(rollout.phase()) }, { "reason", rollout.reason() }, { "elapsedMs", elapsed(state, now).count() } });
}

VersionRules RolloutController::rules() const
{
    VersionRules result;
    for (const auto& [service, state] : m_states) {
        const auto& order = state.rollout.order();
        result[service] = { order.target, state.rollout.phase(), service + "@" + std::to_string(order.id) };
    }
    return result;
}

int64_t RolloutController::headroom(const std::string& service) const
{
    const auto found = m_states.find(service);
    const bool mayTry = found != m_states.end() && found->second.isRecordRead && found->second.rollout.phase() == RolloutPhase::Trial;
    return mayTry ? found->second.rollout.headroom() : 0;
}

std::vector<RolloutOrder> RolloutController::unfinishedOrders() const
{
    std::vector<RolloutOrder> orders;
    for (const auto& [service, state] : m_states) {
        if (!state.isEndRecorded())
            orders.push_back(state.rollout.order());
    }
    return orders;
}

bool RolloutController::isUndecided(const std::string& service) const
{
    const auto found = m_states.find(service);
    return found != m_states.end() && !isFinal(found->second.rollout.phase());
}

// Returns the phase that is missing in the record: the start, or the final phase once it is certain.
std::optional<RolloutPhase> RolloutController::duePhase(const State& state, TimePoint now) const
{
    if (!state.isRecordRead || state.isEndRecorded())
        return std::nullopt;
    if (isFinal(state.rollout.phase()))
        return state.rollout.phase();
    if (state.rollout.isReadyToComplete(elapsed(state, now), state.isStableVersionIdle))
        return RolloutPhase::Completed;
    return state.recordedPhase ? std::nullopt : std::optional(RolloutPhase::Trial);
}

std::vector<RolloutStatus> RolloutController::dueRecords(TimePoint now, const ServicePredicate& mayWrite) const
{
    std::vector<RolloutStatus> result;
    for (const auto& [service, state] : m_states) {
        const auto phase = duePhase(state, now);
        const bool isOverdue = state.dueSince && now - *state.dueSince >= writeFallbackDelay;
        if (phase && (mayWrite(service) || isOverdue))
            result.push_back({ state.rollout.order(), *phase });
    }
    return result;
}

} // namespace bronzeswitch
