#pragma once

#include <base/Error.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzeswitch {

/** First message on a new link between two nodes: introduces the sender. */
struct Hello {
    std::string node;
    std::string dataCentre;
    std::string address; /**< Address on which the node accepts links. */

    bool operator==(const Hello&) const = default;
};

/** Liveness message that also carries the sender's progress; the receiver responds with its own in a HeartbeatAck. */
struct Heartbeat {
    uint64_t sequence = 0;
    int64_t ledgerNextOffset = 0; /**< Offset of the next control stream record that the sender will apply. */
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const Heartbeat&) const = default;
};

/** Response to a Heartbeat, with its sequence number and the responding node's progress. */
struct HeartbeatAck {
    uint64_t sequence = 0;
    int64_t ledgerNextOffset = 0;
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const HeartbeatAck&) const = default;
};

/** Requests a peer's ledger state, which arrives as a StateOffer. */
struct StateRequest {
    bool operator==(const StateRequest&) const = default;
};

/** Response to a StateRequest. */
struct StateOffer {
    std::string state; /**< The ledger state in its JSON form, encoded as CBOR. */

    bool operator==(const StateOffer&) const = default;
};

/** Identifies the leading tokens of a prompt by their hash, to find upstreams that have them cached. */
struct PromptPrefix {
    uint64_t hash = 0; /**< Hash of all tokens in the prefix. */
    int tokens = 0; /**< Length of the prefix. */

    bool operator==(const PromptPrefix&) const = default;
};

/** Requests a slot, the permission to run one request at an upstream, from the home node of a pool. */
struct SlotRequest {
    uint64_t id = 0; /**< Unique among the requests of the sending node. */
    std::string pool;
    std::string route;
    std::string organisation;
    int rank = 0; /**< Priority; 0 is the highest. */
    int promptTokens = 0;
    int outputTokens = 0;
    int64_t deadlineMs = 0; /**< Time left until the caller's deadline. */
    std::vector<PromptPrefix> prefixes; /**< Prefixes of the prompt, shortest first. */
    std::vector<std::string> excluded; /**< Upstreams that must not be granted, because they could not be reached. */
    bool isForced = false; /**< Set after repeated NotHome refusals: the receiver decides even if it is not the home node. */
    int64_t firstTokenTargetMs = 0; /**< Target for the time to the first token, 0 for none. */
    int64_t startTimeoutMs = 0; /**< Time after which the caller gives up if no output has arrived, 0 for none. */
    std::string dataCentre {}; /**< Of the requesting node; upstreams there are preferred. Empty for no preference. */
    uint64_t caller = 0; /**< Hash of what stays the same when the caller tries again, 0 if unknown. */

    bool operator==(const SlotRequest&) const = default;
};

/** Grants a slot: the requesting node may dispatch to the upstream immediately. */
struct SlotGrant {
    uint64_t id = 0;
    std::string upstream;
    std::string version;
    std::string rollout; /**< Rollout that selected the version, or empty. */
    int64_t waitedMs = -1; /**< Time from the request's arrival at the granting node to the grant; negative if not stated. */

    bool operator==(const SlotGrant&) const = default;
};

/** Why a slot was refused. */
enum class RefusalReason { QueueFull, Evicted, DeadlineTooShort, NoUpstream, NotHome, Draining, Overloaded };

/** Refuses a slot; nothing was dispatched. */
struct SlotRefusal {
    uint64_t id = 0;
    RefusalReason reason = RefusalReason::QueueFull;
    int64_t retryAfterMs = 0;

    bool operator==(const SlotRefusal&) const = default;
};

/** Acknowledges a slot request that has been queued at the home node. */
struct SlotQueued {
    uint64_t id = 0;

    bool operator==(const SlotQueued&) const = default;
};

/** Cancels a slot request, for example because its caller has disconnected. */
struct SlotCancel {
    uint64_t id = 0;

    bool operator==(const SlotCancel&) const = default;
};

/** How a dispatch ended. */
enum class DispatchOutcome { Completed, Failed, Unreachable, Cancelled };

/** Returns a slot and reports what was measured at the upstream. */
struct SlotRelease {
    uint64_t id = 0;
    DispatchOutcome outcome = DispatchOutcome::Completed;
    int firstTokenMs = 0;
    int betweenTokensUs = 0; /**< Mean time between tokens in microseconds. */
    int outputTokens = 0;
    int cachedTokens = 0;

    bool operator==(const SlotRelease&) const = default;
};

/** Informs a pool's new home node of a dispatch that an earlier home node granted and that is still running. */
struct SlotInUse {
    SlotRequest request;
    std::string upstream;
    std::string version;
    std::string rollout;

