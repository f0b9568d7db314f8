#include <array>
#include <ledger/Records.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

constexpr std::array stageNames { "pending", "canary", "expanding", "soaking", "finished", "taken-back" };

RolloutStage stageFromName(const std::string& name)
{
    for (size_t i = 0; i < stageNames.size(); ++i) {
        if (name == stageNames[i])
            return static_cast<RolloutStage>(i);
    }
    throw json::other_error::create(0, "unknown stage " + name, static_cast<const json*>(nullptr));
}

struct Encoder {
    json operator()(const ChangeRecord& record) const
    {
        return { { "type", "change" }, { "id", record.id }, { "author", record.author }, { "base", record.base },
            { "delta", toJson(record.delta) } };
    }
    json operator()(const RolloutStepRecord& record) const
    {
        return { { "type", "rollout-step" }, { "id", record.id }, { "rollout", record.rollout }, { "route", record.route },
            { "from", record.from }, { "to", record.to }, { "author", record.author }, { "base", record.base },
            { "stage", toString(record.stage) }, { "share", record.share }, { "reason", record.reason } };
    }
    json operator()(const LeaseRecord& record) const
    {
        return { { "type", "lease" }, { "id", record.id }, { "lease", record.lease }, { "holder", record.holder }, { "base", record.base },
            { "duration_ms", record.duration.count() } };
    }
    json operator()(const SnapshotRecord& record) const
    {
        return { { "type", "snapshot" }, { "id", record.id }, { "state", record.state } };
    }
    json operator()(const SnapshotConfirmRecord& record) const
    {
        return { { "type", "snapshot-confirm" }, { "id", record.id }, { "snapshot", record.snapshotOffset } };
    }
};

Result<ControlRecord> decodeChange(const json& value)
{
    auto delta = configDeltaFromJson(value.at("delta"));
    if (!delta)
        return tl::unexpected(delta.error());
    return ChangeRecord { value.at("id"), value.at("author"), value.at("base"), *delta };
}

ControlRecord decodeStep(const json& value)
{
    RolloutStepRecord record;
    record.id = value.at("id");
    record.rollout = value.at("rollout");
    record.route = value.at("route");
    record.from = value.at("from");
    record.to = value.at("to");
    record.author = value.at("author");
    record.base = value.at("base");
    record.stage = stageFromName(value.at("stage"));
    record.share = value.at("share");
    record.reason = value.at("reason");
    return record;
}

Result<ControlRecord> decode(const json& value)
{
    const auto type = value.at("type").get<std::string>();
    if (type == "change")
        return decodeChange(value);
    if (type == "rollout-step")
        return decodeStep(value);
    if (type == "lease")
        return LeaseRecord { value.at("id"), value.at("lease"), value.at("holder"), value.at("base"),
            Duration(value.at("duration_ms").get<int64_t>()) };
    if (type == "snapshot")
        return SnapshotRecord { value.at("id"), value.at("state") };
    if (type == "snapshot-confirm")
        return SnapshotConfirmRecord { value.at("id"), value.at("snapshot") };
    return fail(ErrorCode::Protocol, "unknown record type '" + type + "'");
}

} // namespace

const char* toString(RolloutStage stage) { return stageNames[static_cast<size_t>(stage)]; }

bool isFinal(RolloutStage stage) { return stage == RolloutStage::Finished || stage == RolloutStage::TakenBack; }

json toJson(const ControlRecord& record) { return std::visit(Encoder {}, record); }

Result<ControlRecord> controlRecordFromJson(const json& value)
{
    try {
        return decode(value);
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("control record: ") + error.what());
    }
}

std::string idOf(const ControlRecord& record)
{
    return std::visit([](const auto& item) { return item.id; }, record);
}

} // namespace bronzeswitch
