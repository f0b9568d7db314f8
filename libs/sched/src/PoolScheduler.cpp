#include <algorithm>
#include <base/Hash.h>
#include <limits>
#include <sched/PoolScheduler.h>

namespace bronzeswitch {

namespace {

constexpr double largestReserveShare = 0.125; // Of the pool's places, kept free for the highest rank.
constexpr double peakDecayPerTick = 0.99;
constexpr double loadSpreadSeconds = 0.2; // Cost of a full upstream against an idle one.
constexpr double lengthMargin = 1.6; // Answers are often longer than expected.
constexpr double nearFastest = 1.25;
constexpr double targetUse = 0.8; // Part of the target latency that reading the prompt may take.
constexpr double readingWeight = 0.5; // Prompts that are read again hold up the other requests there.
constexpr double lateSeconds = 2; // What a late first token counts against a later end.
constexpr double otherDataCentreSeconds = 0.004; // Two crossings more, and bytes that cost.
constexpr Duration placeGrace { 5000 };
constexpr Duration oldestUsableReport { 10000 };
constexpr Duration historySpan { 12000 };
constexpr int foreignTolerance = 1;
constexpr Duration unusedPlaceAge { 1000 }; // Until then the node's report may be older than its place.
constexpr Duration retryFloor { 200 };
constexpr Duration retryCeiling { 30000 };

// A late ask that has waited for half of its caller's patience is better told to come back after the burst.
bool mayStartElsewhere(const Waiter& waiter, TimePoint now)
{
    constexpr int patienceParts = 2;
    return waiter.ask.startTimeoutMs > 0 && now - waiter.arrived > Duration(waiter.ask.startTimeoutMs / patienceParts);
}

// Spread, so that the callers of a burst do not come back together.
int64_t comeBackMs(const Waiter& waiter)
{
    constexpr int64_t soonestMs = 1000;
    constexpr uint64_t spreadMs = 3000;
    return soonestMs + static_cast<int64_t>(stableHash(waiter.node, waiter.ask.id) % spreadMs);
}

} // namespace

PoolScheduler::PoolScheduler(TimePoint settleUntil)
    : m_settleUntil(settleUntil)
    , m_waiting([this](const std::string& organisation) { return weightOf(organisation); })
{
}

double PoolScheduler::weightOf(const std::string& organisation) const
{
    const auto found = std::find_if(
        m_plan.organisations.begin(), m_plan.organisations.end(), [&](const Organisation& item) { return item.name == organisation; });
    return found == m_plan.organisations.end() ? 1 : found->weight;
}

const VersionPlan* PoolScheduler::versionPlan(const std::string& route) const
{
    const auto found
        = std::find_if(m_plan.versions.begin(), m_plan.versions.end(), [&](const VersionPlan& plan) { return plan.route == route; });
    return found == m_plan.versions.end() ? nullptr : &*found;
}

PlaceDecisions PoolScheduler::configure(const PoolPlan& plan, TimePoint now)
{
    m_plan = plan;
    m_waiting.setLowerRankShare(plan.lowerRankShare);
    std::set<std::string> names;
    for (const auto& upstream : plan.upstreams) {
        names.insert(upstream.name);
        const auto [entry, isNew] = m_upstreams.try_emplace(upstream.name, upstream, plan);
        if (isNew)
            continue;
        // A reporting upstream runs its old version until it reports the new one.
        if (!upstream.reportsLoad)
            entry->second.version = upstream.version;
        entry->second.config = upstream;
        entry->second.limit.setSlots(upstream.slots);
    }
    for (auto& [name, state] : m_upstreams) {
        if (!names.contains(name))
            state.config.leaving = true;
    }
    std::erase_if(m_upstreams, [&](const auto& entry) { return !names.contains(entry.first) && !entry.second.counts.load(); });
    return tick(now);
}

PlaceDecisions PoolScheduler::ask(const std::string& node, const SlotRequest& ask, TimePoint now)
{
    if (const auto place = m_places.find({ node, ask.id }); place != m_places.end())
        return { { node, SlotGrant { ask.id, place->second.upstream, place->second.version, place->second.rollout } } };
    if (m_waiting.contains(node, ask.id))
        return {};
    m_topRank = std::min(m_topRank, ask.rank);
    const Waiter waiter { node, ask, now, now + Duration(ask.deadlineMs), 0 };
    if (const auto refusal = hopeless(waiter, now))
        return { { node, *refusal } };
    PlaceDecisions decisions;
    if (m_waiting.size() >= static_cast<size_t>(m_plan.limits.queuePerPool)) {
        decisions.push_back(*makeRoom(waiter));
        if (decisions.back().node == node && std::get<SlotRefusal>(decisions.back().answer).id == ask.id)
            return decisions;
    }
    m_waiting.push(waiter);
    if (m_wasFull)
        return decisions;
    auto granted = grantWaiting(now);
    decisions.insert(decisions.end(), granted.begin(), granted.end());
    return decisions;
}

// Sheds the worst waiter, which may be the newcomer itself.
std::optional<PlaceDecision> PoolScheduler::makeRoom(const Waiter& newcomer)
{
    m_waiting.push(newcomer);
    const auto worst = m_waiting.popWorst();
    const bool isNewcomer = worst->node == newcomer.node && worst->ask.id == newcomer.ask.id;
    if (!isNewcomer)
        m_waiting.removeIf([&](const Waiter& waiter) { return waiter.node == newcomer.node && waiter.ask.id == newcomer.ask.id; });
    const auto reason = isNewcomer ? RefusalReason::QueueFull : RefusalReason::Evicted;
    const auto retry = std::clamp(estimatedWait(worst->ask.rank, {}), retryFloor, retryCeiling);
    return PlaceDecision { worst->node, SlotRefusal { worst->ask.id, reason, retry.count() } };
}

Duration PoolScheduler::estimatedWait(int rank, TimePoint now) const
{
    double tokensPerSecond = 0;
    for (const auto& [name, state] : m_upstreams) {
        if (!state.config.leaving)
            tokensPerSecond += state.limit.value(now) * millisecondsPerSecond / state.speed.betweenTokensMs();
    }
    if (tokensPerSecond <= 0)
        return retryCeiling;
    return Duration(static_cast<int64_t>(millisecondsPerSecond * static_cast<double>(m_waiting.tokensUpTo(rank)) / tokensPerSecond));
}

// A waiter is hopeless when no upstream could run it, or none could finish it before its deadline.
std::optional<SlotRefusal> PoolScheduler::hopeless(const Waiter& waiter, TimePoint now) const
{
    const auto* plan = versionPlan(waiter.ask.route);
    if (!plan)
        return SlotRefusal { waiter.ask.id, RefusalReason::NoUpstream, retryFloor.count() };
    double best = std::numeric_limits<double>::max();
    double bestStart = best;
    for (const auto& [name, state] : m_upstreams) {
        const bool isUsableNow = isUsable(state, waiter, *plan, plan->stable) || isUsable(state, waiter, *plan, plan->candidate);
        if (!isUsableNow)
            continue;
        best = std::min(best, serviceSeconds(state, waiter.ask));
        bestStart = std::min(bestStart, firstTokenSeconds(state, waiter.ask, now));
    }
    if (best == std::numeric_limits<double>::max())
        return SlotRefusal { waiter.ask.id, RefusalReason::NoUpstream, retryFloor.count() };
    const auto toTime
        = [](double seconds) { return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds)); };
    const bool isStartPossible
        = !waiter.ask.startTimeoutMs || now + toTime(bestStart) <= waiter.arrived + Duration(waiter.ask.startTimeoutMs);
    if (isStartPossible && now + toTime(best) <= waiter.deadline)
        return std::nullopt;
    const auto retry = std::clamp(estimatedWait(waiter.ask.rank, now), retryFloor, retryCeiling);
    return SlotRefusal { waiter.ask.id, RefusalReason::DeadlineTooShort, retry.count() };
}

