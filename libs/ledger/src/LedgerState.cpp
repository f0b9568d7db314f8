#include <algorithm>
#include <ledger/LedgerState.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

constexpr size_t maxAuditEntries = 256;
constexpr size_t maxRecentRecords = 1024;

std::string describe(const ConfigDelta& delta)
{
    std::string text;
    for (const auto& [key, value] : delta.upserts)
        text += (text.empty() ? "set " : ", set ") + key.toString();
    for (const auto& key : delta.removals)
        text += (text.empty() ? "remove " : ", remove ") + key.toString();
    return text;
}

} // namespace

ApplyOutcome LedgerState::apply(const LogRecord& record)
{
    if (record.offset < m_nextOffset)
        return ApplyOutcome::NoEffect;
    m_nextOffset = record.offset + 1;
    const auto decoded = controlRecordFromJson(record.data);
    if (!decoded) {
        audit(record, "", "unreadable", false, decoded.error().message);
        return ApplyOutcome::Rejected;
    }
    const auto id = idOf(*decoded);
    if (findRecord(id))
        return ApplyOutcome::Duplicate;
    const auto outcome = applyRecord(*decoded, record);
    if (outcome == ApplyOutcome::Accepted)
        m_lastAcceptedOffset = record.offset;
    rememberResult({ id, record.offset, outcome == ApplyOutcome::Accepted });
    return outcome;
}

ApplyOutcome LedgerState::applyRecord(const ControlRecord& decoded, const LogRecord& record)
{
    if (const auto* change = std::get_if<ChangeRecord>(&decoded))
        return applyChange(*change, record);
    if (const auto* step = std::get_if<RolloutStepRecord>(&decoded))
        return applyStep(*step, record);
    if (const auto* lease = std::get_if<LeaseRecord>(&decoded))
        return applyLease(*lease, record);
    if (const auto* confirm = std::get_if<SnapshotConfirmRecord>(&decoded))
        m_confirmedSnapshotOffset = std::max(m_confirmedSnapshotOffset.value_or(0), confirm->snapshotOffset);
    return ApplyOutcome::NoEffect;
}

ApplyOutcome LedgerState::applyChange(const ChangeRecord& change, const LogRecord& record)
{
    if (change.base != m_revision) {
        const auto detail
            = "base " + std::to_string(change.base) + " is not revision " + std::to_string(m_revision) + ": " + describe(change.delta);
        audit(record, change.author, "change " + change.id, false, detail);
        return ApplyOutcome::Rejected;
    }
    m_document = m_document.apply(change.delta);
    m_revision = record.offset;
    audit(record, change.author, "change " + change.id, true, describe(change.delta));
    return ApplyOutcome::Accepted;
}

std::string LedgerState::rejectionReason(const RolloutStepRecord& step) const
{
    const auto found = m_rollouts.find(step.rollout);
    const int64_t base = found == m_rollouts.end() ? 0 : found->second.offset;
    if (step.base != base)
        return "base " + std::to_string(step.base) + " is not step " + std::to_string(base);
    if (found != m_rollouts.end() && isFinal(found->second.step.stage))
        return "rollout is " + std::string(toString(found->second.step.stage));
    return {};
}

ApplyOutcome LedgerState::applyStep(const RolloutStepRecord& step, const LogRecord& record)
{
    const auto action = "rollout " + step.rollout + " " + toString(step.stage);
    if (const auto reason = rejectionReason(step); !reason.empty()) {
        audit(record, step.author, action, false, reason);
        return ApplyOutcome::Rejected;
    }
    m_rollouts[step.rollout] = { step, record.offset };
    if (step.stage == RolloutStage::Finished)
        m_routeVersions[step.route] = { step.from, step.to };
    audit(record, step.author, action, true, step.reason);
    return ApplyOutcome::Accepted;
}

ApplyOutcome LedgerState::applyLease(const LeaseRecord& lease, const LogRecord& record)
{
    const auto found = m_leases.find(lease.lease);
    const int64_t base = found == m_leases.end() ? 0 : found->second.fencingNumber;
    if (lease.base != base)
        return ApplyOutcome::Rejected;
    const bool isNewHolder = found == m_leases.end() || found->second.holder != lease.holder;
    m_leases[lease.lease] = { lease.holder, record.offset, lease.duration };
    if (isNewHolder)
        audit(record, lease.holder, "lease " + lease.lease, true, "fencing number " + std::to_string(record.offset));
    return ApplyOutcome::Accepted;
}

