#include "Dispatch.h"

#include <cmath>
#include <gateway/PromptGuard.h>
#include <gateway/UpstreamPaths.h>

namespace bronzeswitch {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr int64_t eventsOfAnswer = 2; // An upstream that crashes with its first event may have sent it.

DispatchOutcome toDispatchOutcome(const Dispatch& dispatch, Dispatch::Outcome outcome)
{
    const bool showsNothing = dispatch.isEvacuated || (dispatch.isPathLost && outcome != Dispatch::Outcome::Completed);
    if (showsNothing)
        return DispatchOutcome::Cancelled;
    switch (outcome) {
    case Dispatch::Outcome::Completed:
        return DispatchOutcome::Completed;
    case Dispatch::Outcome::CallerDisconnected:
        return DispatchOutcome::Cancelled;
    case Dispatch::Outcome::NotRun:
        return dispatch.wasSent || dispatch.isWithheld ? DispatchOutcome::Cancelled : DispatchOutcome::Unreachable;
    default:
        return dispatch.isEndedByNode ? DispatchOutcome::Cancelled : DispatchOutcome::Failed;
    }
}

bool hasFirstByte(const Dispatch& dispatch) { return dispatch.firstByteAt > dispatch.sentAt; }

} // namespace

SlotRelease makeSlotRelease(const Dispatch& dispatch, Dispatch::Outcome outcome, int tokensPerEvent, TimePoint now)
{
    SlotRelease slotRelease;
    slotRelease.id = dispatch.grant.id;
    slotRelease.outcome = toDispatchOutcome(dispatch, outcome);
    if (hasFirstByte(dispatch))
        slotRelease.firstTokenMs = static_cast<int>(toMilliseconds(dispatch.firstByteAt - dispatch.sentAt));
    if (dispatch.eventCount > 1) {
        const auto tokens = static_cast<double>((dispatch.eventCount - 1) * tokensPerEvent);
        slotRelease.betweenTokensUs = static_cast<int>(toSeconds(now - dispatch.firstByteAt) / tokens * microsecondsPerSecond);
    }
    return slotRelease;
}

std::optional<VersionObservation> makeVersionObservation(
    const Dispatch& dispatch, Dispatch::Outcome outcome, bool isDeadlineOver, double betweenTokensMs, TimePoint now)
{
    if (dispatch.isPathLost && outcome != Dispatch::Outcome::Completed)
        return std::nullopt;
    const bool hasUpstreamResponded = outcome == Dispatch::Outcome::Completed || outcome == Dispatch::Outcome::Failed;
    const bool wasWaitedFor = dispatch.wasSent && (outcome == Dispatch::Outcome::CallerDisconnected || isDeadlineOver);
    if (!hasUpstreamResponded && !wasWaitedFor)
        return std::nullopt;
    VersionObservation observation;
    observation.isFailed = outcome == Dispatch::Outcome::Failed;
    // The response times of an upstream that is warming up or evacuated show nothing about its version.
    if (!dispatch.upstream.isWarmingUp && !dispatch.isEvacuated) {
        observation.firstByteMs = toMilliseconds((hasFirstByte(dispatch) ? dispatch.firstByteAt : now) - dispatch.sentAt);
        observation.betweenTokensMs = betweenTokensMs;
    }
    return observation;
}

bool Dispatch::hasAnsweredPrompt() const { return eventCount >= eventsOfAnswer; }

void recordBreak(Dispatch& dispatch, bool isBroken, UpstreamPaths& paths)
{
    const bool isDirect = dispatch.passedOnBy.empty();
    if (!isDirect)
        dispatch.isPathLost = isBroken; // By the upstream or by the node between.
    else
        dispatch.isPathLost = isBroken ? paths.onBroken(dispatch.upstream.id) : paths.isLost(dispatch.upstream.id);
    dispatch.isLost = isBroken && !dispatch.isPathLost;
    dispatch.isLostWithOthers = isBroken && dispatch.isPathLost && isDirect;
}

void reportPromptResult(PromptGuard& prompts, const Dispatch& dispatch, Dispatch::Outcome outcome, const std::vector<std::string>& parts)
{
    if (outcome == Dispatch::Outcome::Completed)
        prompts.onAnswered(parts);
    else if (dispatch.hasAnsweredPrompt())
        return;
    else if (dispatch.isLost)
        prompts.onLost(dispatch.upstream.id, parts);
    else if (dispatch.isLostWithOthers)
        prompts.onLostWithOthers(dispatch.upstream.id, parts);
}

bool isResponseBroken(const Dispatch& dispatch)
{
    const bool mayHaveBeenIdle = dispatch.isConnectionUsed && !hasFirstByte(dispatch);
    return dispatch.isLost && !dispatch.isEndedByNode && !mayHaveBeenIdle;
}

void describe(nlohmann::json& fields, const Dispatch& dispatch, TimePoint arrivedAt)
{
    fields["upstream"] = dispatch.grant.upstream;
    fields["address"] = dispatch.upstream.address;
    fields["waitedMs"] = dispatch.wasSent ? std::lround(toMilliseconds(dispatch.sentAt - arrivedAt)) : -1;
    if (hasFirstByte(dispatch))
        fields["firstByteMs"] = std::lround(toMilliseconds(dispatch.firstByteAt - dispatch.sentAt));
    if (!dispatch.passedOnBy.empty())
        fields["passedOnBy"] = dispatch.passedOnBy;
    if (dispatch.isPathLost)
        fields["pathLost"] = true;
    if (dispatch.eventCount)
        fields["events"] = dispatch.eventCount;
    if (dispatch.statesLeaving)
        fields["upstreamLeaving"] = true;
}

} // namespace bronzeswitch