double PoolScheduler::serviceSeconds(const UpstreamState& state, const SlotRequest& ask) const
{
    return state.speed.prefillSeconds(uncachedTokens(state, ask)) + state.speed.decodeSeconds(ask.outputTokens);
}

int PoolScheduler::uncachedTokens(const UpstreamState& state, const SlotRequest& ask) const
{
    return std::max(0, ask.promptTokens - state.prefixes.cachedTokens(ask.prefixes));
}

// Prompts are read in the order of their dispatch, whoever dispatched them.
double PoolScheduler::firstTokenSeconds(const UpstreamState& state, const SlotRequest& ask, TimePoint now) const
{
    const double backlog = std::max(state.speed.backlogSeconds(now), toSeconds(state.backlogUntil - now));
    return backlog + state.speed.prefillSeconds(uncachedTokens(state, ask));
}

// The expected time of the whole answer, with a term that keeps one upstream from taking all, and one for a late start.
double PoolScheduler::placeCost(const UpstreamState& state, const SlotRequest& ask, TimePoint now) const
{
    const double first = firstTokenSeconds(state, ask, now);
    const bool isLate
        = ask.firstTokenTargetMs > 0 && first * millisecondsPerSecond > targetUse * static_cast<double>(ask.firstTokenTargetMs);
    const double load = loadSpreadSeconds * (state.load() + 1) / std::max(1, state.limit.value(now));
    const double reading = readingWeight * state.speed.prefillSeconds(uncachedTokens(state, ask));
    return first + reading + state.speed.decodeSeconds(ask.outputTokens) + load + (isLate ? lateSeconds : 0)
        + (isNear(state) ? 0 : otherDataCentreSeconds);
}

