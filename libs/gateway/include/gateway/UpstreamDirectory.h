#pragma once

#include <base/TimerService.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** The directory entry of an upstream, as the upstream has written it. */
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string address; /**< As "address:port", with an IP address. */
    std::string dataCentre;
    std::string version;
    int slots = 0; /**< Requests that the upstream runs concurrently. */
    bool isDraining = false;
    bool isWarmingUp = false; /**< Slower than usual because it has just started. */
    int64_t startedAt = 0; /**< Unix milliseconds of its start; 0 if unknown. */
    Duration coldRemaining { 0 }; /**< For how long it was cold when it wrote the entry. */
    std::optional<int64_t> sequence {}; /**< Rises with each write of the entry, and begins anew with each start of the upstream. */

    bool operator==(const UpstreamEntry&) const = default;
};

/**
 * The known upstreams, kept up to date by the changes that are read from the source of routing and directory.
 *
 * An upstream numbers the entries that it writes. One that it wrote before the known one may arrive late, or come back when the source
 * is restored from a copy; it is outdated and changes nothing. After a removal, so is the last known entry itself.
 *
 * While the source is unreachable to the upstreams, they can't renew their entries, so that entries of running upstreams
 * expire. Removals that are reported soon after such an outage are therefore delayed, so that an upstream can write its entry
 * again before it is dropped.
 */
class UpstreamDirectory {
public:
    /**
     * Adds or updates an entry, and cancels a delayed removal. An outdated entry is ignored.
     * @return true if it is new, cancels a delayed removal, or more than its heartbeat and the remaining time of its cold start has
     * changed.
     */
    bool put(const UpstreamEntry&);

    /** @return true if the upstream has written the entry before the last known one; false if their order is unknown. */
    bool isOutdated(const UpstreamEntry&) const;

    /** Removes an entry. @param graceUntil the removal is delayed until then. @return true if the entry was removed now. */
    bool remove(const std::string& id, TimePoint now, TimePoint graceUntil);

    /** Removes, or delays the removal of, all entries but those listed. @return true if any was removed now. */
    bool retain(const std::set<std::string>& ids, TimePoint now, TimePoint graceUntil);

    /** Carries out the delayed removals that are due, and forgets removals of long ago. @return true if any entry was removed. */
    bool expire(TimePoint now);

    /**
     * Records that an upstream leaves, which it has stated itself. Holds until it starts again, whatever its entry says.
     * @param startedAt latest start that leaves; of earlier ones, entries may still come.
     * @return true if its entry has changed.
     */
    bool setLeaving(const std::string& id, int64_t startedAt);

    /**
     * @return the upstreams that have stated that they leave although their entries do not say so, with the latest starts for which that
     * holds.
     */
    std::map<std::string, int64_t> leavingUnlisted() const;

    const std::map<std::string, UpstreamEntry>& entries() const { return m_entries; }
    /** @return the entry, or null. */
    const UpstreamEntry* find(const std::string& id) const;

private:
    /** The last entry that was removed of an upstream. */
    struct RemovedEntry {
        UpstreamEntry entry;
        TimePoint removedAt {};
    };

    bool erase(const std::string& id, TimePoint now);
    bool hasStatedLeaving(const UpstreamEntry&) const;
    void dropExcessStatements();

    std::map<std::string, UpstreamEntry> m_entries; /**< By identifier. */
    std::map<std::string, RemovedEntry> m_removed; /**< By identifier, for a time. */
    std::map<std::string, int64_t> m_leaving; /**< Latest starts of the upstreams that have stated that they leave, by identifier. */
    std::set<std::string> m_listedDraining; /**< Upstreams whose entries say that they leave. */
    std::map<std::string, TimePoint> m_pendingRemovals; /**< When delayed removals are due, by identifier. */
};

} // namespace bronzeswitch
