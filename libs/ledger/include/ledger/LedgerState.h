#pragma once

#include <infra/AppendLog.h>
#include <ledger/Records.h>

#include <deque>
#include <map>
#include <optional>

namespace bronzeswitch {

/** The newest accepted step of a rollout. */
struct RolloutState {
    RolloutStepRecord step;
    int64_t offset = 0; /**< Offset of the step's record; the next step must name it as its base. */

    bool operator==(const RolloutState&) const = default;
};

/** The newest accepted record of a lease. */
struct LeaseState {
    std::string holder;
    int64_t fencingNumber = 0; /**< Offset of the record. */
    Duration duration { 0 };

    bool operator==(const LeaseState&) const = default;
};

/** The version that a finished rollout set for a route. */
struct RouteVersion {
    std::string configured; /**< The route's configured version when the rollout finished; the override ends when that changes. */
    std::string version;

    bool operator==(const RouteVersion&) const = default;
};

/** One entry of the audit trail: a control record that was accepted or rejected. */
struct AuditEntry {
    int64_t offset = 0;
    int64_t timeMs = 0; /**< Unix time in milliseconds, by the log's clock. */
    std::string author;
    std::string action;
    bool accepted = false;
    std::string detail; /**< Changed entries, the reason of a rollout step, or why the record was rejected. */

    bool operator==(const AuditEntry&) const = default;
};

/** Offset of a control record and whether it was accepted. */
struct RecordResult {
    std::string id;
    int64_t offset = 0;
    bool accepted = false;

    bool operator==(const RecordResult&) const = default;
};

/** Effect of applying one record. */
enum class ApplyOutcome {
    Accepted,
    Rejected, /**< Unreadable, based on an outdated state, or a step of a rollout that has ended. */
    Duplicate, /**< A recent record has the same ID. */
    NoEffect /**< Already applied, a snapshot or the confirmation of one. */
};

/**
 * The control state: a state machine replicated by the log's control stream.
 *
 * Every node applies the same records in the same order, so two nodes at the same offset hold equal states. Whether a
 * record is accepted depends only on the records before it; a change that was based on an older state is rejected.
 *
 *     LedgerState state;
 *     state.apply(record);
 *     auto document = state.document();
 */
class LedgerState {
public:
    LedgerState() = default;

    /** Applies the next record of the stream. Records before nextOffset() are ignored. */
    ApplyOutcome apply(const LogRecord&);

    /** @return the offset of the first record that has not been applied. */
    int64_t nextOffset() const { return m_nextOffset; }

    /** @return the offset of the last accepted configuration change, or 0 if there is none. */
    int64_t revision() const { return m_revision; }

    const ConfigDocument& document() const { return m_document; }
    const std::map<std::string, RolloutState>& rollouts() const { return m_rollouts; }
    const std::map<std::string, LeaseState>& leases() const { return m_leases; }

    /** @return the newest entries of the audit trail, the oldest first. */
    const std::deque<AuditEntry>& audit() const { return m_audit; }

    /** @return the offset of the newest record that changed the state. */
    int64_t lastAcceptedOffset() const { return m_lastAcceptedOffset; }

    /** @return the offset of the newest confirmed snapshot that this state has seen. */
    std::optional<int64_t> confirmedSnapshotOffset() const { return m_confirmedSnapshotOffset; }

    /** @return a record's result, if it is one of the most recent records. */
    std::optional<RecordResult> findRecord(const std::string& id) const;

    /** @return the audit entry of the record at an offset, if the trail still holds it. */
    std::optional<AuditEntry> findAudit(int64_t offset) const;

    /**
     * @return the version of a route outside a running rollout: that of its last finished rollout, unless the configured
     *         version has changed since.
     */
    std::string routeVersion(const std::string& route, const std::string& configured) const;

    /** @return the state for snapshots and peers. It lacks the audit trail, recent record results and the confirmed snapshot. */
    nlohmann::json toJson() const;

    /** @return the state, or Protocol if the value can't be read. */
    static Result<LedgerState> fromJson(const nlohmann::json&);

private:
    ApplyOutcome applyChange(const ChangeRecord&, const LogRecord&);
    ApplyOutcome applyStep(const RolloutStepRecord&, const LogRecord&);
    ApplyOutcome applyLease(const LeaseRecord&, const LogRecord&);
    ApplyOutcome applyRecord(const ControlRecord&, const LogRecord&);
    std::string rejectionReason(const RolloutStepRecord&) const;
    void audit(const LogRecord&, const std::string& author, const std::string& action, bool accepted, const std::string& detail);
    void rememberResult(const RecordResult&);

    int64_t m_nextOffset = 1;
    int64_t m_revision = 0;
    int64_t m_lastAcceptedOffset = 0;
    ConfigDocument m_document;
    std::map<std::string, RolloutState> m_rollouts;
    std::map<std::string, LeaseState> m_leases;
    std::map<std::string, RouteVersion> m_routeVersions;
    std::optional<int64_t> m_confirmedSnapshotOffset;
    std::deque<AuditEntry> m_audit;
    std::deque<RecordResult> m_recentRecords;
};

/**
 * Rebuilds the state from a log whose oldest records have been trimmed.
 *
 * Starts from the newest snapshot read so far, and is complete once the log confirms that snapshot. If the log still holds
 * offset 1, no snapshot is needed.
 */
class LedgerRecovery {
public:
    /** @param firstOffset oldest offset that the log keeps. */
    explicit LedgerRecovery(int64_t firstOffset);

    /** Applies the next record of the stream. */
    void apply(const LogRecord&);

    /** @return true once state() is what a reader of all records, including the trimmed ones, would have. */
    bool isComplete() const { return m_isComplete; }

    int64_t nextOffset() const { return m_nextOffset; }
    const LedgerState& state() const { return m_state; }

private:
    bool m_isComplete = false;
    std::optional<int64_t> m_snapshotOffset; /**< Of the snapshot that the state was taken from. */
    int64_t m_nextOffset = 0;
    LedgerState m_state;
};

} // namespace bronzeswitch
