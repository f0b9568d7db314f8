#include <algorithm>
#include <limits>
#include <sched/PoolScheduler.h>

namespace bronzeswitch {

namespace {

constexpr double maxReserveShare = 0.125; // Share of the pool's slots that may be kept free for the highest rank.
constexpr double peakDecayPerTick = 0.99;
constexpr double fullLoadPenaltySeconds = 0.2; // Cost of an upstream at its limit; proportionally less below it.
constexpr double responseLengthMargin = 1.6; // Responses are often longer than expected.
constexpr double nearFastestFactor = 1.25; // An upstream within this factor of the fastest one's time needs no such margin.
constexpr double firstTokenShareOfTarget = 0.8; // Share of the target latency that the expected time to the first token may use.
constexpr double prefillInterferenceWeight = 0.5; // Prefill of an uncached prompt delays the other requests at the upstream.
constexpr double latePenaltySeconds = 2; // Cost of a late first token, expressed as additional response time.
constexpr double remoteDataCentrePenaltySeconds = 0.004; // Two more trips between data centres, and traffic that is billed.
constexpr double suspectPenaltySeconds = 10; // More than any other penalty.
constexpr Duration expiryGrace { 5000 }; // Time after its deadline until a slot that was not released is freed.
constexpr Duration minUnusedSlotAge { 1000 }; // The node's latest report may be older than a younger slot.
} // namespace

PoolScheduler::PoolScheduler(TimePoint settleUntil)
    : m_settleUntil(settleUntil)
    , m_queue([this](const std::string& organisation) { return weightOf(organisation); })
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

SlotDecisions PoolScheduler::configure(const PoolPlan& plan, TimePoint now)
{
    m_plan = plan;
    configureAdmission();
    m_admission.tick(m_queue, plan.lowerRankShare, now);
    std::set<std::string> names;
    for (const auto& upstream : plan.upstreams) {
        names.insert(upstream.name);
        const auto [entry, isNew] = m_upstreams.try_emplace(upstream.name, upstream, plan);
        if (!isNew)
            entry->second.configure(upstream, plan);
        entry->second.learnsCapacity = m_learnsCapacity;
    }
    updateLearning();
    for (auto& [name, state] : m_upstreams) {
        if (!names.contains(name))
            state.config.leaving = true;
    }
    std::erase_if(m_upstreams, [&](const auto& entry) { return !names.contains(entry.first) && !entry.second.inFlight.load(); });
    return tick(now);
}

SlotDecisions PoolScheduler::requestSlot(const std::string& node, const SlotRequest& request, TimePoint now)
{
    if (const auto slot = m_slots.find({ node, request.id }); slot != m_slots.end())
        return { { node,
            SlotGrant { request.id, slot->second.upstream, slot->second.version, slot->second.rollout, slot->second.waitedMs } } };
    if (m_queue.contains(node, request.id))
        return {};
    m_topRank = std::min(m_topRank, request.rank);
    Waiter waiter { node, request, now, now + Duration(request.deadlineMs), 0 };
    const auto times = fastestTimes(waiter, now);
    m_admission.recogniseReturn(waiter, now);
    if (const auto reason = AdmissionControl::refusalIfInfeasible(waiter, times, now); reason && !m_admission.makeProbe(waiter, *reason))
        return { refuse(waiter, *reason, now) };
    if (m_wasFull) {
        if (const auto reason = m_admission.refusalIfLate(waiter, *times, m_queue, false, now))
            return { refuse(waiter, *reason, now) };
    }
    m_queue.push(waiter);
    SlotDecisions decisions;
    if (m_queue.size() > static_cast<size_t>(m_plan.limits.queuePerPool)) {
        const auto evicted = *m_queue.evict();
        const bool isNewcomer = evicted.node == node && evicted.request.id == request.id;
        decisions.push_back(refuse(evicted, isNewcomer ? RefusalReason::QueueFull : RefusalReason::Evicted, now));
        if (isNewcomer)
            return decisions;
    }
    if (m_wasFull)
        return decisions;
    const auto granted = grantOnAll(now);
    decisions.insert(decisions.end(), granted.begin(), granted.end());
    if (m_slots.contains({ node, request.id }) || now < m_settleUntil)
        return decisions;
    if (const auto reason = m_admission.refusalIfLate(waiter, *times, m_queue, true, now)) {
        cancel(node, request.id);
        decisions.push_back(refuse(waiter, *reason, now));
    }
    return decisions;
}

SlotDecision PoolScheduler::refuse(const Waiter& waiter, RefusalReason reason, TimePoint now)
{
    const auto wait = m_admission.hasForecast(now) ? Duration(0) : estimatedWait(waiter.request.rank, now);
    return { waiter.node, SlotRefusal { waiter.request.id, reason, m_admission.retryAfter(waiter, reason, wait, now).count() } };
}

Duration PoolScheduler::estimatedWait(int rank, TimePoint now) const
{
    double tokensPerSecond = 0;
    for (const auto& [name, state] : m_upstreams) {
        if (state.config.takesRequests())
            tokensPerSecond += state.limit(now) * millisecondsPerSecond / state.speed.betweenTokensMs();
    }
    if (tokensPerSecond <= 0)
        return Duration::max();
    return Duration(static_cast<int64_t>(millisecondsPerSecond * static_cast<double>(m_queue.tokensUpTo(rank)) / tokensPerSecond));
}

std::optional<FastestTimes> PoolScheduler::fastestTimes(const Waiter& waiter, TimePoint now) const
{
    const auto* plan = versionPlan(waiter.request.route);
    std::optional<FastestTimes> fastest;
    for (auto entry = m_upstreams.begin(); plan && entry != m_upstreams.end(); ++entry) {
        const auto& state = entry->second;
        if (!isUsable(state, waiter, *plan, plan->stable) && !isUsable(state, waiter, *plan, plan->candidate))
            continue;
        const FastestTimes times { state.serviceSeconds(waiter.request), state.firstTokenSeconds(waiter.request, now) };
        if (!fastest)
            fastest = times;
        fastest->serviceSeconds = std::min(fastest->serviceSeconds, times.serviceSeconds);
        fastest->firstTokenSeconds = std::min(fastest->firstTokenSeconds, times.firstTokenSeconds);
    }
    return fastest;
}

// The expected time of the whole response in seconds, plus penalties for load, which spreads requests over the upstreams, for a
// late first token and for another data centre.
double PoolScheduler::expectedCost(const UpstreamState& state, const SlotRequest& request, TimePoint now) const
{
    const double untilFirstToken = state.firstTokenSeconds(request, now);
    const double firstToken = state.atPresentPace(untilFirstToken, now);
    const bool isLikelyLate = request.firstTokenTargetMs > 0
        && firstToken * millisecondsPerSecond > firstTokenShareOfTarget * static_cast<double>(request.firstTokenTargetMs);
    const double interference = prefillInterferenceWeight * state.speed.prefillSeconds(state.uncachedTokens(request));
    const double response = state.atPresentPace(untilFirstToken + interference + state.speed.decodeSeconds(request.outputTokens), now);
    return response + state.plainServiceSeconds(now) + fullLoadPenaltySeconds * state.usage(request, m_plan, now)
        + (isLikelyLate ? latePenaltySeconds : 0) + (isInPreferredDataCentre(state, request) ? 0 : remoteDataCentrePenaltySeconds)
        + (m_suspects.contains(state.config.name) ? suspectPenaltySeconds : 0);
}

bool PoolScheduler::isUsable(const UpstreamState& state, const Waiter& waiter, const VersionPlan& plan, const std::string& version) const
{
    if (!state.config.takesRequests() || state.isPaused || version.empty() || state.version != version || state.config.model != plan.model)
        return false;
    const auto& excluded = waiter.request.excluded;
    // A request that exceeds an empty engine's memory would crash it.
    if (m_plan.memoryTokens > 0 && heldTokensOf(waiter.request) >= m_plan.memoryTokens)
        return false;
    return std::find(excluded.begin(), excluded.end(), state.config.name) == excluded.end();
}

int PoolScheduler::topRankInFlight() const
{
    const auto found = m_slotsByRank.find(m_topRank);
    return found == m_slotsByRank.end() ? 0 : found->second;
}

void PoolScheduler::updateTopRankPeak() { m_topRankPeak = std::max<double>(m_topRankPeak, topRankInFlight()); }

// Keeps slots free that the highest rank used recently and may need again at once; lower ranks don't get them.
bool PoolScheduler::isReservedForTopRank(int rank, TimePoint now) const
{
    if (rank <= m_topRank)
        return false;
    int slots = 0;
    for (const auto& [name, state] : m_upstreams)
        slots += state.config.takesRequests() ? state.limit(now) : 0;
    const double reserve = std::min(m_topRankPeak - topRankInFlight(), maxReserveShare * slots);
    return reserve >= 1 && static_cast<double>(m_slots.size()) + reserve >= slots;
}

double PoolScheduler::fastestServiceSeconds(const Waiter& waiter, const VersionPlan& plan, const std::string& version, TimePoint now) const
{
    double fastest = std::numeric_limits<double>::max();
    for (const auto& [name, state] : m_upstreams) {
        if (isUsable(state, waiter, plan, version))
            fastest = std::min(fastest, state.atPresentPace(state.serviceSeconds(waiter.request), now));
    }
    return fastest;
}

bool PoolScheduler::canServe(
    const UpstreamState& state, const Waiter& waiter, const VersionPlan& plan, const std::string& version, TimePoint now) const
{
    if (!isUsable(state, waiter, plan, version) || !state.hasFreeSlot(m_plan, now) || !state.hasMemoryFor(waiter.request, m_plan))
        return false;
    const double secondsLeft = toSeconds(waiter.deadline - now);
    const double service = state.atPresentPace(state.serviceSeconds(waiter.request), now);
    if (waiter.isProbe || responseLengthMargin * service <= secondsLeft)
        return true;
    return service <= secondsLeft && service <= nearFastestFactor * fastestServiceSeconds(waiter, plan, version, now);
}

// Considers only the upstream `only` if it is set; the others are then known to be full.
UpstreamState* PoolScheduler::cheapestUpstream(
    const Waiter& waiter, const VersionPlan& plan, const std::string& version, UpstreamState* only, TimePoint now)
{
    if (isReservedForTopRank(waiter.request.rank, now))
        return nullptr;
    m_upstreamChecks += only ? 1 : m_upstreams.size();
    if (only)
        return canServe(*only, waiter, plan, version, now) ? only : nullptr;
    UpstreamState* best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    for (auto& [name, state] : m_upstreams) {
        if (!canServe(state, waiter, plan, version, now))
            continue;
        const double cost = expectedCost(state, waiter.request, now);
        const bool isBetter = cost < bestCost || (best && cost == bestCost && state.lastGrantAt < best->lastGrantAt);
        if (isBetter) {
            bestCost = cost;
            best = &state;
        }
    }
    return best;
}

PoolScheduler::Choice PoolScheduler::chooseUpstream(const Waiter& waiter, UpstreamState* only, TimePoint now)
{
    const auto* plan = versionPlan(waiter.request.route);
    if (!plan)
        return {};
    if (m_candidateShare.mayUse(*plan)) {
        if (auto* upstream = cheapestUpstream(waiter, *plan, plan->candidate, only, now))
            return { upstream, true };
    }
    return { cheapestUpstream(waiter, *plan, plan->stable, only, now), false };
}

// Once a request finds no slot, the remaining requests of its class are skipped.
SlotDecisions PoolScheduler::grantSlots(UpstreamState* only, TimePoint now)
{
    SlotDecisions decisions;
    if (now < m_settleUntil)
        return decisions;
    std::set<RequestClass> blockedClasses;
    m_queue.takeInOrder([&](const Waiter& waiter) {
        const RequestClass requestClass { waiter.request.route, waiter.request.rank };
        if (blockedClasses.contains(requestClass))
            return WaitingQueue::VisitResult::Skip;
        const auto choice = chooseUpstream(waiter, only, now);
        if (!choice.upstream) {
            blockedClasses.insert(requestClass);
            return WaitingQueue::VisitResult::Skip;
        }
        if (m_admission.isTooLate(waiter, choice.upstream->firstTokenSeconds(waiter.request, now), now)) {
            decisions.push_back(refuse(waiter, RefusalReason::Overloaded, now));
            return WaitingQueue::VisitResult::Drop;
        }
        decisions.push_back({ waiter.node, grant(waiter, choice, now) });
        return WaitingQueue::VisitResult::Take;
    });
    return decisions;
}

bool PoolScheduler::isFull(TimePoint now) const
{
    return std::none_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& item) { return item.second.hasFreeSlot(m_plan, now); });
}

