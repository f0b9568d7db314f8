#pragma once

#include <base/TimerService.h>
#include <config/ConfigDocument.h>

#include <string>
#include <variant>

namespace bronzeswitch {

/** Name of the log stream that carries configuration, rollout steps and leases. */
inline constexpr const char* controlStream = "control";

/** A change of the configuration. Accepted if its base is the current revision. */
struct ChangeRecord {
    std::string id;
    std::string author;
    int64_t base = 0;
    ConfigDelta delta;

    bool operator==(const ChangeRecord&) const = default;
};

/** Stages of a rollout. Finished and TakenBack (rolled back) are final. */
enum class RolloutStage { Pending, Canary, Expanding, Soaking, Finished, TakenBack };

/** @return the lower-case name that records and interfaces use for a stage. */
const char* toString(RolloutStage);

/** @return true if a rollout in this stage accepts no further step. */
bool isFinal(RolloutStage);

/** One step of a rollout. Accepted if its base is the offset of the rollout's previous step, or 0 for the first one. */
struct RolloutStepRecord {
    std::string id;
    std::string rollout;
    std::string route;
    std::string from;
    std::string to;
    std::string author;
    int64_t base = 0;
    RolloutStage stage = RolloutStage::Pending;
    double share = 0; /**< Largest share of the route's requests for the candidate version, 0 to 1. */
    std::string reason;

    bool operator==(const RolloutStepRecord&) const = default;
};

/**
 * Acquires or renews a lease, or releases it if the duration is 0. Accepted if its base is the fencing number of the lease's
 * previous record, or 0 for the first one.
 */
struct LeaseRecord {
    std::string id;
    std::string lease;
    std::string holder;
    int64_t base = 0;
    Duration duration { 0 };

    bool operator==(const LeaseRecord&) const = default;
};

/** A copy of the control state, which replaces the records before it. Readers use it only once it is confirmed. */
struct SnapshotRecord {
    std::string id;
    nlohmann::json state;

    bool operator==(const SnapshotRecord&) const = default;
};

/** Confirms that no record was accepted between the state that a snapshot copies and the snapshot's own offset. */
struct SnapshotConfirmRecord {
    std::string id;
    int64_t snapshotOffset = 0;

    bool operator==(const SnapshotConfirmRecord&) const = default;
};

using ControlRecord = std::variant<ChangeRecord, RolloutStepRecord, LeaseRecord, SnapshotRecord, SnapshotConfirmRecord>;

/** @return a record as it is stored in the log. */
nlohmann::json toJson(const ControlRecord&);

/** @return the record, or Protocol if the value can't be read. */
Result<ControlRecord> controlRecordFromJson(const nlohmann::json&);

/** @return the unique ID of a record. */
std::string idOf(const ControlRecord&);

} // namespace bronzeswitch