    bool operator==(const SlotInUse&) const = default;
};

/** Whether a request only queries the state of an idempotency key or claims the key. */
enum class ClaimMode { LookUp, Claim };

/** Looks up or claims an idempotency key at its home node. */
struct ClaimRequest {
    uint64_t id = 0;
    std::string key;
    std::string attempt; /**< Unique identifier of the attempt to run the request. */
    ClaimMode mode = ClaimMode::LookUp;

    bool operator==(const ClaimRequest&) const = default;
};

/** State of an idempotency key as known to its home node. */
enum class ClaimState { Free, Granted, Running, Recorded, Unknown, Unavailable };

/** Response to a ClaimRequest. */
struct ClaimResponse {
    uint64_t id = 0;
    ClaimState state = ClaimState::Unavailable;
    std::string owner; /**< Node that runs the attempt that holds the key. */
    int status = 0; /**< HTTP status of the recorded outcome. */
    std::string contentType;
    std::string body;

    bool operator==(const ClaimResponse&) const = default;
};

/** Records the outcome of an attempt that had claimed its key. */
struct ClaimOutcome {
    std::string key;
    std::string attempt;
    int status = 0; /**< HTTP status, 0 if the request was not run. */
    std::string contentType;
    std::string body;

    bool operator==(const ClaimOutcome&) const = default;
};

/**
 * Announces that the owner of a claim partition continues to serve it while the log is unreachable. A node that acknowledges
 * promises not to take over the partition for the stated time, and remembers that claims may exist that are not in the log.
 */
struct ClaimDeclaration {
    int partition = 0;
    std::string owner;
    std::string episode; /**< Unique identifier of the period without the log. */
    uint64_t round = 0; /**< Number of the declaration within the episode. */
    int64_t promiseMs = 0; /**< For how long the receiver must not take over the partition. */

    bool operator==(const ClaimDeclaration&) const = default;
};

/** Acknowledges one round of a ClaimDeclaration and gives its promise. */
struct ClaimDeclarationAck {
    int partition = 0;
    std::string episode;
    uint64_t round = 0;

    bool operator==(const ClaimDeclarationAck&) const = default;
};

/** The load that one node puts on one upstream. */
struct UpstreamLoad {
    std::string upstream;
    int running = 0; /**< Requests in flight. */
    int backlogMs = 0; /**< Estimated time until the upstream has processed the prompts that the node sent. */
    int betweenTokensUs = 0; /**< The node's estimate of the time between tokens in microseconds, 0 if unknown. */
    int succeeded = 0; /**< The node's requests that ended well within a short window. */
    int failed = 0; /**< The node's requests that failed within that window. */
    int heldTokens = 0; /**< Prompt and expected output tokens of the requests in flight, 0 where the memory has no limit. */
    int pacePercent = 0; /**< Time that work takes there at present, in percent of the usual time; 0 if no recent response stated it. */
    int paceAgeMs = 0; /**< Time since the response that stated it. */
    std::vector<int> serviceUs {}; /**< Mean time of responses in microseconds by load level, 0 where unknown; empty if none is known. */

    bool operator==(const UpstreamLoad&) const = default;
};

/** Phase of a rollout, the move of a service to another version. Phases only advance. */
enum class RolloutPhase {
    Trial, /**< The candidate version gets a small share of the requests. */
    Moving, /**< All new requests go to the candidate version; running requests finish on the stable one. */
    TakenBack, /**< Rolled back: the candidate version gets no more requests. */
    Completed, /**< The stable version can be stopped. */
};

/** One node's counts of the requests to one version. */
struct VersionTally {
    int64_t sent = 0; /**< Requests dispatched to the version's upstreams. */
    int64_t withoutFailure = 0; /**< Requests that ended without a reported failure, or were given up on while waiting. */
    int64_t failed = 0; /**< Requests that the upstream reported as failed. */
    std::vector<int64_t> firstByte; /**< Histogram of the time to the first byte, in LatencyBuckets. */
    std::vector<int64_t> betweenTokens; /**< Histogram of the mean time between tokens, in LatencyBuckets. */

    bool operator==(const VersionTally&) const = default;
};

/** One node's counts of the requests of one route, for the stable and the candidate version of a service. */
struct RouteTally {
    std::string route;
    VersionTally stable; /**< The version that the service moves away from. */
    VersionTally candidate; /**< The version that the service moves to. */

    bool operator==(const RouteTally&) const = default;
};