bool PoolScheduler::isUsable(const UpstreamState& state, const Waiter& waiter, const VersionPlan& plan, const std::string& version) const
{
    if (state.config.leaving || state.isClosed || version.empty() || state.version != version || state.config.model != plan.model)
        return false;
    const auto& excluded = waiter.ask.excluded;
    return std::find(excluded.begin(), excluded.end(), state.config.name) == excluded.end();
}

bool PoolScheduler::hasRoom(const UpstreamState& state, TimePoint now) const { return state.load() < state.limit.value(now); }

int PoolScheduler::topInFlight() const
{
    const auto found = m_placesOfRank.find(m_topRank);
    return found == m_placesOfRank.end() ? 0 : found->second;
}

void PoolScheduler::notePeak() { m_topPeak = std::max<double>(m_topPeak, topInFlight()); }

// Places that the highest rank held lately and may want again at once are not given to lower ranks.
bool PoolScheduler::isReserved(int rank, TimePoint now) const
{
    if (rank <= m_topRank)
        return false;
    int places = 0;
    for (const auto& [name, state] : m_upstreams)
        places += state.config.leaving ? 0 : state.limit.value(now);
    const double reserve = std::min(m_topPeak - topInFlight(), largestReserveShare * places);
    return reserve >= 1 && static_cast<double>(m_places.size()) + reserve >= places;
}

double PoolScheduler::fastestService(const Waiter& waiter, const VersionPlan& plan, const std::string& version) const
{
    double fastest = std::numeric_limits<double>::max();
    for (const auto& [name, state] : m_upstreams) {
        if (isUsable(state, waiter, plan, version))
            fastest = std::min(fastest, serviceSeconds(state, waiter.ask));
    }
    return fastest;
}

bool PoolScheduler::fits(
    const UpstreamState& state, const Waiter& waiter, const VersionPlan& plan, const std::string& version, TimePoint now) const
{
    if (!isUsable(state, waiter, plan, version) || !hasRoom(state, now))
        return false;
    const double secondsLeft = toSeconds(waiter.deadline - now);
    const double service = serviceSeconds(state, waiter.ask);
    if (lengthMargin * service <= secondsLeft)
        return true;
    return service <= secondsLeft && service <= nearFastest * fastestService(waiter, plan, version);
}

