#pragma once

#include <base/Error.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzeswitch {

/** Introduces a node on a new link. */
struct Hello {
    std::string node;
    std::string dataCentre;
    std::string address; /**< Where the node listens for links. */

    bool operator==(const Hello&) const = default;
};

/** Tells a peer that the sender is alive and how far it is; answered with the same content by HeartbeatAck. */
struct Heartbeat {
    uint64_t sequence = 0;
    int64_t ledgerNext = 0; /**< Next offset of the control stream that the sender will apply. */
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const Heartbeat&) const = default;
};

struct HeartbeatAck {
    uint64_t sequence = 0;
    int64_t ledgerNext = 0;
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const HeartbeatAck&) const = default;
};

/** Asks a peer for its ledger state. */
struct StateRequest {
    bool operator==(const StateRequest&) const = default;
};

/** A peer's ledger state in its JSON form, encoded as CBOR. */
struct StateOffer {
    std::string state;

    bool operator==(const StateOffer&) const = default;
};

/** The beginning of a prompt up to some token. */
struct PromptPrefix {
    uint64_t hash = 0; /**< Of everything up to the mark. */
    int tokens = 0; /**< From the start of the prompt to the mark. */

    bool operator==(const PromptPrefix&) const = default;
};

/** Asks the home of a pool for a place. */
struct SlotRequest {
    uint64_t id = 0; /**< Unique for the asking node. */
    std::string pool;
    std::string route;
    std::string organisation;
    int rank = 0;
    int promptTokens = 0;
    int outputTokens = 0;
    int64_t deadlineMs = 0; /**< Time that the caller still waits. */
    std::vector<PromptPrefix> prefixes; /**< Growing prefixes of the prompt, shortest first. */
    std::vector<std::string> excluded; /**< Upstreams that could not be reached. */
    bool isForced = false; /**< Asks a node that does not believe to be the home, after it has refused repeatedly. */
    int64_t firstTokenTargetMs = 0; /**< Time in which the first token is wanted, 0 for none. */
    int64_t startTimeoutMs = 0; /**< Time after which the caller gives up if nothing has come, 0 for none. */

    bool operator==(const SlotRequest&) const = default;
};

/** Grants a place: the asking node may dispatch to the upstream at once. */
struct SlotGrant {
    uint64_t id = 0;
    std::string upstream;
    std::string version;
    std::string rollout; /**< Rollout that chose the version, or empty. */

    bool operator==(const SlotGrant&) const = default;
};

/** Why a place was refused. */
enum class RefusalReason { QueueFull, Evicted, DeadlineTooShort, NoUpstream, NotHome, Draining, Overloaded };

/** Refuses a place; nothing was dispatched. */
struct SlotRefusal {
    uint64_t id = 0;
    RefusalReason reason = RefusalReason::QueueFull;
    int64_t retryAfterMs = 0;

    bool operator==(const SlotRefusal&) const = default;
};

/** Tells that an ask waits at the home. */
struct SlotQueued {
    uint64_t id = 0;

    bool operator==(const SlotQueued&) const = default;
};

/** Takes an ask back, because the caller has left. */
struct SlotCancel {
    uint64_t id = 0;

    bool operator==(const SlotCancel&) const = default;
};

/** How a dispatch ended. */
enum class DispatchOutcome { Completed, Failed, Unreachable, Cancelled };

/** Returns a place and reports what the upstream showed. */
struct SlotRelease {
    uint64_t id = 0;
    DispatchOutcome outcome = DispatchOutcome::Completed;
    int firstTokenMs = 0;
    int betweenTokensUs = 0; /**< Mean time between tokens, microseconds. */
    int outputTokens = 0;
    int cachedTokens = 0;

    bool operator==(const SlotRelease&) const = default;
};

/** Tells a new home of a dispatch that is running in its pool. */
struct SlotInUse {
    SlotRequest request;
    std::string upstream;
    std::string version;
    std::string rollout;

    bool operator==(const SlotInUse&) const = default;
};

/** What a node wants to know or do about an idempotency key. */
enum class ClaimMode { LookUp, Claim };

/** Asks the home of a key for it. */
struct ClaimRequest {
    uint64_t id = 0;
    std::string key;
    std::string attempt; /**< Unique identifier of the attempt. */
    ClaimMode mode = ClaimMode::LookUp;

    bool operator==(const ClaimRequest&) const = default;
};

/** State of an idempotency key as its home knows it. */
enum class ClaimState { Free, Granted, Running, Recorded, Unknown, Unavailable };

/** Answers a ClaimRequest. */
struct ClaimResponse {
    uint64_t id = 0;
    ClaimState state = ClaimState::Unavailable;
    std::string owner; /**< Node that runs the attempt. */
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const ClaimResponse&) const = default;
};

/** Records the outcome of a claimed attempt; status 0 means that it was not run. */
struct ClaimOutcome {
    std::string key;
    std::string attempt;
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const ClaimOutcome&) const = default;
};

/**
 * Tells that the owner of a claim partition goes on without the log. A node that acknowledges promises not to take the
 * partition over for the stated time, and remembers that claims may exist which the log does not show.
 */
struct ClaimDeclaration {
    int partition = 0;
    std::string owner;
    std::string episode; /**< Unique for one stretch without the log. */
    uint64_t round = 0;
    int64_t promiseMs = 0;

    bool operator==(const ClaimDeclaration&) const = default;
};

