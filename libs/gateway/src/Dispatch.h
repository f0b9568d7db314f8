#pragma once

#include <gateway/RolloutController.h>
#include <gateway/UpstreamDirectory.h>
#include <nlohmann/json.hpp>
#include <protocol/Messages.h>

#include <optional>
#include <string>

namespace bronzeswitch {

class PromptGuard;
class UpstreamPaths;

/**
 * One dispatch of a request to an upstream: what has happened so far, and what its end shows.
 *
 *     Dispatch dispatch;
 *     dispatch.grant = grant;
 *     ...
 *     slots.release(dispatch.grant.upstream, makeSlotRelease(dispatch, outcome, tokensPerEvent, now));
 */
struct Dispatch {
    /** How a dispatch ended. */
    enum class Outcome {
        Completed, /**< The caller has received the whole response. */
        Truncated, /**< The caller has received a part of the response and gets no more. */
        NotRun, /**< The request has not run. */
        MayHaveRun, /**< The upstream may have run the request; there is no usable response. */
        Failed, /**< The upstream ran the request and responded with a failure, which is kept for the caller. */
        CallerDisconnected, /**< The caller closed its connection. */
    };

    SlotGrant grant;
    TimePoint grantedAt {}; /**< At the earliest. */
    UpstreamEntry upstream;
    TimePoint sentAt {};
    TimePoint firstByteAt {};
    int64_t eventCount = 0; /**< Events of a stream that this upstream has sent. */
    bool statesLeaving = false; /**< The response says that the upstream leaves. */
    bool isConnectionUsed = false; /**< The connection has carried other responses, so that one of them may come again. */
    bool isWithheld = false; /**< Not sent, since the upstream wants no requests now. */
    bool isEvacuated = false; /**< The upstream's data centre is evacuated, so that the end shows nothing about the upstream. */
    bool isReleased = false; /**< Its slot has been given back. */
    bool wasSent = false; /**< The request may have reached the upstream. */
    bool isEndedByNode = false; /**< Ended by this node for a reason of its own, so that it shows nothing about the upstream. */
    std::string passedOnBy; /**< Address of the node that passes the connection on; empty for this node's own path. */
    bool isPathLost = false; /**< This node has lost the path to the upstream, so that the end shows nothing about the upstream. */
    bool isLost = false; /**< The upstream broke the connection off. */
    bool isLostWithOthers = false; /**< Connections to several upstreams broke off together: all of these are lost, or only the path is. */
    std::string failure; /**< Why there is no usable response, for the decision log. */

    /** @return true if a stream has enough events to show that the upstream answers its prompt. */
    bool hasAnsweredPrompt() const;
};

/** @return the release of the dispatch's slot with what was measured. @param tokensPerEvent of the service's streams. */
SlotRelease makeSlotRelease(const Dispatch&, Dispatch::Outcome, int tokensPerEvent, TimePoint now);

/**
 * @return what the dispatch shows about the upstream's version; none if it shows nothing, as a broken connection does.
 * @param isDeadlineOver the request's deadline has passed.
 * @param betweenTokensMs mean time between tokens in milliseconds, 0 if it was not measured.
 */
std::optional<VersionObservation> makeVersionObservation(
    const Dispatch&, Dispatch::Outcome, bool isDeadlineOver, double betweenTokensMs, TimePoint now);

/**
 * @return true if the upstream broke its response off. A kept connection that ends before the response has begun may have been closed as an
 *     idle one.
 */
bool isResponseBroken(const Dispatch&);

/**
 * Records that a dispatch has failed without a usable response.
 * @param isBroken its connection broke off.
 */
void recordBreak(Dispatch&, bool isBroken, UpstreamPaths&);

/** Reports what the end of a dispatch shows about the parts of its prompt. */
void reportPromptResult(PromptGuard&, const Dispatch&, Dispatch::Outcome, const std::vector<std::string>& parts);

/** Adds a dispatch to the fields of an event of the decision log. @param arrivedAt arrival of the request. */
void describe(nlohmann::json& fields, const Dispatch&, TimePoint arrivedAt);

} // namespace bronzeswitch