// Looks at one upstream only where all others are known to have no room.
PoolScheduler::UpstreamState* PoolScheduler::bestOf(
    const Waiter& waiter, const VersionPlan& plan, const std::string& version, UpstreamState* only, TimePoint now)
{
    if (isReserved(waiter.ask.rank, now))
        return nullptr;
    m_examined += only ? 1 : m_upstreams.size();
    if (only)
        return fits(*only, waiter, plan, version, now) ? only : nullptr;
    UpstreamState* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [name, state] : m_upstreams) {
        if (!fits(state, waiter, plan, version, now))
            continue;
        const double cost = placeCost(state, waiter.ask, now);
        const bool isBetter = cost < bestCost || (cost == bestCost && state.lastGrant < best->lastGrant);
        if (isBetter) {
            bestCost = cost;
            best = &state;
        }
    }
    return best;
}

PoolScheduler::Choice PoolScheduler::choose(const Waiter& waiter, UpstreamState* only, TimePoint now)
{
    const auto* plan = versionPlan(waiter.ask.route);
    if (!plan)
        return {};
    if (m_candidates.mayUse(*plan)) {
        if (auto* upstream = bestOf(waiter, *plan, plan->candidate, only, now))
            return { upstream, true };
    }
    return { bestOf(waiter, *plan, plan->stable, only, now), false };
}

// After one ask of a kind found no room, the others of that kind are passed over.
PlaceDecisions PoolScheduler::offer(UpstreamState* only, TimePoint now)
{
    PlaceDecisions decisions;
    if (now < m_settleUntil)
        return decisions;
    std::set<WaitingKind> blocked;
    m_waiting.drain([&](const Waiter& waiter) {
        const WaitingKind kind { waiter.ask.route, waiter.ask.rank };
        if (blocked.contains(kind))
            return WaitingQueue::Offer::Skip;
        const auto choice = choose(waiter, only, now);
        if (!choice.upstream) {
            blocked.insert(kind);
            return WaitingQueue::Offer::Skip;
        }
        decisions.push_back({ waiter.node, grant(waiter, choice, now) });
        return WaitingQueue::Offer::Take;
    });
    return decisions;
}

bool PoolScheduler::isFull(TimePoint now) const
{
    return std::none_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& item) { return hasRoom(item.second, now); });
}

PlaceDecisions PoolScheduler::grantWaiting(TimePoint now)
{
    auto decisions = offer(nullptr, now);
    m_wasFull = m_waiting.size() > 0 && isFull(now);
    return decisions;
}

// A place that comes free at one upstream is of use there only, so the work for it does not grow with the pool.
PlaceDecisions PoolScheduler::grantFreed(const std::string& upstream, TimePoint now)
{
    const auto state = m_upstreams.find(upstream);
    if (!m_wasFull || state == m_upstreams.end())
        return grantWaiting(now);
    auto decisions = offer(&state->second, now);
    m_wasFull = !hasRoom(state->second, now);
    return decisions;
}

SlotGrant PoolScheduler::grant(const Waiter& waiter, const Choice& choice, TimePoint now)
{
    const auto& plan = *versionPlan(waiter.ask.route);
    m_candidates.onGrant(plan, choice.isCandidate);
    auto& state = *choice.upstream;
    state.speed.onDispatch(uncachedTokens(state, waiter.ask), now);
    state.prefixes.onDispatch(waiter.ask.prefixes);
    state.lastGrant = now;
    const auto& rollout = plan.candidate.empty() ? std::string() : plan.rollout;
    addPlace({ waiter.node, waiter.ask, state.config.name, state.version, rollout, now, waiter.deadline + placeGrace });
    return { waiter.ask.id, state.config.name, state.version, rollout };
}

void PoolScheduler::addPlace(Place place)
{
    const auto state = m_upstreams.find(place.upstream);
    if (state != m_upstreams.end())
        state->second.counts.addPlace(place.node);
    countPlace(place, 1);
    const PlaceKey key { place.node, place.ask.id };
    m_places.emplace(key, std::move(place));
    notePeak();
}

void PoolScheduler::freePlace(const Place& place)
{
    const auto state = m_upstreams.find(place.upstream);
    if (state != m_upstreams.end())
        state->second.counts.removePlace(place.node);
    countPlace(place, -1);
}