struct ClaimDeclarationAck {
    int partition = 0;
    std::string episode;
    uint64_t round = 0;

    bool operator==(const ClaimDeclarationAck&) const = default;
};

/** Requests that a node runs at one upstream. */
struct UpstreamLoad {
    std::string upstream;
    int running = 0;
    int backlogMs = 0; /**< Until the prompts that the node has sent there have been read. */
    int betweenTokensUs = 0; /**< As the node has learned it, 0 if it has not. */

    bool operator==(const UpstreamLoad&) const = default;
};

/** Where the move of a service to another version stands; it goes forward only. */
enum class RolloutPhase {
    Trial, /**< The new version gets a small part of the requests. */
    Moving, /**< All new requests go to the new version, while old ones end. */
    TakenBack, /**< The new version gets nothing more. */
    Completed, /**< The old version may be stopped. */
};

/** What one node has counted of a version's requests. */
struct VersionTally {
    int64_t sent = 0;
    int64_t answered = 0;
    int64_t failed = 0;
    std::vector<int64_t> firstByte; /**< Answers by the time to their first byte, in LatencyBuckets. */
    std::vector<int64_t> betweenTokens; /**< Answers by their mean time between tokens, in LatencyBuckets. */

    bool operator==(const VersionTally&) const = default;
};

/** The same of one route, for the old and the new version. */
struct RouteTally {
    std::string route;
    VersionTally stable;
    VersionTally candidate;

    bool operator==(const RouteTally&) const = default;
};

/** A node's view of the move of a service to another version. */
struct RolloutReport {
    std::string service;
    std::string target;
    int64_t durationMs = 0;
    int64_t orderId = 0; /**< Grows with each order. */
    RolloutPhase phase = RolloutPhase::Trial;
    int64_t elapsedMs = 0; /**< Since the order. */
    std::vector<RouteTally> routes;

    bool operator==(const RolloutReport&) const = default;
};

/** What a node does now and knows; sent to its peers again and again, so that a lost one does no harm. */
struct NodeReport {
    std::string node;
    std::string dataCentre;
    int64_t incarnation = 0; /**< Unix milliseconds of the node's start. */
    uint64_t sequence = 0;
    bool isReady = false;
    bool isDraining = false;
    int64_t routingVersion = 0;
    int64_t directoryOffset = 0; /**< Place in the directory's changes up to which the node has read. */
    std::vector<UpstreamLoad> loads;
    std::vector<std::string> peers; /**< Addresses of some peers that the sender hears. */
    std::vector<RolloutReport> rollouts;
    int capacity = 0; /**< Processor time that the sender may use, in thousandths of a core; 0 if it doesn't know. */
    bool isSourceReached = true; /**< The source of routing and directory answers the sender, as far as it has tried. */

    bool operator==(const NodeReport&) const = default;
};

/** What a node has just read from the source of routing and directory; passed on so that its peers need not read it too. */
struct StateUpdate {
    std::string changes; /**< As the source encodes them. */

    bool operator==(const StateUpdate&) const = default;
};

/** Asks the home of an organisation's quota for the tokens of one request. */
struct QuotaRequest {
    uint64_t id = 0; /**< Unique for the asking node. */
    std::string organisation;
    int tokens = 0;

    bool operator==(const QuotaRequest&) const = default;
};

/** Answers a QuotaRequest. */
struct QuotaResponse {
    uint64_t id = 0;
    bool isGranted = false;
    int64_t waitMs = 0; /**< After which a refused request may fit. */
    int64_t balance = 0; /**< Tokens that the home had saved for the organisation. */
    int shareMillionths = 0; /**< Part of the quota that the home held. */

    bool operator==(const QuotaResponse&) const = default;
};

/** Lends the sender's shares of some groups of quotas for a short time; the sender has given them up before. */
struct QuotaShareLoan {
    int nodes = 1; /**< That the sender counts, with itself; its share is one part in so many. */
    std::vector<int> groups;

    bool operator==(const QuotaShareLoan&) const = default;
};

/** Gives shares back; the sender has stopped using them before. */
struct QuotaShareReturn {
    std::vector<int> groups;

    bool operator==(const QuotaShareReturn&) const = default;
};

/** Stops a version at once on every node; the durable take-back follows through the log. */
struct RolloutAlarm {
    std::string rollout;
    std::string reason;

    bool operator==(const RolloutAlarm&) const = default;
};

using Message = std::variant<Hello, Heartbeat, HeartbeatAck, StateRequest, StateOffer, SlotRequest, SlotGrant, SlotRefusal, SlotCancel,
    SlotRelease, SlotInUse, ClaimRequest, ClaimResponse, ClaimOutcome, RolloutAlarm, ClaimDeclaration, ClaimDeclarationAck, NodeReport,
    SlotQueued, StateUpdate, QuotaRequest, QuotaResponse, QuotaShareLoan, QuotaShareReturn>;

/** @return the message as a CBOR array: its type number, then its fields. */
std::string encode(const Message&);

/** @return the message, or Protocol when the bytes are not exactly one known message. */
Result<Message> decode(const std::string& bytes);

/** @return the stable name of a phase. */
const char* toString(RolloutPhase);

/** @return the stable name of a refusal reason. */
const char* toString(RefusalReason);

/** @return the stable name of a claim state. */
const char* toString(ClaimState);

} // namespace bronzeswitch
