#pragma once

#include <base/Hash.h>
#include <ledger/LedgerFollower.h>

namespace bronzeswitch {

/**
 * Appends snapshots of the control state, so that the log can trim the records that the state was built from.
 *
 * A snapshot is confirmed only if the log shows that no record was accepted between the state it copies and its own
 * offset. What lies between two offsets of the log never changes, so a confirmation is valid however late it is appended.
 */
template <AppendLog Log> class Compactor {
public:
    Compactor(std::shared_ptr<Log> log, const LedgerFollower<Log>& follower)
        : m_log(std::move(log))
        , m_follower(follower)
    {
    }

    /** @return true if the newest confirmed snapshot lies more than this number of offsets behind the end of the stream. */
    bool isDue(int64_t recordsBetweenSnapshots) const
    {
        const auto state = m_follower.state();
        return state->nextOffset() - state->confirmedSnapshotOffset().value_or(0) > recordsBetweenSnapshots;
    }

    /**
     * Appends a snapshot and confirms it.
     * @param timeout of each wait for the log.
     * @return the snapshot's offset; Conflict if a record may have been accepted between the copied state and the snapshot;
     *         the errors of submit().
     */
    Result<int64_t> compact(Duration timeout)
    {
        const auto before = m_follower.state();
        const SnapshotRecord snapshot { randomId(), before->toJson() };
        const auto result = submit(*m_log, m_follower, snapshot, timeout);
        if (!result)
            return tl::unexpected(result.error());
        if (m_follower.state()->lastAcceptedOffset() != before->lastAcceptedOffset()
            && !hasNoAcceptedRecords(before->nextOffset(), result->offset, timeout))
            return fail(ErrorCode::Conflict, "a record may have been accepted between the copied state and the snapshot");
        const auto confirmed = submit(*m_log, m_follower, SnapshotConfirmRecord { randomId(), result->offset }, timeout);
        if (!confirmed)
            return tl::unexpected(confirmed.error());
        return result->offset;
    }

private:
    // Checks the offsets [from, to) only, as records accepted after the snapshot don't affect it. Also false if the log can't be
    // read or has trimmed the range.
    bool hasNoAcceptedRecords(int64_t from, int64_t to, Duration timeout)
    {
        if (from >= to)
            return true;
        const auto page = m_log->read(controlStream, from, static_cast<int>(to - from), timeout);
        if (!page || page->firstOffset > from || static_cast<int64_t>(page->records.size()) < to - from)
            return false;
        const auto state = m_follower.state();
        return std::all_of(page->records.begin(), page->records.end(), [&](const LogRecord& record) {
            const auto decoded = controlRecordFromJson(record.data);
            const auto result = decoded ? state->findRecord(idOf(*decoded)) : std::nullopt;
            return result && !result->accepted;
        });
    }

    std::shared_ptr<Log> m_log;
    const LedgerFollower<Log>& m_follower;
};

} // namespace bronzeswitch
