#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Timing of the registrations of nodes. */
struct RegistrationTimes {
    Duration renewInterval { 10000 }; /**< Between two renewals of the live nodes' registrations. */
    int maxMissedRenewals = 4; /**< A registration that was not renewed in so many intervals has expired. */

    bool operator==(const RegistrationTimes&) const = default;
};

/** A node in the registry. */
struct RegisteredNode {
    std::string address; /**< By which its peers know it. */
    std::string dataCentre;

    bool operator==(const RegisteredNode&) const = default;
};

/**
 * The nodes that are registered in durable storage, as far as this node has read.
 *
 * Load pattern: an organisation sends many times its quota while nodes are replaced, and the new nodes can't reach the old ones. A node
 * that hears no other can't tell whether it is the only one, so the number of nodes comes from the registry. A new node registers itself
 * and then reads the registry: of two nodes that start at the same time, at least one reads of the other.
 *
 * One of the nodes that hear each other is the registrar. It renews the registrations of all of them in one write per interval. Nodes
 * that are cut off from the others have a registrar of their own, so their registrations stay. The registrar removes a registration that
 * nobody renews. Only intervals in which it could read and write the registry itself count, so none expires while the storage is away.
 *
 *     registry.reset(registrations); // After a complete read.
 *     registry.onJoined(now); // At the start, once this node is registered too.
 *     registry.put(registration); // For each change since.
 *     registry.onRenewed(liveNodes, now); // After each renewal.
 */
class NodeRegistry {
public:
    /** A registration as read, with the position at which it was written. */
    struct Registration {
        RegisteredNode node;
        SourcePosition position;

        bool operator==(const Registration&) const = default;
    };

    explicit NodeRegistry(RegistrationTimes times = {})
        : m_times(times)
    {
    }

    /** Replaces the contents by a complete list. */
    void reset(const std::vector<Registration>&);

    /** Notes that this node is registered and has read the registry since. */
    void onJoined(TimePoint now) { m_lastRenewal = now; }

    /** Adds a registration or renews it. */
    void put(const Registration&);

    /** Adds nodes that are live but have not been read, for example because they have just started. */
    void addMissing(const std::vector<RegisteredNode>& live);

    /** Removes a registration. */
    void remove(const std::string& address) { m_entries.erase(address); }

    bool contains(const std::string& address) const { return m_entries.contains(address); }

    /** @return the number of registrations. */
    int size() const { return static_cast<int>(m_entries.size()); }

    /** @return true if the registrar should renew the live nodes' registrations. */
    bool isRenewalDue(TimePoint now) const { return m_lastRenewal && now - *m_lastRenewal >= m_times.renewInterval; }

    /** @return true if this node has joined or renewed registrations a short time ago. */
    bool isCurrent(TimePoint now) const { return m_lastRenewal && now - *m_lastRenewal < 2 * m_times.renewInterval; }

    /**
     * Notes that the registrations of live nodes have been renewed, after the changes of others were read. Counts for the other nodes that
     * they have not been renewed, unless they were since the last call.
     */
    void onRenewed(const std::vector<RegisteredNode>& live, TimePoint now);

    /** @return the addresses whose registrations have expired. */
    std::vector<std::string> expired() const;

    /**
     * @return registered nodes for a node to contact so that it gets to know the others, from its own data centre first.
     * @param own this node.
     * @param known addresses that it knows already.
     * @param count at most so many. Each node gets others, so that not all contact the same ones.
     */
    std::vector<std::string> contactsFor(const RegisteredNode& own, const std::set<std::string>& known, std::size_t count) const;

private:
    struct Entry {
        std::string dataCentre;
        SourcePosition position;
        int missedRenewals = 0;
    };

    RegistrationTimes m_times;
    std::map<std::string, Entry> m_entries;
    std::optional<TimePoint> m_lastRenewal; /**< Or when this node joined; none before. */
};

} // namespace bronzeswitch