SlotDecisions PoolScheduler::grantOnAll(TimePoint now)
{
    auto decisions = grantSlots(nullptr, now);
    m_wasFull = m_queue.size() > 0 && isFull(now);
    return decisions;
}

// While all upstreams are full, only the one that freed a slot is checked, so the cost does not grow with the pool.
SlotDecisions PoolScheduler::grantAfterRelease(const std::string& upstream, TimePoint now)
{
    const auto state = m_upstreams.find(upstream);
    if (!m_wasFull || state == m_upstreams.end())
        return grantOnAll(now);
    auto decisions = grantSlots(&state->second, now);
    m_wasFull = !state->second.hasFreeSlot(m_plan, now);
    return decisions;
}

SlotGrant PoolScheduler::grant(const Waiter& waiter, const Choice& choice, TimePoint now)
{
    const auto& plan = *versionPlan(waiter.request.route);
    m_candidateShare.onGrant(plan, choice.isCandidate);
    auto& state = *choice.upstream;
    state.onGrant(waiter.request, now);
    const int64_t waitedMs = state.coldStartLimit ? std::chrono::floor<Duration>(now - waiter.arrivedAt).count() : -1;
    const auto& rollout = plan.candidate.empty() ? std::string() : plan.rollout;
    m_admission.onGrant(waiter, now);
    addSlot({ waiter.node, waiter.request, state.config.name, state.version, rollout, now, waiter.deadline + expiryGrace, waitedMs });
    m_admission.setSlotsInUse(m_slots.size(), now);
    return { waiter.request.id, state.config.name, state.version, rollout, waitedMs };
}

