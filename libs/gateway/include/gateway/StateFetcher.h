#pragma once

#include <gateway/GatewayContext.h>
#include <gateway/PeerView.h>
#include <gateway/StateFetchPlan.h>

#include <optional>
#include <random>
#include <string>

namespace bronzeswitch {

/**
 * Fetches routing and directory from peers that have newer state, so that a few nodes read the source for all, and a node that can't
 * reach the source is kept up to date.
 *
 *     StateFetcher fetcher(context, peers, dataCentre);
 *     startTask(executor, fetcher.run(applyState), onFailure);
 */
class StateFetcher {
public:
    static constexpr const char* statePath = "/state"; /**< Where a node serves its state to peers. */
    static constexpr const char* routingStatePath = "/state?routing"; /**< The same without the directory, which is much larger. */

    /** @return the hash in a path for the routing, if the node that requests it states one. */
    static std::optional<uint64_t> patchBaseOf(std::string_view target);

    StateFetcher(GatewayContext&, const PeerView&, std::string dataCentre);

    /**
     * Fetches newer state until stop() is called.
     * @param applyState applies a peer's state where it is newer.
     * @param patchBase returns the hash of the routing to which peers may send a patch, if there is one.
     */
    Task<void> run(std::function<void(const std::string&)> applyState, std::function<std::optional<uint64_t>()> patchBase);

    void stop() { m_isStopping = true; }

    /** @return true if a peer has a newer routing than this node. */
    bool isRoutingOutdated() const { return !newerRoutingHolders().empty(); }

    /** @return what this node has done since it learned of a newer routing that it still lacks, to be logged. */
    nlohmann::json describeCatchUp() const;

    /** Sets the position in the directory's changes up to which this node has read. */
    void setDirectoryPosition(const SourcePosition&);
    const SourcePosition& directoryPosition() const { return m_directoryPosition; }

private:
    /** A peer that has state which this node lacks. */
    struct Target {
        std::string address;
        bool needsDirectory = false; /**< The directory is fetched as well as the routing. */
    };

    /** What was done since this node learned of a newer routing that it still lacks. */
    struct CatchUp {
        TimePoint since;
        int fetches = 0;
        int refusedFetches = 0;
        int failedFetches = 0;
        int sourceReads = 0;
    };

    std::vector<StateHolder> newerRoutingHolders() const;

    /** Begins or ends the catching up. @param holders peers that have a newer routing. */
    void updateCatchUp(const std::vector<StateHolder>& holders, TimePoint now);

    void count(int CatchUp::*counter);

    /**
     * Looks for a peer that has a newer routing, or that has read more of the directory while this node's position stays the same.
     * @return the peer to fetch from now, or nothing.
     */
    std::optional<Target> chooseTarget();

    void startFetch(Target);
    Task<void> fetch(Target);
    std::string pathFor(const Target&) const;

    /** Requests a peer's state and reads it. @return the state, or an error; Conflict if the peer serves enough copies. */
    Task<Result<std::string>> request(const Target&);

    /** Ends the attempts that have become needless because no peer has a newer routing. */
    void abortNeedlessFetches();

    void startSourceRead();
    Task<void> readSource();

    /** @return how long this node has known of a newer routing that it lacks. */
    Duration behindFor(TimePoint now) const;

    GatewayContext& m_context;
    const PeerView& m_peers;
    std::string m_dataCentre;
    StateFetchPlan m_plan { StateFetchPolicy {} };
    std::map<std::string, UpstreamConnection*> m_connections; /**< Of the running fetches of a routing, by the peer's address. */
    bool m_isReadingSource = false;
    std::function<void(const std::string&)> m_applyState;
    std::function<std::optional<uint64_t>()> m_patchBase;
    SourcePosition m_directoryPosition;
    TimePoint m_directoryPositionChangedAt {};
    std::optional<CatchUp> m_catchUp; /**< Absent while no peer has a newer routing. */
    std::minstd_rand m_random { std::random_device {}() };
    bool m_isStopping = false;
};

} // namespace bronzeswitch
