#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <protocol/Cbor.h>
#include <protocol/Messages.h>
#include <tuple>

namespace bronzeswitch {

using nlohmann::json;

namespace {

template <typename Field>
concept NestedRecord = std::is_same_v<Field, PromptPrefix> || std::is_same_v<Field, UpstreamLoad> || std::is_same_v<Field,
    NamedPeer> || std::is_same_v<Field, VersionTally> || std::is_same_v<Field, RouteTally> || std::is_same_v<Field,
    RolloutReport> || std::is_same_v<Field, QuarantineEntry> || std::is_same_v<Field, UpstreamNotice> || std::is_same_v<Field,
    SourcePosition> || std::is_same_v<Field, EvacuationOrder>;

// Returns the fields of a nested record in their order on the wire.
template <typename T> auto recordFields(T& record)
{
    using Type = std::remove_const_t<T>;
    if constexpr (std::is_same_v<Type, PromptPrefix>)
        return std::tie(record.hash, record.tokens);
    else if constexpr (std::is_same_v<Type, UpstreamLoad>)
        return std::tie(record.upstream, record.running, record.backlogMs, record.betweenTokensUs, record.succeeded, record.failed,
            record.heldTokens, record.pacePercent, record.paceAgeMs, record.serviceUs);
    else if constexpr (std::is_same_v<Type, QuarantineEntry>)
        return std::tie(record.parts, record.generation, record.remainingMs);
    else if constexpr (std::is_same_v<Type, UpstreamNotice>)
        return std::tie(
            record.upstream, record.startedAt, record.isLeaving, record.limitAgeMs, record.requestLimit, record.coldRemainingMs);
    else if constexpr (std::is_same_v<Type, SourcePosition>)
        return std::tie(record.era, record.offset);
    else if constexpr (std::is_same_v<Type, EvacuationOrder>)
        return std::tie(record.dataCentre, record.position, record.isInForce);
    else if constexpr (std::is_same_v<Type, NamedPeer>)
        return std::tie(record.address, record.dataCentre, record.isDelegate);
    else if constexpr (std::is_same_v<Type, VersionTally>)
        return std::tie(record.sent, record.withoutFailure, record.failed, record.firstByte, record.betweenTokens);
    else if constexpr (std::is_same_v<Type, RouteTally>)
        return std::tie(record.route, record.stable, record.candidate);
    else
        return std::tie(record.service, record.target, record.durationMs, record.orderId, record.phase, record.elapsedMs, record.routes,
            record.orderEra);
}

// Returns the fields of a message or a nested record in their order on the wire.
template <typename T> auto fields(T& message)
{
    using Type = std::remove_const_t<T>;
    if constexpr (NestedRecord<Type>)
        return recordFields(message);
    else if constexpr (std::is_same_v<Type, Hello>)
        return std::tie(message.node, message.dataCentre, message.address);
    else if constexpr (std::is_same_v<Type, Heartbeat> || std::is_same_v<Type, HeartbeatAck>)
        return std::tie(message.sequence, message.ledgerNextOffset, message.isReady, message.isDraining);
    else if constexpr (std::is_same_v<Type, StateRequest>)
        return std::tie();
    else if constexpr (std::is_same_v<Type, StateOffer>)
        return std::tie(message.state);
    else if constexpr (std::is_same_v<Type, StateUpdate>)
        return std::tie(message.changes);
    else if constexpr (std::is_same_v<Type, SlotRequest>)
        return std::tie(message.id, message.pool, message.route, message.organisation, message.rank, message.promptTokens,
            message.outputTokens, message.deadlineMs, message.prefixes, message.excluded, message.isForced, message.firstTokenTargetMs,
            message.startTimeoutMs, message.dataCentre, message.caller);
    else if constexpr (std::is_same_v<Type, SlotGrant>)
        return std::tie(message.id, message.upstream, message.version, message.rollout, message.waitedMs);
    else if constexpr (std::is_same_v<Type, SlotRefusal>)
        return std::tie(message.id, message.reason, message.retryAfterMs);
    else if constexpr (std::is_same_v<Type, SlotCancel> || std::is_same_v<Type, SlotQueued>)
        return std::tie(message.id);
    else if constexpr (std::is_same_v<Type, SlotRelease>)
        return std::tie(
            message.id, message.outcome, message.firstTokenMs, message.betweenTokensUs, message.outputTokens, message.cachedTokens);
    else if constexpr (std::is_same_v<Type, SlotInUse>)
        return std::tie(message.request.id, message.request.pool, message.request.route, message.request.organisation, message.request.rank,
            message.request.promptTokens, message.request.outputTokens, message.request.deadlineMs, message.request.prefixes,
            message.request.firstTokenTargetMs, message.request.startTimeoutMs, message.upstream, message.version, message.rollout);
    else if constexpr (std::is_same_v<Type, QuotaRequest>)
        return std::tie(message.id, message.organisation, message.tokens, message.maxWaitMs, message.maxWaitAfterTakeoverMs);
    else if constexpr (std::is_same_v<Type, QuotaResponse>)
        return std::tie(message.id, message.isGranted, message.waitMs, message.balance, message.shareMillionths, message.isQueued);
    else if constexpr (std::is_same_v<Type, QuotaShareLoan>)
        return std::tie(message.nodes, message.groups);
    else if constexpr (std::is_same_v<Type, QuotaShareReturn>)
        return std::tie(message.groups);
    else if constexpr (std::is_same_v<Type, NodeReport>)
        return std::tie(message.node, message.dataCentre, message.incarnation, message.sequence, message.isReady, message.isDraining,
            message.routingVersion, message.directoryPosition, message.hasLoads, message.loads, message.suspects, message.peers,
            message.rollouts, message.capacity, message.isDelegate, message.liveNodes, message.knownNodes, message.isSourceReachable,
            message.quarantines, message.notices, message.registeredNodes, message.isRegistrar, message.evacuations, message.isCutOff);
    else if constexpr (std::is_same_v<Type, NoticeUpdate>)
        return std::tie(message.notices);
    else if constexpr (std::is_same_v<Type, PauseNotice>)
        return std::tie(message.upstream, message.startedAt, message.pauseMs);
    else if constexpr (std::is_same_v<Type, PromptLoss>)
        return std::tie(message.upstream, message.parts);
    else if constexpr (std::is_same_v<Type, PromptPartsQuery> || std::is_same_v<Type, PromptPartsAnswered>)
        return std::tie(message.parts);
    else if constexpr (std::is_same_v<Type, ClaimRequest>)
        return std::tie(message.id, message.key, message.attempt, message.mode);
    else if constexpr (std::is_same_v<Type, ClaimResponse>)
        return std::tie(message.id, message.state, message.owner, message.status, message.contentType, message.body);
    else if constexpr (std::is_same_v<Type, ClaimOutcome>)
        return std::tie(message.key, message.attempt, message.status, message.contentType, message.body);
    else if constexpr (std::is_same_v<Type, RolloutAlarm>)
        return std::tie(message.rollout, message.reason);
    else if constexpr (std::is_same_v<Type, ClaimDeclaration>)
        return std::tie(message.partition, message.owner, message.episode, message.round, message.promiseMs);
    else
        return std::tie(message.partition, message.episode, message.round);
}

// Fields at the end that messages of the last version lack.
template <typename T> constexpr std::size_t optionalFieldCount = 0;
template <> constexpr std::size_t optionalFieldCount<NodeReport> = 2;
template <> constexpr std::size_t optionalFieldCount<SlotGrant> = 1;
template <> constexpr std::size_t optionalFieldCount<SlotRequest> = 1;
template <> constexpr std::size_t optionalFieldCount<UpstreamLoad> = 4;
template <> constexpr std::size_t optionalFieldCount<UpstreamNotice> = 1;

template <typename Field> struct IsList : std::false_type {
};
template <typename Item> struct IsList<std::vector<Item>> : std::true_type {
};

template <typename Field> json encodeField(const Field& field);

template <typename T> void appendFields(json& list, const T& record)
{
    std::apply([&](const auto&... member) { (list.push_back(encodeField(member)), ...); }, fields(record));
    if constexpr (optionalFieldCount < T >> 0) {
        const T defaults;
        json defaultList = json::array();
        std::apply([&](const auto&... member) { (defaultList.push_back(encodeField(member)), ...); }, fields(defaults));
        for (auto left = optionalFieldCount<T>; left > 0 && list.back() == defaultList.back(); --left) {
            list.erase(list.size() - 1);
            defaultList.erase(defaultList.size() - 1);
        }
    }
}

template <typename T> bool hasFieldCount(std::size_t count)
{
    constexpr auto all = std::tuple_size_v<decltype(fields(std::declval<T&>()))>;
    return count <= all && count + optionalFieldCount<T> >= all;
}

template <typename Field> json encodeField(const Field& field)
{
    if constexpr (std::is_enum_v<Field>)
        return static_cast<int>(field);
    else if constexpr (std::is_same_v<Field, std::string>)
        return json::binary(std::vector<uint8_t>(field.begin(), field.end()));
    else if constexpr (NestedRecord<Field>) {
        auto list = json::array();
        appendFields(list, field);
        return list;
    } else if constexpr (IsList<Field>::value) {
        auto list = json::array();
        for (const auto& item : field)
            list.push_back(encodeField(item));
        return list;
    } else
        return field;
}

// Thrown by the field decoders; decode() converts it to an error.
struct DecodeFailure {
    const char* message;
};

void require(bool condition, const char* message)
{
    if (!condition)
        throw DecodeFailure { message };
}

template <typename Integer> Integer decodeInteger(const json& value)
{
    require(value.is_number_integer(), "integer expected");
    if constexpr (std::is_unsigned_v<Integer>) {
        require(value.is_number_unsigned(), "unsigned integer expected");
        return value.get<Integer>();
    } else {
        const bool isTooLarge
            = value.is_number_unsigned() && value.get<uint64_t>() > static_cast<uint64_t>(std::numeric_limits<Integer>::max());
        require(!isTooLarge && value.get<int64_t>() >= std::numeric_limits<Integer>::min(), "integer out of range");
        return value.get<Integer>();
    }
}

template <typename Enum> constexpr int enumeratorCount()
{
    if constexpr (std::is_same_v<Enum, RefusalReason>)
        return static_cast<int>(RefusalReason::Overloaded) + 1;
    else if constexpr (std::is_same_v<Enum, DispatchOutcome>)
        return static_cast<int>(DispatchOutcome::Cancelled) + 1;
    else if constexpr (std::is_same_v<Enum, RolloutPhase>)
        return static_cast<int>(RolloutPhase::Completed) + 1;
    else if constexpr (std::is_same_v<Enum, ClaimMode>)
        return static_cast<int>(ClaimMode::Claim) + 1;
    else
        return static_cast<int>(ClaimState::Unavailable) + 1;
}

void decodeField(const json& value, std::string& field)
{
    require(value.is_binary(), "byte string expected");
    const auto& bytes = value.get_binary();
    field.assign(bytes.begin(), bytes.end());
}

void decodeField(const json& value, bool& field)
{
    require(value.is_boolean(), "boolean expected");
    field = value.get<bool>();
}

template <typename Field> void decodeField(const json& value, Field& field);
template <typename Field> void decodeField(const json& value, std::vector<Field>& field);

template <NestedRecord Field> void decodeField(const json& value, Field& field);

// Optional fields that are missing at the end keep their defaults.
template <typename T> void decodeFields(const json& array, std::size_t first, T& record)
{
    auto position = first;
    const auto decodeNext = [&](auto& member) {
        if (position < array.size())
            decodeField(array[position++], member);
    };
    std::apply([&](auto&... member) { (decodeNext(member), ...); }, fields(record));
}

template <NestedRecord Field> void decodeField(const json& value, Field& field)
{
    require(value.is_array() && hasFieldCount<Field>(value.size()), "record expected");
    decodeFields(value, 0, field);
}

template <typename Field> void decodeField(const json& value, Field& field)
{
    if constexpr (std::is_enum_v<Field>) {
        const auto number = decodeInteger<int>(value);
        require(number >= 0 && number < enumeratorCount<Field>(), "unknown enumeration value");
        field = static_cast<Field>(number);
    } else
        field = decodeInteger<Field>(value);
}

template <typename Field> void decodeField(const json& value, std::vector<Field>& field)
{
    require(value.is_array(), "list expected");
    for (const auto& item : value)
        decodeField(item, field.emplace_back());
}

template <size_t Index> Message decodeAs(const json& array)
{
    std::variant_alternative_t<Index, Message> message;
    require(hasFieldCount<decltype(message)>(array.size() - 1), "wrong number of fields");
    decodeFields(array, 1, message);
    return message;
}

using Decoder = Message (*)(const json&);

template <size_t... Indexes> constexpr std::array<Decoder, sizeof...(Indexes)> makeDecoders(std::index_sequence<Indexes...>)
{
    return { &decodeAs<Indexes>... };
}

constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

} // namespace

std::string encode(const Message& message)
{
    auto array = json::array({ message.index() });
    std::visit([&](const auto& item) { appendFields(array, item); }, message);
    std::string bytes;
    json::to_cbor(array, bytes);
    return bytes;
}

Result<Message> decode(const std::string& bytes)
{
    const auto array = parseCbor(bytes);
    if (!array.is_array() || array.empty() || !array[0].is_number_unsigned())
        return fail(ErrorCode::Protocol, "not a CBOR array that begins with a message type");
    const auto type = array[0].get<uint64_t>();
    if (type >= decoders.size())
        return fail(ErrorCode::Protocol, "unknown message type " + std::to_string(type));
    try {
        return decoders[type](array);
    } catch (const DecodeFailure& failure) {
        return fail(ErrorCode::Protocol, "message type " + std::to_string(type) + ": " + failure.message);
    }
}

const char* toString(RefusalReason reason)
{
    static constexpr std::array names { "queue-full", "evicted", "deadline-too-short", "no-upstream", "not-home", "draining",
        "overloaded" };
    return names[static_cast<size_t>(reason)];
}

const char* toString(RolloutPhase phase)
{
    static constexpr std::array names { "trial", "moving", "taken-back", "completed" };
    return names[static_cast<size_t>(phase)];
}

const char* toString(ClaimState state)
{
    static constexpr std::array names { "free", "granted", "running", "recorded", "unknown", "unavailable" };
    return names[static_cast<size_t>(state)];
}

} // namespace bronzeswitch