void PoolScheduler::addSlot(GrantedSlot slot)
{
    const auto state = m_upstreams.find(slot.upstream);
    if (state != m_upstreams.end())
        state->second.addSlot(slot.node, slot.request);
    changeRankCount(slot, 1);
    const SlotKey key { slot.node, slot.request.id };
    m_slots.emplace(key, std::move(slot));
    updateTopRankPeak();
}

void PoolScheduler::uncountSlot(const GrantedSlot& slot)
{
    const auto state = m_upstreams.find(slot.upstream);
    if (state != m_upstreams.end())
        state->second.removeSlot(slot.node, slot.request);
    changeRankCount(slot, -1);
}

void PoolScheduler::changeRankCount(const GrantedSlot& slot, int change)
{
    auto& count = m_slotsByRank[slot.request.rank];
    count += change;
    if (count <= 0)
        m_slotsByRank.erase(slot.request.rank);
}

void PoolScheduler::cancel(const std::string& node, uint64_t slotRequestId)
{
    m_queue.removeIf([&](const Waiter& waiter) { return waiter.node == node && waiter.request.id == slotRequestId; });
}

SlotDecisions PoolScheduler::releaseSlot(
    const std::string& node, const SlotRelease& slotRelease, TimePoint now, std::optional<GrantedSlot>* ended)
{
    const auto found = m_slots.find({ node, slotRelease.id });
    if (found == m_slots.end())
        return {};
    const GrantedSlot slot = found->second;
    m_slots.erase(found);
    if (const auto state = m_upstreams.find(slot.upstream); state != m_upstreams.end())
        state->second.onRelease(slotRelease, m_plan, !m_pauses.overlaps(slot.grantedAt, now), now);
    uncountSlot(slot);
    m_admission.onRelease(slotRelease.outcome, std::chrono::floor<Duration>(now - slot.grantedAt), now);
    m_admission.setSlotsInUse(m_slots.size(), now);
    if (ended)
        *ended = slot;
    return grantAfterRelease(slot.upstream, now);
}