std::optional<RecordResult> LedgerState::findRecord(const std::string& id) const
{
    const auto found
        = std::find_if(m_recentRecords.begin(), m_recentRecords.end(), [&](const RecordResult& result) { return result.id == id; });
    return found == m_recentRecords.end() ? std::nullopt : std::optional(*found);
}

std::optional<AuditEntry> LedgerState::findAudit(int64_t offset) const
{
    const auto found = std::find_if(m_audit.begin(), m_audit.end(), [&](const AuditEntry& entry) { return entry.offset == offset; });
    return found == m_audit.end() ? std::nullopt : std::optional(*found);
}

std::string LedgerState::routeVersion(const std::string& route, const std::string& configured) const
{
    const auto found = m_routeVersions.find(route);
    const bool isCurrent = found != m_routeVersions.end() && found->second.configured == configured;
    return isCurrent ? found->second.version : configured;
}

void LedgerState::audit(
    const LogRecord& record, const std::string& author, const std::string& action, bool accepted, const std::string& detail)
{
    m_audit.push_back({ record.offset, record.timeMs, author, action, accepted, detail });
    if (m_audit.size() > maxAuditEntries)
        m_audit.pop_front();
}

void LedgerState::rememberResult(const RecordResult& result)
{
    m_recentRecords.push_back(result);
    if (m_recentRecords.size() > maxRecentRecords)
        m_recentRecords.pop_front();
}

json LedgerState::toJson() const
{
    auto rollouts = json::array();
    for (const auto& [name, rollout] : m_rollouts)
        rollouts.push_back({ { "offset", rollout.offset }, { "step", bronzeswitch::toJson(rollout.step) } });
    auto leases = json::object();
    for (const auto& [name, lease] : m_leases)
        leases[name] = { { "holder", lease.holder }, { "fence", lease.fencingNumber }, { "duration_ms", lease.duration.count() } };
    auto versions = json::object();
    for (const auto& [route, version] : m_routeVersions)
        versions[route] = { { "configured", version.configured }, { "version", version.version } };
    return { { "next", m_nextOffset }, { "revision", m_revision }, { "accepted", m_lastAcceptedOffset },
        { "document", m_document.toJson() }, { "rollouts", rollouts }, { "leases", leases }, { "versions", versions } };
}

Result<LedgerState> LedgerState::fromJson(const json& value)
{
    try {
        LedgerState state;
        state.m_nextOffset = value.at("next");
        state.m_revision = value.at("revision");
        state.m_lastAcceptedOffset = value.at("accepted");
        auto document = ConfigDocument::fromJson(value.at("document"));
        if (!document)
            return tl::unexpected(document.error());
        state.m_document = *document;
        for (const auto& item : value.at("rollouts")) {
            const auto record = controlRecordFromJson(item.at("step"));
            if (!record || !std::holds_alternative<RolloutStepRecord>(*record))
                return fail(ErrorCode::Protocol, "ledger state: unreadable rollout step");
            const auto& step = std::get<RolloutStepRecord>(*record);
            state.m_rollouts[step.rollout] = { step, item.at("offset") };
        }
        for (const auto& [name, lease] : value.at("leases").items())
            state.m_leases[name] = { lease.at("holder"), lease.at("fence"), Duration(lease.at("duration_ms").get<int64_t>()) };
        for (const auto& [route, version] : value.at("versions").items())
            state.m_routeVersions[route] = { version.at("configured"), version.at("version") };
        return state;
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("ledger state: ") + error.what());
    }
}

LedgerRecovery::LedgerRecovery(int64_t firstOffset)
    : m_isComplete(firstOffset <= 1)
    , m_nextOffset(firstOffset)
{
}

void LedgerRecovery::apply(const LogRecord& record)
{
    m_nextOffset = record.offset + 1;
    if (m_isComplete) {
        m_state.apply(record);
        return;
    }
    const auto decoded = controlRecordFromJson(record.data);
    if (!decoded)
        return;
    if (const auto* snapshot = std::get_if<SnapshotRecord>(&*decoded)) {
        const auto state = LedgerState::fromJson(snapshot->state);
        if (!state)
            return;
        m_state = *state;
        m_snapshotOffset = record.offset;
    }
    if (m_snapshotOffset)
        m_state.apply(record);
    const auto* confirm = std::get_if<SnapshotConfirmRecord>(&*decoded);
    m_isComplete = confirm && m_snapshotOffset == confirm->snapshotOffset;
}

} // namespace bronzeswitch
