#pragma once

#include <base/Hash.h>
#include <config/Configuration.h>
#include <ledger/LedgerFollower.h>

#include <string>

namespace bronzeswitch {

/** A planned or published change of the configuration. */
struct Publication {
    int64_t baseRevision = 0; /**< Revision that the change applies to. */
    int64_t revision = 0; /**< Revision after publication; the base revision if the change is only planned or empty. */
    ConfigDelta delta;

    bool operator==(const Publication&) const = default;
};

/** Describes a change of a document, one line per entry, which starts with "+" (added), "~" (changed) or "-" (removed). */
std::string describeChange(const ConfigDocument& before, const ConfigDelta&);

/** Lists the changes accepted after a revision, with their authors and entries, for the message of a conflict. */
std::string describeChangesAfter(const LedgerState&, int64_t revision);

/**
 * Publishes the operators' configuration through the log.
 *
 *     Publisher<HttpAppendLog> publisher(log);
 *     auto plan = publisher.plan(document);
 *     auto publication = publisher.publish(*plan, "anna");
 */
template <AppendLog Log> class Publisher {
public:
    explicit Publisher(std::shared_ptr<Log> log)
        : m_log(std::move(log))
        , m_follower(m_log)
    {
    }

    /** Reads the log to its end. @return the ledger's current state, or Unavailable if it can't be read. */
    Result<std::shared_ptr<const LedgerState>> loadState()
    {
        constexpr int attempts = 20;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            if (!m_follower.readOnce(Duration(0)) && !m_follower.isLogReachable())
                return fail(ErrorCode::Unavailable, "the log can't be read");
            if (m_follower.isReady())
                return m_follower.state();
        }
        return fail(ErrorCode::Unavailable, "the log has trimmed old records and holds no confirmed snapshot yet");
    }

    /** @return the difference between the revision in force and a document. */
    Result<Publication> plan(const ConfigDocument& document)
    {
        const auto state = loadState();
        if (!state)
            return tl::unexpected(state.error());
        return Publication { (*state)->revision(), (*state)->revision(), (*state)->document().differenceTo(document) };
    }

    /**
     * Publishes a planned change, unless it is empty.
     * @return the new revision; Conflict, with the other changes, if the base revision is no longer in force; Timeout, with
     *         the record's identifier, if it is not known yet whether the change was accepted.
     */
    Result<Publication> publish(const Publication& planned, const std::string& author)
    {
        if (planned.delta.isEmpty())
            return planned;
        const ChangeRecord record { randomId(), author, planned.baseRevision, planned.delta };
        m_follower.start();
        constexpr Duration timeout { 10000 };
        const auto result = submit(*m_log, m_follower, record, timeout);
        if (!result)
            return tl::unexpected(result.error());
        if (!result->accepted)
            return fail(ErrorCode::Conflict,
                "another change was accepted first: " + describeChangesAfter(*m_follower.state(), planned.baseRevision));
        return Publication { planned.baseRevision, result->offset, planned.delta };
    }

private:
    std::shared_ptr<Log> m_log;
    LedgerFollower<Log> m_follower;
};

} // namespace bronzeswitch