void PoolScheduler::restoreSlot(const std::string& node, const SlotInUse& slotInUse, TimePoint now)
{
    if (m_slots.contains({ node, slotInUse.request.id }))
        return;
    addSlot({ node, slotInUse.request, slotInUse.upstream, slotInUse.version, slotInUse.rollout, now,
        now + Duration(slotInUse.request.deadlineMs) + expiryGrace });
}

SlotDecisions PoolScheduler::removeNode(const std::string& node, TimePoint now)
{
    m_queue.removeIf([&](const Waiter& waiter) { return waiter.node == node; });
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        if (slot->first.first != node) {
            ++slot;
            continue;
        }
        uncountSlot(slot->second);
        slot = m_slots.erase(slot);
    }
    for (auto& [name, state] : m_upstreams)
        state.forgetNode(node);
    return grantOnAll(now);
}

void PoolScheduler::onLoadReport(const std::string& upstream, const LoadReport& report, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    found->second.onLoadReport(report, m_plan, now);
    m_isPaceKnown = m_isPaceKnown || report.pace;
    updateLearning();
}

void PoolScheduler::configureAdmission()
{
    const bool applies = !m_plan.admission.oncePaceIsStated || m_isPaceKnown;
    m_admission.configure(applies ? m_plan.admission : AdmissionSettings {});
}