/** One node's view of a rollout. */
struct RolloutReport {
    std::string service;
    std::string target; /**< The version to move to; the candidate. */
    int64_t durationMs = 0; /**< Time from the order until the rollout should be completed. */
    int64_t orderId = 0; /**< Identifier of the rollout order; later orders of an era have higher ones. */
    RolloutPhase phase = RolloutPhase::Trial;
    int64_t elapsedMs = 0; /**< Time since the order. */
    std::vector<RouteTally> routes;
    int64_t orderEra = 0; /**< Era of the identifier. */

    bool operator==(const RolloutReport&) const = default;
};

/** A peer that a report names, so that nodes come to know each other. */
struct NamedPeer {
    std::string address;
    std::string dataCentre;
    bool isDelegate = true;

    bool operator==(const NamedPeer&) const = default;
};

/** Parts of prompts that are in quarantine: for some time no upstream gets a request whose prompt has all of them. */
struct QuarantineEntry {
    std::vector<std::string> parts; /**< In ascending order. */
    int generation = 1; /**< How often they have been put in quarantine, this time included. */
    int64_t remainingMs = 0; /**< Time until it ends. */

    bool operator==(const QuarantineEntry&) const = default;
};

/** What an upstream has stated about itself in its responses. */
struct UpstreamNotice {
    std::string upstream;
    int64_t startedAt = 0; /**< Unix milliseconds of the upstream's start: what it stated holds until it starts again later. */
    bool isLeaving = false; /**< It will stop soon and wants no new requests. Holds for earlier starts too. */
    int64_t limitAgeMs = -1; /**< Time since the response that stated requestLimit; negative if none is known. */
    int64_t requestLimit = -1; /**< Requests in 1,000 s that it takes from all nodes together; negative for no limit. */
    int64_t coldRemainingMs = 0; /**< For how long it may be cold after its start; 0 if nothing is stated about that. */

    bool operator==(const UpstreamNotice&) const = default;
};

/**
 * Position in the change log of a source. The source may lose changes and be restored from a copy: then offsets go back and are given
 * out again, in the next era.
 */
struct SourcePosition {
    int64_t era = 0;
    int64_t offset = -1; /**< Of the next record; -1 if nothing was read. */

    auto operator<=>(const SourcePosition&) const = default;
};

/** An operator's order to evacuate a data centre, or the revocation of one. While an order is in force, its upstreams get no requests. */
struct EvacuationOrder {
    std::string dataCentre;
    SourcePosition position; /**< Of the record, or of the last one that showed the revocation. The order with the latest one counts. */
    bool isInForce = false; /**< False if the order is revoked. */

    bool operator==(const EvacuationOrder&) const = default;
};

/** A node's current state. Sent to its peers periodically, so that a lost report does no harm. */
struct NodeReport {
    std::string node;
    std::string dataCentre;
    int64_t incarnation = 0; /**< Start time of the node in Unix milliseconds; tells restarts apart. */
    uint64_t sequence = 0; /**< Number of the report within the incarnation. */
    bool isReady = false;
    bool isDraining = false;
    int64_t routingVersion = 0;
    SourcePosition directoryPosition; /**< Up to which the node has read the changes of the upstream directory. */
    bool hasLoads = true; /**< False if the loads are left out because the receiver doesn't need them. */
    std::vector<UpstreamLoad> loads;
    std::vector<std::string> suspects; /**< Upstreams that fail many of their requests, by the counts that the sender knows. */
    std::vector<NamedPeer> peers; /**< Some of the peers that are live to the sender. */
    std::vector<RolloutReport> rollouts;
    int capacity = 0; /**< CPU time that the sender may use, in thousandths of a core; 0 if unknown. */
    bool isDelegate = true; /**< Whether the sender exchanges reports with the nodes of all data centres. */
    int liveNodes = 0; /**< Nodes that are live to the sender, including itself. */
    int knownNodes = 0; /**< Nodes that the sender has heard of itself recently, including itself. */
    bool isSourceReachable = true; /**< False if the sender has recently failed to reach the source of routing and directory. */
    std::vector<QuarantineEntry> quarantines; /**< Those in force at the sender. */
    std::vector<UpstreamNotice> notices; /**< Of upstreams in the sender's directory. Only delegates exchange them. */
    int registeredNodes = 0; /**< Nodes in the registry, as far as the sender knows; 0 if it doesn't know. */
    bool isRegistrar = false; /**< The sender maintains the registry and has read it a short time ago. */
    bool isCutOff = false; /**< The sender has lost the path to the upstreams. Left out on the wire if it has not. */
    std::vector<EvacuationOrder> evacuations; /**< The latest one of each data centre. Left out on the wire if there are none. */

    bool operator==(const NodeReport&) const = default;
};

