#include <algorithm>
#include <gateway/QuotaQueue.h>

namespace bronzeswitch {

namespace {

constexpr Duration returnGrace { 200 }; // For the repetition of a request to arrive.
constexpr int64_t overtakingFactor = 4; // A request overtakes those that take more than so many times its tokens.

} // namespace

QuotaQueueDecision QuotaQueue::decide(QuotaShares& shares, const std::string& organisation, int tokens, const QuotaTicket& ticket,
    Duration maxWait, TimePoint now, Duration inTimeWait)
{
    auto& places = m_places[organisation];
    std::erase_if(places, [&](const Place& place) { return place.until < now; });
    QuotaQueueDecision result;
    result.decision = shares.tryAcquire(organisation, tokens, now, tokensAhead(places, ticket, tokens, now));
    result.isQueued = !result.decision.isGranted && result.decision.wait <= maxWait;
    if (result.isQueued)
        keep(places, { ticket, tokens, now + result.decision.wait + returnGrace, now + inTimeWait });
    else
        remove(places, ticket);
    return result;
}

// A request that is late waits for all that can still be in time, also for those that came after it.
int64_t QuotaQueue::tokensAhead(const Places& places, const QuotaTicket& ticket, int tokens, TimePoint now)
{
    const auto own = std::find_if(places.begin(), places.end(), [&](const Place& place) { return place.ticket == ticket; });
    const bool isLate = own != places.end() && own->inTimeUntil <= now;
    int64_t ahead = 0;
    for (auto place = places.begin(); place != places.end(); ++place) {
        if (place == own)
            continue;
        const bool isPlaceLate = place->inTimeUntil <= now;
        const bool isEarlier = place < own;
        const bool goesFirst = isPlaceLate == isLate ? isEarlier : isLate;
        const bool isOvertaken = place->tokens > overtakingFactor * tokens;
        ahead += goesFirst && !isOvertaken ? place->tokens : 0;
    }
    return ahead;
}

void QuotaQueue::keep(Places& places, const Place& place)
{
    const auto known = std::find_if(places.begin(), places.end(), [&](const Place& other) { return other.ticket == place.ticket; });
    if (known == places.end())
        places.push_back(place);
    else
        known->until = place.until;
}

void QuotaQueue::remove(Places& places, const QuotaTicket& ticket)
{
    std::erase_if(places, [&](const Place& place) { return place.ticket == ticket; });
}

} // namespace bronzeswitch