// An upstream that states its pace shows that all of its pool do, even if this one has not answered yet.
void PoolScheduler::updateLearning()
{
    configureAdmission();
    const bool isOnce = m_plan.capacityLearning == CapacityLearning::OncePaceIsStated;
    const bool learnsCapacity = m_plan.capacityLearning == CapacityLearning::Always || (isOnce && m_isPaceKnown);
    if (learnsCapacity == m_learnsCapacity)
        return;
    m_learnsCapacity = learnsCapacity;
    for (auto& [name, state] : m_upstreams)
        state.learnsCapacity = learnsCapacity;
}

void PoolScheduler::onCacheEvent(const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix)
{
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.prefixCache.onEvent(sequence, isStored, prefix);
}

int64_t PoolScheduler::nextCacheEvent(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 1 : found->second.prefixCache.nextEvent();
}

SlotDecisions PoolScheduler::setNodeLoads(const std::string& node, const std::map<std::string, NodeLoad>& loads, TimePoint now)
{
    for (auto& [name, state] : m_upstreams) {
        const auto found = loads.find(name);
        state.setNodeLoad(node, found == loads.end() ? NodeLoad {} : found->second, now);
        m_isPaceKnown = m_isPaceKnown || state.pace.isKnown();
    }
    updateLearning();
    const bool isAnyFreed = freeUnusedSlots(node, now);
    return isAnyFreed || !m_wasFull ? grantOnAll(now) : SlotDecisions {};
}

void PoolScheduler::setReportedRunning(const std::string& node, const std::string& upstream, int running, int heldTokens)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    found->second.inFlight.setReported(node, running);
    found->second.heldTokens.setReported(node, heldTokens);
}

// Frees slots whose release, or whose grant, was lost on its way: the node holds more old slots than it reports as running.
bool PoolScheduler::freeUnusedSlots(const std::string& node, TimePoint now)
{
    bool isAnyFreed = false;
    std::map<std::string, int> heldSlots;
    for (auto slot = m_slots.lower_bound({ node, 0 }); slot != m_slots.end() && slot->first.first == node;) {
        const auto state = m_upstreams.find(slot->second.upstream);
        const int reported = state == m_upstreams.end() ? 0 : state->second.inFlight.reported(node);
        const bool isUnused = now - slot->second.grantedAt > minUnusedSlotAge && ++heldSlots[slot->second.upstream] > reported;
        if (!isUnused) {
            ++slot;
            continue;
        }
        isAnyFreed = true;
        uncountSlot(slot->second);
        slot = m_slots.erase(slot);
    }
    return isAnyFreed;
}

