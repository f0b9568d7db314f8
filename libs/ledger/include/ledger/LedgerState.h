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
    int64_t offset = 0; /**< Place of the step in the log; the base of the next one. */

    bool operator==(const RolloutState&) const = default;
};

/** The newest accepted record of a lease; its offset is the fencing number. */
struct LeaseState {
    std::string holder;
    int64_t fence = 0;
    Duration duration { 0 };

    bool operator==(const LeaseState&) const = default;
};

/** The version that a finished rollout left a route with. */
struct RouteVersion {
    std::string configured; /**< Version in the configuration when the rollout finished. */
    std::string version;

    bool operator==(const RouteVersion&) const = default;
};

/** One line of the audit trail. */
struct AuditEntry {
    int64_t offset = 0;
    int64_t timeMs = 0;
    std::string author;
    std::string action;
    bool accepted = false;
    std::string detail;

    bool operator==(const AuditEntry&) const = default;
};

/** Where a record stands and whether it was accepted. */
struct RecordResult {
    std::string id;
    int64_t offset = 0;
    bool accepted = false;

    bool operator==(const RecordResult&) const = default;
};

/** What applying one record did. */
enum class ApplyOutcome { Accepted, Rejected, Duplicate, NoEffect };

/**
 * The state that the control stream of the log defines.
 *
 * Every node applies the same records in the same order, so two nodes at the same offset hold equal states. The log is
 * the only arbiter: a record is accepted or rejected by rules that depend on nothing but the records before it.
 *
 *     LedgerState state;
 *     state.apply(record);
 *     auto document = state.document();
 */
class LedgerState {
public:
    LedgerState() = default;

    /** Applies the next record of the stream; records before nextOffset() are ignored. */
    ApplyOutcome apply(const LogRecord&);

    /** @return the offset of the first record that has not been applied. */
    int64_t nextOffset() const { return m_nextOffset; }

    /** @return the place of the last accepted configuration change, 0 when there is none. */
    int64_t revision() const { return m_revision; }

    const ConfigDocument& document() const { return m_document; }
    const std::map<std::string, RolloutState>& rollouts() const { return m_rollouts; }
    const std::map<std::string, LeaseState>& leases() const { return m_leases; }
    const std::deque<AuditEntry>& audit() const { return m_audit; }

    /** @return the offset of the newest record that changed the state. */
    int64_t lastAccepted() const { return m_lastAccepted; }

    /** @return the offset of the newest confirmed snapshot, if any. */
    std::optional<int64_t> confirmedSnapshot() const { return m_confirmedSnapshot; }

    /** @return what became of a record, if it is recent. */
    std::optional<RecordResult> findRecord(const std::string& id) const;

    /** @return the audit entry at an offset, if it is recent. */
    std::optional<AuditEntry> findAudit(int64_t offset) const;

    /** @return the version that a route uses for traffic outside a running rollout. */
    std::string routeVersion(const std::string& route, const std::string& configured) const;

    /** @return the state without its audit trail, the form it has in snapshots and between peers. */
    nlohmann::json toJson() const;
    static Result<LedgerState> fromJson(const nlohmann::json&);

private:
    ApplyOutcome applyChange(const ChangeRecord&, const LogRecord&);
    ApplyOutcome applyStep(const RolloutStepRecord&, const LogRecord&);
    ApplyOutcome applyLease(const LeaseRecord&, const LogRecord&);
    ApplyOutcome applyRecord(const ControlRecord&, const LogRecord&);
    std::string refusalOf(const RolloutStepRecord&) const;
    void audit(const LogRecord&, const std::string& author, const std::string& action, bool accepted, const std::string& detail);
    void remember(const RecordResult&);

    int64_t m_nextOffset = 1;
    int64_t m_revision = 0;
    int64_t m_lastAccepted = 0;
    ConfigDocument m_document;
    std::map<std::string, RolloutState> m_rollouts;
    std::map<std::string, LeaseState> m_leases;
    std::map<std::string, RouteVersion> m_routeVersions;
    std::optional<int64_t> m_confirmedSnapshot;
    std::deque<AuditEntry> m_audit;
    std::deque<RecordResult> m_recentRecords;
};

/**
 * Rebuilds a state from a log whose oldest records are gone.
 *
 * Starts at the first snapshot it meets and trusts the result once that snapshot is confirmed; with a log that still
 * holds offset 1 it needs no snapshot.
 */
class LedgerRecovery {
public:
    /** @param first oldest offset that the log keeps. */
    explicit LedgerRecovery(int64_t first);

    /** Applies the next record. */
    void apply(const LogRecord&);

    /** @return true once the state can be trusted. */
    bool isComplete() const { return m_isComplete; }

    int64_t nextOffset() const { return m_nextOffset; }
    const LedgerState& state() const { return m_state; }

private:
    bool m_isComplete = false;
    std::optional<int64_t> m_snapshot;
    int64_t m_nextOffset = 0;
    LedgerState m_state;
};

} // namespace bronzeswitch
