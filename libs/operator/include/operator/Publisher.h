#pragma once

#include <base/Hash.h>
#include <config/Configuration.h>
#include <ledger/LedgerFollower.h>

#include <string>

namespace bronzeswitch {

/** What a publication found and did. */
struct Publication {
    int64_t baseRevision = 0;
    int64_t revision = 0; /**< Revision after it; the base when there was no difference. */
    ConfigDelta delta;

    bool operator==(const Publication&) const = default;
};

/** Lists a change one line an entry: "+ set", "~ change" or "- remove" against a document. */
std::string describeChange(const ConfigDocument& before, const ConfigDelta&);

/** Names the accepted changes after a revision, with author and entries, for a conflict's message. */
std::string describeChangesAfter(const LedgerState&, int64_t base);

/**
 * Publishes operators' configuration through the log.
 *
 *     Publisher<HttpLog> publisher(log);
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

    /** Reads the log to its end. @return the state in force, or why it can't be read. */
    Result<std::shared_ptr<const LedgerState>> loadState()
    {
        constexpr int attempts = 20;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            if (!m_follower.readOnce(Duration(0)) && !m_follower.isLogReachable())
                return fail(ErrorCode::Unavailable, "the log can't be read");
            if (m_follower.isReady())
                return m_follower.state();
        }
        return fail(ErrorCode::Unavailable, "the log has forgotten old records and holds no confirmed snapshot yet");
    }

    /** @return what would change, against the revision in force. */
    Result<Publication> plan(const ConfigDocument& document)
    {
        const auto state = loadState();
        if (!state)
            return tl::unexpected(state.error());
        return Publication { (*state)->revision(), (*state)->revision(), (*state)->document().differenceTo(document) };
    }

    /**
     * Appends a planned change on its base.
     * @return the new revision; Conflict naming the other's change when another was first; Timeout with the record's
     *         identifier when its fate is not known yet.
     */
    Result<Publication> publish(const Publication& planned, const std::string& author)
    {
        if (planned.delta.isEmpty())
            return planned;
        const ChangeRecord record { randomId(), author, planned.baseRevision, planned.delta };
        m_follower.start();
        constexpr Duration limit { 10000 };
        const auto fate = submit(*m_log, m_follower, record, limit);
        if (!fate)
            return tl::unexpected(fate.error());
        if (!fate->accepted)
            return fail(
                ErrorCode::Conflict, "another change was first: " + describeChangesAfter(*m_follower.state(), planned.baseRevision));
        return Publication { planned.baseRevision, fate->offset, planned.delta };
    }

private:
    std::shared_ptr<Log> m_log;
    LedgerFollower<Log> m_follower;
};

} // namespace bronzeswitch
