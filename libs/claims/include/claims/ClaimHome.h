#pragma once

#include <base/Hash.h>
#include <claims/ClaimOwnership.h>
#include <claims/ClaimPartition.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace bronzeswitch {

/**
 * Grants claims on the idempotency keys of one partition, at the partition's home: the node that all nodes send its claim
 * requests to. A claim reserves a key for one attempt to run its request.
 *
 * While the log is reachable, a claim is granted only after the home has appended it and has read the log up to its own
 * record. So the first claim in log order wins, even if two nodes both act as the home. Claims that arrive while an
 * append is in progress are batched into the next one.
 *
 * While the log is unreachable, only the partition's owner grants claims, from memory, and only after every known node has
 * promised not to take the partition over for the duration of a lease. It appends these unlogged claims once the log is
 * reachable again. ClaimOwnership holds the rules.
 *
 * Thread-safe. An internal thread reads and appends to the log.
 *
 *     ClaimHome<HttpAppendLog> home(0, log, options);
 *     home.onRequest("n1", request);
 */
template <AppendLog Log> class ClaimHome {
public:
    struct Options {
        std::string node; /**< Name of this node. */
        ClaimTiming timing;
        std::function<void(const std::string& node, const ClaimResponse&)> sendResponse; /**< Sends a response to a requesting node. */
        std::function<bool(const std::string& node)> isLive; /**< @return true if a node is running, as far as this node knows. */
        std::function<bool()> isPreferred; /**< @return true if this node should own the partition. If not, it releases the partition. */
        std::function<std::vector<std::string>()> knownPeers; /**< Every other node that may take the partition over. */
        std::function<void(const std::string& node, const ClaimDeclaration&)> sendDeclaration;
        std::function<Duration()> validity; /**< How long a key is remembered after it was claimed. */
        std::function<StreamEndOffsets()> streamEndOffsets; /**< See ClaimOwnership::onCaughtUp. */
    };

    ClaimHome(int partition, std::shared_ptr<Log> log, Options options)
        : m_partitionNumber(partition)
        , m_stream(ClaimPartition::streamOf(partition))
        , m_log(std::move(log))
        , m_options(std::move(options))
        , m_ownership(m_options.node, m_options.timing)
        , m_thread([this] { run(); })
    {
    }

    ~ClaimHome()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
    }

    ClaimHome(const ClaimHome&) = delete;
    ClaimHome& operator=(const ClaimHome&) = delete;

    /** Handles a claim request. The response is sent through Options::sendResponse, now or later. A resent request is harmless. */
    void onRequest(const std::string& node, const ClaimRequest& request)
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_pendingRequests, [&](const PendingRequest& item) { return item.node == node && item.request.id == request.id; });
        m_pendingRequests.push_back({ node, request, m_options.validity().count(), std::chrono::steady_clock::now() + maxResponseDelay });
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Handles the outcome of an attempt: responds to the requests that wait for it, and logs it with the next append. */
    void onOutcome(const ClaimOutcome& outcome)
    {
        std::lock_guard lock(m_mutex);
        m_pendingOutcomes.push_back(outcome);
        const auto claimed = m_unloggedClaims.find(outcome.key);
        const bool isNotRun = claimed != m_unloggedClaims.end() && claimed->second.attempt == outcome.attempt && !outcome.status;
        if (isNotRun)
            m_unloggedClaims.erase(claimed);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Checks again whether this node should own the partition. */
    void onMembersChanged()
    {
        std::lock_guard lock(m_mutex);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Handles another owner's request for a promise not to take the partition over. @return true if this node promises. */
    bool onDeclaration(const ClaimDeclaration& declaration)
    {
        std::lock_guard lock(m_mutex);
        return m_ownership.promise(declaration, m_partition, std::chrono::steady_clock::now());
    }

    /** Handles a peer's promise. */
    void onDeclarationAck(const std::string& from, const ClaimDeclarationAck& ack)
    {
        std::lock_guard lock(m_mutex);
        m_ownership.onAck(from, ack);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /**
     * Releases the partition, so that another node can take it over without waiting for the lease to expire.
     * @return false if the release was not in the log within the timeout.
     */
    bool releaseOwnership(Duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_isReleasing = true;
        m_hasWork = true;
        m_changed.notify_all();
        return m_changed.wait_for(lock, timeout, [this] { return !m_ownership.owns(m_partition); });
    }

    /** @return true if this process is the owner by the log records read so far. */
    bool isOwner() const
    {
        std::lock_guard lock(m_mutex);
        return m_ownership.owns(m_partition);
    }

    /** @return the number of keys that the log records read so far hold. */
    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_partition.size();
    }

private:
    // A claim request that has not been responded to yet.
    struct PendingRequest {
        std::string node;
        ClaimRequest request;
        int64_t validityMs = 0;
        std::chrono::steady_clock::time_point respondBy; /**< Then the response is Running or Unavailable, if nothing better is known. */
    };

    static constexpr int pageSize = 512;
    static constexpr auto maxResponseDelay = std::chrono::milliseconds(1500);
    static constexpr auto outagePollInterval = std::chrono::milliseconds(50);
    static constexpr auto logAttemptInterval = std::chrono::milliseconds(500);
    static constexpr auto pollInterval = std::chrono::milliseconds(200);

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            const bool isIdle
                = m_pendingRequests.empty() && m_pendingOutcomes.empty() && !m_ownership.owns(m_partition) && !m_options.isPreferred();
            if (isIdle)
                m_changed.wait(lock, [this] { return m_isStopping || m_hasWork; });
            else if (!m_hasWork)
                m_changed.wait_for(lock, m_isCaughtUp ? pollInterval : outagePollInterval, [this] { return m_isStopping || m_hasWork; });
            m_hasWork = false;
            if (m_isStopping)
                return;
            runOnce(lock);
        }
    }

    void runOnce(std::unique_lock<std::mutex>& lock)
    {
        // A failing log is tried only at intervals, so that claims granted without it don't wait for its timeouts.
        const auto now = std::chrono::steady_clock::now();
        m_isCaughtUp = now >= m_nextLogAttempt && catchUp(lock);
        if (!m_isCaughtUp && now >= m_nextLogAttempt)
            m_nextLogAttempt = std::chrono::steady_clock::now() + logAttemptInterval;
        if (m_isCaughtUp)
            m_ownership.onCaughtUp(m_partition, std::chrono::steady_clock::now(), m_options.streamEndOffsets());
        else
            requestPromises(lock);
        respondToPending();
        if (m_isCaughtUp && commit(lock))
            respondToPending();
        m_changed.notify_all();
    }

    // Reads the stream to its end. Releases the lock during the reads.
    bool catchUp(std::unique_lock<std::mutex>& lock)
    {
        for (;;) {
            const auto from = m_partition.nextOffset();
            lock.unlock();
            const auto page = m_log->read(m_stream, from, pageSize, Duration(0));
            lock.lock();
            if (!page)
                return false;
            if (page->firstOffset > from)
                m_partition.onTrimmed(
                    page->firstOffset, page->records.empty() ? std::nullopt : std::optional(page->records.front().timeMs));
            for (const auto& record : page->records)
                m_partition.apply(record);
            if (m_partition.nextOffset() >= page->nextOffset)
                return true;
        }
    }

    // Sends the next round of requests for promises to all known nodes, if this node is the owner and a round is due.
    void requestPromises(std::unique_lock<std::mutex>& lock)
    {
        const auto peers = m_options.knownPeers();
        const auto declaration = m_ownership.nextDeclaration(m_partition, m_partitionNumber, peers, std::chrono::steady_clock::now());
        if (!declaration)
            return;
        lock.unlock();
        for (const auto& peer : peers)
            m_options.sendDeclaration(peer, *declaration);
        lock.lock();
    }

    // Responds to every pending request whose response is known.
    void respondToPending()
    {
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(m_pendingRequests, [&](const PendingRequest& pending) {
            const auto response = responseFor(pending, now);
            if (response)
                m_options.sendResponse(pending.node, *response);
            return response.has_value();
        });
    }

    std::optional<ClaimResponse> responseFor(const PendingRequest& pending, std::chrono::steady_clock::time_point now)
    {
        ClaimResponse response;
        response.id = pending.request.id;
        if (const auto* outcome = pendingOutcome(pending.request.key))
            return withOutcome(response, *outcome);
        const auto* entry = findEntry(pending.request.key);
        const bool isFree = !entry || (entry->outcome && !entry->outcome->status);
        if (isFree)
            return responseForFreeKey(pending, response, now);
        response.owner = entry->node;
        if (entry->outcome)
            return withOutcome(response, *entry->outcome);
        if (entry->attempt == pending.request.attempt)
            return responseForWinner(pending, response);
        response.state = ClaimState::Unknown;
        if (!m_options.isLive(entry->node))
            return response;
        response.state = ClaimState::Running;
        // The request waits for the running attempt's outcome. If there is none in time, the requesting node resends the request.
        return now >= pending.respondBy ? std::optional(response) : std::nullopt;
    }

    // A logged claim has won only once the log has been read to its end; an unlogged one has won at once.
    std::optional<ClaimResponse> responseForWinner(const PendingRequest& pending, ClaimResponse response) const
    {
        response.state = ClaimState::Granted;
        const bool isCertain = m_isCaughtUp || m_unloggedClaims.contains(pending.request.key);
        return isCertain ? std::optional(response) : std::nullopt;
    }

    std::optional<ClaimResponse> responseForFreeKey(
        const PendingRequest& pending, ClaimResponse response, std::chrono::steady_clock::time_point now)
    {
        const bool knowsAllClaims
            = m_partition.isHistoryComplete(pending.validityMs) && !m_ownership.mayMissClaims(Duration(pending.validityMs), now);
        if (!knowsAllClaims) {
            m_needsLogTime = true;
            response.state = ClaimState::Unknown;
            return response;
        }
        const bool mayClaim = m_isCaughtUp ? ownsOrMayTakeOver(now) : m_ownership.mayGrantWithoutLog(m_partition, now);
        if (!mayClaim)
            return unavailableResponse(pending, response, now);
        const bool mayHaveRun = !m_ownership.owns(m_partition) && m_ownership.hasOpenEpisode(m_partition);
        response.state = mayHaveRun ? ClaimState::Unknown : ClaimState::Free;
        if (pending.request.mode == ClaimMode::LookUp)
            return response;
        if (m_isCaughtUp)
            return std::nullopt;
        m_unloggedClaims[pending.request.key] = { pending.request.attempt, pending.node, 0, 0, std::nullopt };
        m_unloggedValidityMs[pending.request.key] = pending.validityMs;
        response.state = ClaimState::Granted;
        return response;
    }

    bool ownsOrMayTakeOver(std::chrono::steady_clock::time_point now) const
    {
        return m_ownership.owns(m_partition) || m_ownership.mayTakeOver(m_partition, m_options.validity(), now);
    }

    // Names the owner, so that the requesting node can send its request there.
    std::optional<ClaimResponse> unavailableResponse(
        const PendingRequest& pending, ClaimResponse response, std::chrono::steady_clock::time_point now) const
    {
        response.state = ClaimState::Unavailable;
        response.owner = ClaimOwnership::nodeOf(m_partition.owner());
        const bool isOwnedElsewhere = response.owner != m_options.node && m_options.isLive(response.owner) && !response.owner.empty();
        return isOwnedElsewhere || now >= pending.respondBy ? std::optional(response) : std::nullopt;
    }

    static ClaimResponse withOutcome(ClaimResponse response, const ClaimOutcome& outcome)
    {
        response.state = ClaimState::Recorded;
        response.status = outcome.status;
        response.contentType = outcome.contentType;
        response.body = outcome.body;
        return response;
    }

    const ClaimEntry* findEntry(const std::string& key) const
    {
        if (const auto* entry = m_partition.find(key))
            return entry;
        const auto found = m_unloggedClaims.find(key);
        return found == m_unloggedClaims.end() ? nullptr : &found->second;
    }

    const ClaimOutcome* pendingOutcome(const std::string& key) const
    {
        const auto found = std::find_if(m_pendingOutcomes.begin(), m_pendingOutcomes.end(),
            [&](const ClaimOutcome& outcome) { return outcome.key == key && outcome.status; });
        return found == m_pendingOutcomes.end() ? nullptr : &*found;
    }

    ClaimBatch makeBatch(std::chrono::steady_clock::time_point now)
    {
        ClaimBatch batch;
        batch.id = randomId();
        batch.term = m_partition.term();
        batch.outcomes = m_pendingOutcomes;
        if (m_ownership.owns(m_partition)) {
            for (const auto& [key, entry] : m_unloggedClaims)
                batch.claims.push_back({ key, entry.attempt, entry.node, m_unloggedValidityMs[key] });
            batch.endedEpisode = m_ownership.episode();
        }
        auto claims = claimsToWrite(now);
        const bool hasNewClaims = !claims.empty();
        // A node that promised to an episode that has not ended in the log takes over without claims: the previous owner may have
        // granted the same keys without the log. They show up in the log, or expire.
        const bool hasOpenEpisode = !m_ownership.owns(m_partition) && m_ownership.hasOpenEpisode(m_partition);
        if (!hasOpenEpisode)
            batch.claims.insert(batch.claims.end(), claims.begin(), claims.end());
        // Only this node knows that claims of an episode may be missing; the next owner would grant their keys again.
        const bool mayRelease = !m_ownership.mayMissClaims(m_options.validity(), now);
        const bool shouldRelease = m_ownership.owns(m_partition) && mayRelease && (m_isReleasing || !m_options.isPreferred());
        const bool isOwnershipWanted = hasNewClaims || (m_options.isPreferred() && !m_isReleasing);
        if (shouldRelease && batch.claims.empty())
            batch.ownership = OwnershipRecord { "", m_partition.term(), 0 };
        else if (!m_ownership.owns(m_partition) && isOwnershipWanted && ownsOrMayTakeOver(now))
            batch.ownership = m_ownership.beginTakeover(m_partition, m_options.validity());
        else if (m_ownership.owns(m_partition))
            batch.owner = m_ownership.owner();
        addPeerList(batch, now);
        return batch;
    }

    // Returns a claim for the first pending request of each free key.
    std::vector<ClaimRecord> claimsToWrite(std::chrono::steady_clock::time_point now) const
    {
        std::vector<ClaimRecord> claims;
        std::set<std::string> keys;
        for (const auto& pending : m_pendingRequests) {
            const auto* entry = findEntry(pending.request.key);
            const bool isFree = !entry || (entry->outcome && !entry->outcome->status);
            if (pending.request.mode == ClaimMode::Claim && isFree && ownsOrMayTakeOver(now) && keys.insert(pending.request.key).second)
                claims.push_back({ pending.request.key, pending.request.attempt, pending.node, pending.validityMs });
        }
        return claims;
    }

    // Lists in a batch of the owner, or of a node that takes over, the peers that it would request promises from.
    void addPeerList(ClaimBatch& batch, std::chrono::steady_clock::time_point now) const
    {
        const bool isOwnerBatch = !batch.owner.empty() || (batch.ownership && !batch.ownership->owner.empty());
        if (!isOwnerBatch)
            return;
        auto peers = m_options.knownPeers();
        std::sort(peers.begin(), peers.end());
        if (m_ownership.isPeerListDue(m_partition, peers, now))
            batch.peers = std::move(peers);
    }

    // Appends pending claims, outcomes and ownership changes, or a renewal if one is due. @return true if a batch may be in the log.
    bool commit(std::unique_lock<std::mutex>& lock)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto batch = makeBatch(start);
        const bool hasContent = !batch.claims.empty() || !batch.outcomes.empty() || batch.ownership || !batch.endedEpisode.empty();
        // An empty batch renews the lease, or gets the log's time for a home that needs it to tell whether a key is new.
        const bool isRenewal = m_ownership.isRenewalDue(m_partition, start) || std::exchange(m_needsLogTime, false);
        if (!hasContent && !isRenewal)
            return false;
        lock.unlock();
        const auto offset = m_log->append(m_stream, toJson(batch));
        lock.lock();
        if (!offset && offset.error().code == ErrorCode::Unavailable) {
            m_ownership.onNotAppended(batch);
            return false;
        }
        m_isCaughtUp = catchUp(lock);
        // A batch whose response was lost is looked for in the log. If it is not there, its content is appended again; that is
        // harmless, as only the first claim of a key wins.
        if (!m_partition.hasApplied(batch.id))
            return true;
        m_ownership.onAppended(m_partition, batch, start, std::chrono::steady_clock::now());
        m_pendingOutcomes.erase(m_pendingOutcomes.begin(), m_pendingOutcomes.begin() + static_cast<std::ptrdiff_t>(batch.outcomes.size()));
        if (m_partition.hasEpisodeEnded(batch.endedEpisode)) {
            m_unloggedClaims.clear();
            m_unloggedValidityMs.clear();
            m_ownership.endEpisode();
        }
        return true;
    }

    const int m_partitionNumber;
    const std::string m_stream;
    std::shared_ptr<Log> m_log;
    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ClaimPartition m_partition;
    ClaimOwnership m_ownership;
    std::vector<PendingRequest> m_pendingRequests;
    std::vector<ClaimOutcome> m_pendingOutcomes;
    std::map<std::string, ClaimEntry> m_unloggedClaims; /**< Granted without the log and not known to be in it. */
    std::map<std::string, int64_t> m_unloggedValidityMs;
    std::chrono::steady_clock::time_point m_nextLogAttempt {};
    bool m_isCaughtUp = false; /**< The current cycle has read the log to its end. */
    bool m_needsLogTime = false; /**< The next batch is appended even if it is empty. */
    bool m_hasWork = false;
    bool m_isReleasing = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
