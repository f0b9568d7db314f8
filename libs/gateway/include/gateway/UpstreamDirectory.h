#pragma once

#include <base/TimerService.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What an upstream says of itself in the directory. */
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string address; /**< IP number and port. */
    std::string dataCentre;
    std::string version;
    int slots = 0;
    bool isDraining = false;
    bool isWarmingUp = false; /**< Slow since it has just started. */
    int64_t startedAt = 0; /**< Unix milliseconds of its start, 0 if it doesn't tell. */

    bool operator==(const UpstreamEntry&) const = default;
};

/**
 * The upstreams that exist, as the directory's changes tell.
 *
 * An entry that is removed right after the directory was away may only have lapsed meanwhile, so its removal waits for
 * a short time, in which the upstream may come back.
 */
class UpstreamDirectory {
public:
    /** Takes a new or changed entry. @return true if anything but its heartbeat changed. */
    bool put(const UpstreamEntry&);

    /** Takes the removal of an entry. @param graceUntil removal waits until then. */
    bool remove(const std::string& id, TimePoint now, TimePoint graceUntil);

    /** Removes what the whole list no longer shows. */
    bool retain(const std::set<std::string>& ids, TimePoint now, TimePoint graceUntil);

    /** Carries out the removals whose time has come. @return true if anything changed. */
    bool expire(TimePoint now);

    const std::map<std::string, UpstreamEntry>& entries() const { return m_entries; }
    const UpstreamEntry* find(const std::string& id) const;

private:
    std::map<std::string, UpstreamEntry> m_entries;
    std::map<std::string, TimePoint> m_removals;
};

} // namespace bronzeswitch