std::map<std::string, NodeLoad> PoolScheduler::upstreamEstimates(TimePoint now) const
{
    std::map<std::string, NodeLoad> result;
    for (const auto& [name, state] : m_upstreams) {
        if (const auto load = state.estimates(m_plan, now); load != NodeLoad {})
            result[name] = load;
    }
    return result;
}

bool PoolScheduler::isInPreferredDataCentre(const UpstreamState& state, const SlotRequest& request) const
{
    const auto& preferred = request.dataCentre.empty() ? m_plan.dataCentre : request.dataCentre;
    return preferred.empty() || state.config.dataCentre == preferred;
}

void PoolScheduler::setPaused(const std::string& upstream, bool isPaused)
{
    if (const auto found = m_upstreams.find(upstream); found != m_upstreams.end())
        found->second.isPaused = isPaused;
}

std::vector<Upstream> PoolScheduler::enginesOnWrongVersion() const
{
    std::vector<Upstream> result;
    for (const auto& [name, state] : m_upstreams) {
        if (state.config.kind == UpstreamKind::Engine && !state.config.leaving && state.version != state.config.version)
            result.push_back(state.config);
    }
    return result;
}

void PoolScheduler::allowCandidate(const std::string& rollout, int64_t slots) { m_candidateShare.setAllowance(rollout, slots); }

int PoolScheduler::load(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.inFlight.load();
}

void PoolScheduler::stopRollout(const std::string& rollout) { m_candidateShare.stop(rollout); }

SlotDecisions PoolScheduler::tick(TimePoint now)
{
    m_pauses.observe(now);
    SlotDecisions decisions;
    const auto infeasible
        = [&](const Waiter& waiter) { return AdmissionControl::refusalIfInfeasible(waiter, fastestTimes(waiter, now), now); };
    for (const auto& waiter : m_queue.removeIf([&](const Waiter& item) { return infeasible(item).has_value(); }))
        decisions.push_back(refuse(waiter, infeasible(waiter).value_or(RefusalReason::DeadlineTooShort), now));
    for (const auto& waiter : m_admission.removeHopeless(m_queue, now))
        decisions.push_back(refuse(waiter, RefusalReason::Overloaded, now));
    for (auto slot = m_slots.begin(); slot != m_slots.end();) {
        if (slot->second.expiresAt > now) {
            ++slot;
            continue;
        }
        uncountSlot(slot->second);
        slot = m_slots.erase(slot);
    }
    m_topRankPeak = std::max<double>(m_topRankPeak * peakDecayPerTick, topRankInFlight());
    int foreignRequests = 0;
    for (auto& [name, state] : m_upstreams) {
        foreignRequests += state.inFlight.load() - state.inFlight.grantedSlots();
        state.tick(now);
    }
    m_admission.setForeignRequests(foreignRequests);
    m_admission.setSlotsInUse(m_slots.size(), now);
    m_admission.tick(m_queue, m_plan.lowerRankShare, now);
    m_queue.update(now);
    auto granted = grantOnAll(now);
    decisions.insert(decisions.end(), granted.begin(), granted.end());
    return decisions;
}

SlotDecisions PoolScheduler::refuseAll(RefusalReason reason)
{
    SlotDecisions decisions;
    for (const auto& waiter : m_queue.removeIf([](const Waiter&) { return true; }))
        decisions.push_back({ waiter.node, SlotRefusal { waiter.request.id, reason, 0 } });
    return decisions;
}

int PoolScheduler::inFlight(const std::string& upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? 0 : found->second.inFlight.grantedSlots();
}

std::map<std::string, LearnedLimit> PoolScheduler::learnedLimits(TimePoint now) const
{
    std::map<std::string, LearnedLimit> result;
    if (!m_learnsCapacity)
        return result;
    for (const auto& [name, state] : m_upstreams) {
        if (const auto learned = state.learnedLimit(now))
            result[name] = *learned;
    }
    return result;
}

std::vector<UpstreamSummary> PoolScheduler::summaries(TimePoint now) const
{
    std::vector<UpstreamSummary> result;
    for (const auto& [name, state] : m_upstreams)
        result.push_back(state.summary(now));
    return result;
}

} // namespace bronzeswitch