/** Changes that a node has just read from the source of routing and directory, passed on so that its peers need not read them too. */
struct StateUpdate {
    std::string changes; /**< In the encoding of the source. */

    bool operator==(const StateUpdate&) const = default;
};

/** Requests the tokens of one request from the home node of an organisation's quota. */
struct QuotaRequest {
    uint64_t id = 0; /**< Unique among the requests of the sending node. */
    std::string organisation;
    int tokens = 0;
    int64_t maxWaitMs = 0; /**< A request that would be granted within this time keeps a place in the home node's queue. */
    int64_t maxWaitAfterTakeoverMs = 0; /**< The same while the home node is new. */

    bool operator==(const QuotaRequest&) const = default;
};

/** Response to a QuotaRequest. */
struct QuotaResponse {
    uint64_t id = 0;
    bool isGranted = false;
    int64_t waitMs = 0; /**< Time after which a refused request may be granted. */
    int64_t balance = 0; /**< Tokens in the organisation's bucket at the home node, before the decision. */
    int shareMillionths = 0; /**< Share of the quota that the home node held, in millionths. */
    bool isQueued = false; /**< A refused request keeps its place if it is sent again after the wait. */

    bool operator==(const QuotaResponse&) const = default;
};

/** Lends the sender's shares of some quota groups for a short time. The sender has stopped using them before it sends this. */
struct QuotaShareLoan {
    int nodes = 1; /**< Nodes known to the sender, including itself; its share is 1 / nodes. */
    std::vector<int> groups;

    bool operator==(const QuotaShareLoan&) const = default;
};

/** Returns lent shares of some quota groups. The sender has stopped using them before it sends this. */
struct QuotaShareReturn {
    std::vector<int> groups;

    bool operator==(const QuotaShareReturn&) const = default;
};

/** Announces what upstreams have just stated in responses to the sender's requests. */
struct NoticeUpdate {
    std::vector<UpstreamNotice> notices;

    bool operator==(const NoticeUpdate&) const = default;
};

/** Reports a request that was lost together with its upstream before the upstream had answered it. */
struct PromptLoss {
    std::string upstream;
    std::vector<std::string> parts; /**< Parts of its prompt of which the sender has seen no recent answer. */

    bool operator==(const PromptLoss&) const = default;
};

/** Requests a PromptPartsAnswered from a peer that has recently seen an answer to a request with one of these parts. */
struct PromptPartsQuery {
    std::vector<std::string> parts;

    bool operator==(const PromptPartsQuery&) const = default;
};

/** States that upstreams have recently answered requests with these parts of prompts. */
struct PromptPartsAnswered {
    std::vector<std::string> parts;

    bool operator==(const PromptPartsAnswered&) const = default;
};

/** Stops a rollout's candidate version immediately on every node; the durable rollback follows through the log. */
struct RolloutAlarm {
    std::string rollout;
    std::string reason;

    bool operator==(const RolloutAlarm&) const = default;
};

/** Any message between nodes. The index of its type is its type number on the wire, so new types are added at the end. */
/** Sent to the node that has passed a request on: its upstream wants no request from that node for a time. */
struct PauseNotice {
    std::string upstream;
    int64_t startedAt = 0; /**< Unix milliseconds of the upstream's start. */
    int64_t pauseMs = 0;

    bool operator==(const PauseNotice&) const = default;
};

using Message = std::variant<Hello, Heartbeat, HeartbeatAck, StateRequest, StateOffer, SlotRequest, SlotGrant, SlotRefusal, SlotCancel,
    SlotRelease, SlotInUse, ClaimRequest, ClaimResponse, ClaimOutcome, RolloutAlarm, ClaimDeclaration, ClaimDeclarationAck, NodeReport,
    SlotQueued, StateUpdate, QuotaRequest, QuotaResponse, QuotaShareLoan, QuotaShareReturn, PromptLoss, PromptPartsQuery,
    PromptPartsAnswered, NoticeUpdate, PauseNotice>;

/**
 * @return the message as a CBOR array of its type number and its fields. Optional fields at the end that have their default values are
 *     left out, so that nodes of the last version understand the message.
 */
std::string encode(const Message&);

/** @return the message, or an error with ErrorCode::Protocol if the bytes are not exactly one known message. */
Result<Message> decode(const std::string& bytes);

/** @return the name of a phase in logs, records and responses; it never changes. */
const char* toString(RolloutPhase);

/** @return the name of a refusal reason in logs, records and responses; it never changes. */
const char* toString(RefusalReason);

/** @return the name of a claim state in logs, records and responses; it never changes. */
const char* toString(ClaimState);

} // namespace bronzeswitch