void PoolScheduler::countPlace(const Place& place, int change)
{
    auto& count = m_placesOfRank[place.ask.rank];
    count += change;
    if (count <= 0)
        m_placesOfRank.erase(place.ask.rank);
}

void PoolScheduler::cancel(const std::string& node, uint64_t askId)
{
    m_waiting.removeIf([&](const Waiter& waiter) { return waiter.node == node && waiter.ask.id == askId; });
}

PlaceDecisions PoolScheduler::done(const std::string& node, const SlotRelease& done, TimePoint now, std::optional<Place>* ended)
{
    const auto found = m_places.find({ node, done.id });
    if (found == m_places.end())
        return {};
    const Place place = found->second;
    m_places.erase(found);
    if (const auto state = m_upstreams.find(place.upstream); state != m_upstreams.end())
        learn(state->second, done, now);
    freePlace(place);
    if (ended)
        *ended = place;
    return grantFreed(place.upstream, now);
}

void PoolScheduler::learn(UpstreamState& state, const SlotRelease& done, TimePoint now)
{
    if (done.outcome == DispatchOutcome::Failed || done.outcome == DispatchOutcome::Unreachable) {
        state.limit.onFailure(now);
        return;
    }
    if (done.outcome != DispatchOutcome::Completed)
        return;
    state.limit.onSample(Duration(done.firstTokenMs), std::chrono::microseconds(done.betweenTokensUs), state.counts.places(), now);
    state.speed.onAnswer(done.betweenTokensUs / millisecondsPerSecond);
}

void PoolScheduler::hold(const std::string& node, const SlotInUse& held, TimePoint now)
{
    if (m_places.contains({ node, held.request.id }))
        return;
    addPlace({ node, held.request, held.upstream, held.version, held.rollout, now, now + Duration(held.request.deadlineMs) + placeGrace });
}

PlaceDecisions PoolScheduler::nodeLost(const std::string& node, TimePoint now)
{
    m_waiting.removeIf([&](const Waiter& waiter) { return waiter.node == node; });
    for (auto place = m_places.begin(); place != m_places.end();) {
        if (place->first.first != node) {
            ++place;
            continue;
        }
        freePlace(place->second);
        place = m_places.erase(place);
    }
    for (auto& [name, state] : m_upstreams)
        state.counts.forgetReport(node);
    return grantWaiting(now);
}

void PoolScheduler::report(const std::string& upstream, const LoadReport& report, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto& state = found->second;
    if (!report.version.empty())
        state.version = report.version;
    if (report.age > oldestUsableReport) {
        state.foreign = 0;
        return;
    }
    // A report describes the past, so it is compared with what was in flight then.
    const auto measured = now - report.age;
    int inFlightThen = state.counts.places();
    for (const auto& [time, count] : state.inFlightHistory) {
        if (time <= measured)
            inFlightThen = count;
    }
    state.foreign = std::max(0, report.running + report.waiting - std::max(inFlightThen, state.counts.places()) - foreignTolerance);
}

void PoolScheduler::cacheEvent(const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix)
{
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.prefixes.onEvent(sequence, isStored, prefix);
}

int64_t PoolScheduler::nextCacheEvent(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 1 : found->second.prefixes.nextEvent();
}

PlaceDecisions PoolScheduler::setNodeLoads(const std::string& node, const std::map<std::string, NodeLoad>& loads, TimePoint now)
{
    for (auto& [name, state] : m_upstreams) {
        const auto found = loads.find(name);
        const auto load = found == loads.end() ? NodeLoad {} : found->second;
        state.counts.setReported(node, load.running);
        const auto backlog = std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(load.backlogSeconds));
        state.backlogUntil = std::max(state.backlogUntil, now + backlog);
        state.speed.onSuggestion(load.betweenTokensMs);
    }
    const bool isAnyFreed = freeUnusedPlaces(node, now);
    return isAnyFreed || !m_wasFull ? grantWaiting(now) : PlaceDecisions {};
}

void PoolScheduler::setReported(const std::string& node, const std::string& upstream, int running)
{
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.counts.setReported(node, running);
}

// The end of a dispatch may not have been heard of, or its grant may never have arrived.
bool PoolScheduler::freeUnusedPlaces(const std::string& node, TimePoint now)
{
    bool isAnyFreed = false;
    std::map<std::string, int> held;
    for (auto place = m_places.lower_bound({ node, 0 }); place != m_places.end() && place->first.first == node;) {
        const auto state = m_upstreams.find(place->second.upstream);
        const int reported = state == m_upstreams.end() ? 0 : state->second.counts.reported(node);
        const bool isUnused = now - place->second.granted > unusedPlaceAge && ++held[place->second.upstream] > reported;
        if (!isUnused) {
            ++place;
            continue;
        }
        isAnyFreed = true;
        freePlace(place->second);
        place = m_places.erase(place);
    }
    return isAnyFreed;
}

std::map<std::string, NodeLoad> PoolScheduler::learned(TimePoint now) const
{
    std::map<std::string, NodeLoad> result;
    for (const auto& [name, state] : m_upstreams) {
        const NodeLoad load { 0, state.speed.backlogSeconds(now), state.speed.learned().value_or(0) };
        if (load != NodeLoad {})
            result[name] = load;
    }
    return result;
}

bool PoolScheduler::isNear(const UpstreamState& state) const
{
    return m_plan.dataCentre.empty() || state.config.dataCentre == m_plan.dataCentre;
}

void PoolScheduler::setClosed(const std::string& upstream, bool isClosed)
{
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.isClosed = isClosed;
}

std::vector<Upstream> PoolScheduler::wrongVersions() const
{
    std::vector<Upstream> result;
    for (const auto& [name, state] : m_upstreams) {
        if (state.config.kind == UpstreamKind::Engine && !state.config.leaving && state.version != state.config.version)
            result.push_back(state.config);
    }
    return result;
}

void PoolScheduler::allowCandidate(const std::string& rollout, int64_t places) { m_candidates.allow(rollout, places); }

int PoolScheduler::load(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.counts.load();
}

void PoolScheduler::stopRollout(const std::string& rollout) { m_candidates.stop(rollout); }

PlaceDecisions PoolScheduler::tick(TimePoint now)
{
    PlaceDecisions decisions;
    for (const auto& waiter : m_waiting.removeIf([&](const Waiter& item) { return hopeless(item, now).has_value(); }))
        decisions.push_back({ waiter.node, *hopeless(waiter, now) });
    for (const auto& waiter : m_waiting.removeLateIf([&](const Waiter& item) { return mayStartElsewhere(item, now); }))
        decisions.push_back({ waiter.node, SlotRefusal { waiter.ask.id, RefusalReason::Overloaded, comeBackMs(waiter) } });
    for (auto place = m_places.begin(); place != m_places.end();) {
        if (place->second.expires > now) {
            ++place;
            continue;
        }
        freePlace(place->second);
        place = m_places.erase(place);
    }
    m_topPeak = std::max<double>(m_topPeak * peakDecayPerTick, topInFlight());
    for (auto& [name, state] : m_upstreams) {
        state.inFlightHistory.emplace_back(now, state.counts.places());
        while (state.inFlightHistory.front().first < now - historySpan)
            state.inFlightHistory.pop_front();
    }
    m_waiting.sort(now);
    auto granted = grantWaiting(now);
    decisions.insert(decisions.end(), granted.begin(), granted.end());
    return decisions;
}

PlaceDecisions PoolScheduler::refuseAll(RefusalReason reason)
{
    PlaceDecisions decisions;
    for (const auto& waiter : m_waiting.removeIf([](const Waiter&) { return true; }))
        decisions.push_back({ waiter.node, SlotRefusal { waiter.ask.id, reason, 0 } });
    return decisions;
}

int PoolScheduler::inFlight(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.counts.places();
}

std::vector<UpstreamSummary> PoolScheduler::summaries(TimePoint now) const
{
    std::vector<UpstreamSummary> result;
    for (const auto& [name, state] : m_upstreams)
        result.push_back({ name, state.version, state.counts.places(), state.limit.value(now), state.speed.betweenTokensMs() });
    return result;
}

} // namespace bronzeswitch
