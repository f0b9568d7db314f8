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
 * The home of one partition of idempotency keys.
 *
 * With the log, a claim is granted only after the home has appended it and has read the log back up to its own record,
 * so that the first claim in log order wins even when two nodes believe to be the home. Claims that arrive while an
 * append is on its way are committed together in the next one.
 *
 * Without the log, only the partition's owner goes on, from memory, and only after every known node has promised not to
 * take the partition over for the time of a lease. It writes what it granted once the log is back. ClaimOwnership holds
 * the rules.
 *
 *     ClaimHome<HttpLog> home(0, log, options);
 *     home.ask("n1", claimAsk, validity);
 */
template <AppendLog Log> class ClaimHome {
public:
    struct Options {
        std::string node;
        ClaimTiming timing;
        std::function<void(const std::string& node, const ClaimResponse&)> answer; /**< Sends an answer to the asking node. */
        std::function<bool(const std::string& node)> isLive;
        std::function<bool()> isPreferred; /**< The partition falls to this node; an owner for which it doesn't gives it up. */
        std::function<std::vector<std::string>()> knownPeers; /**< Every other node that may take over. */
        std::function<void(const std::string& node, const ClaimDeclaration&)> declare;
        std::function<Duration()> validity;
        std::function<StreamEnds()> streamEnds; /**< See ClaimOwnership::onCaughtUp. */
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

    /** Takes an ask; the answer comes through Options::answer, perhaps later. Asking again is harmless. */
    void ask(const std::string& node, const ClaimRequest& ask)
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_asks, [&](const Ask& item) { return item.node == node && item.ask.id == ask.id; });
        m_asks.push_back({ node, ask, m_options.validity().count(), std::chrono::steady_clock::now() + answerWithin });
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Takes the outcome of an attempt; waiting asks are answered at once and the log is told with the next append. */
    void record(const ClaimOutcome& outcome)
    {
        std::lock_guard lock(m_mutex);
        m_outcomes.push_back(outcome);
        const auto claimed = m_memoryClaims.find(outcome.key);
        const bool isNotRun = claimed != m_memoryClaims.end() && claimed->second.attempt == outcome.attempt && !outcome.status;
        if (isNotRun)
            m_memoryClaims.erase(claimed);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Looks again whether the partition falls to this node. */
    void onMembersChanged()
    {
        std::lock_guard lock(m_mutex);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Takes another owner's declaration. @return true when this node promises. */
    bool onDeclare(const ClaimDeclaration& declaration)
    {
        std::lock_guard lock(m_mutex);
        return m_ownership.promise(declaration, m_partition, std::chrono::steady_clock::now());
    }

    /** Takes a peer's promise. */
    void onDeclareAck(const std::string& from, const ClaimDeclarationAck& ack)
    {
        std::lock_guard lock(m_mutex);
        m_ownership.onAck(from, ack);
        m_hasWork = true;
        m_changed.notify_all();
    }

    /** Gives the partition up, so that another node can have it at once. @return false when the log did not take it in time. */
    bool giveUp(Duration limit)
    {
        std::unique_lock lock(m_mutex);
        m_isGivingUp = true;
        m_hasWork = true;
        m_changed.notify_all();
        return m_changed.wait_for(lock, limit, [this] { return !m_ownership.owns(m_partition); });
    }

    /** @return true while the log shows this node as the owner. */
    bool isOwner() const
    {
        std::lock_guard lock(m_mutex);
        return m_ownership.owns(m_partition);
    }

    /** @return the number of keys that are remembered. */
    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_partition.size();
    }

private:
    struct Ask {
        std::string node;
        ClaimRequest ask;
        int64_t validityMs = 0;
        std::chrono::steady_clock::time_point expires;
    };

    static constexpr int pageSize = 512;
    static constexpr auto answerWithin = std::chrono::milliseconds(1500);
    static constexpr auto retryDelay = std::chrono::milliseconds(50);
    static constexpr auto logTryInterval = std::chrono::milliseconds(500);
    static constexpr auto checkInterval = std::chrono::milliseconds(200);

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            const bool isIdle = m_asks.empty() && m_outcomes.empty() && !m_ownership.owns(m_partition) && !m_options.isPreferred();
            if (isIdle)
                m_changed.wait(lock, [this] { return m_isStopping || m_hasWork; });
            else if (!m_hasWork)
                m_changed.wait_for(lock, m_isLogReached ? checkInterval : retryDelay, [this] { return m_isStopping || m_hasWork; });
            m_hasWork = false;
            if (m_isStopping)
                return;
            work(lock);
        }
    }

    void work(std::unique_lock<std::mutex>& lock)
    {
        // While the log fails it is tried at intervals only, so that claims from memory don't wait for it.
        const auto now = std::chrono::steady_clock::now();
        m_isLogReached = now >= m_nextLogTry && catchUp(lock);
        if (!m_isLogReached && now >= m_nextLogTry)
            m_nextLogTry = std::chrono::steady_clock::now() + logTryInterval;
        if (m_isLogReached)
            m_ownership.onCaughtUp(m_partition, std::chrono::steady_clock::now(), m_options.streamEnds());
        else
            goOnWithoutLog(lock);
        settle();
        if (m_isLogReached && commit(lock))
            settle();
        m_changed.notify_all();
    }

    // Reads the stream to its end. The lock is released while the log is asked.
    bool catchUp(std::unique_lock<std::mutex>& lock)
    {
        for (;;) {
            const auto from = m_partition.nextOffset();
            lock.unlock();
            const auto page = m_log->read(m_stream, from, pageSize, Duration(0));
            lock.lock();
            if (!page)
                return false;
            if (page->first > from)
                m_partition.noteRetention(page->first, page->records.empty() ? std::nullopt : std::optional(page->records.front().timeMs));
            for (const auto& record : page->records)
                m_partition.apply(record);
            if (m_partition.nextOffset() >= page->next)
                return true;
        }
    }

    // Asks every known node for the next promise, if this node owns the partition.
    void goOnWithoutLog(std::unique_lock<std::mutex>& lock)
    {
        const auto peers = m_options.knownPeers();
        const auto declaration = m_ownership.nextDeclaration(m_partition, m_partitionNumber, peers, std::chrono::steady_clock::now());
        if (!declaration)
            return;
        lock.unlock();
        for (const auto& peer : peers)
            m_options.declare(peer, *declaration);
        lock.lock();
    }

    // Answers every ask whose answer is known by now.
    void settle()
    {
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(m_asks, [&](const Ask& ask) {
            const auto answer = answerFor(ask, now);
            if (answer)
                m_options.answer(ask.node, *answer);
            return answer.has_value();
        });
    }

    std::optional<ClaimResponse> answerFor(const Ask& ask, std::chrono::steady_clock::time_point now)
    {
        ClaimResponse answer;
        answer.id = ask.ask.id;
        if (const auto* outcome = pendingOutcome(ask.ask.key))
            return fill(answer, *outcome);
        const auto* entry = findEntry(ask.ask.key);
        const bool isFree = !entry || (entry->outcome && !entry->outcome->status);
        if (isFree)
            return answerForFreeKey(ask, answer, now);
        answer.owner = entry->owner;
        if (entry->outcome)
            return fill(answer, *entry->outcome);
        if (entry->attempt == ask.ask.attempt)
            return answerForWinner(ask, answer);
        answer.state = ClaimState::Unknown;
        if (!m_options.isLive(entry->owner))
            return answer;
        answer.state = ClaimState::Running;
        // The ask joins the running attempt until its node asks again.
        return now >= ask.expires ? std::optional(answer) : std::nullopt;
    }

    // A claim in the log counts once the log has been read to its end; one in memory counts at once.
    std::optional<ClaimResponse> answerForWinner(const Ask& ask, ClaimResponse answer) const
    {
        answer.state = ClaimState::Granted;
        const bool isCertain = m_isLogReached || m_memoryClaims.contains(ask.ask.key);
        return isCertain ? std::optional(answer) : std::nullopt;
    }

    std::optional<ClaimResponse> answerForFreeKey(const Ask& ask, ClaimResponse answer, std::chrono::steady_clock::time_point now)
    {
        const bool canVouch = m_partition.canVouch(ask.validityMs) && !m_ownership.isSuspect(Duration(ask.validityMs), now);
        if (!canVouch) {
            m_needsLogTime = true;
            answer.state = ClaimState::Unknown;
            return answer;
        }
        const bool mayClaim = m_isLogReached ? mayOwn(now) : m_ownership.mayGrantFromMemory(m_partition, now);
        if (!mayClaim)
            return answerUnavailable(ask, answer, now);
        const bool mayHaveRun = !m_ownership.owns(m_partition) && m_ownership.isInDoubt(m_partition);
        answer.state = mayHaveRun ? ClaimState::Unknown : ClaimState::Free;
        if (ask.ask.mode == ClaimMode::LookUp)
            return answer;
        if (m_isLogReached)
            return std::nullopt;
        m_memoryClaims[ask.ask.key] = { ask.ask.attempt, ask.node, 0, 0, std::nullopt };
        m_memoryValidity[ask.ask.key] = ask.validityMs;
        answer.state = ClaimState::Granted;
        return answer;
    }

    bool mayOwn(std::chrono::steady_clock::time_point now) const
    {
        return m_ownership.owns(m_partition) || m_ownership.mayTakeOver(m_partition, m_options.validity(), now);
    }

    // Names the owner, so that the asking node can turn to it.
    std::optional<ClaimResponse> answerUnavailable(const Ask& ask, ClaimResponse answer, std::chrono::steady_clock::time_point now) const
    {
        answer.state = ClaimState::Unavailable;
        answer.owner = ClaimOwnership::nodeOf(m_partition.owner());
        const bool isElsewhere = answer.owner != m_options.node && m_options.isLive(answer.owner) && !answer.owner.empty();
        return isElsewhere || now >= ask.expires ? std::optional(answer) : std::nullopt;
    }

    static ClaimResponse fill(ClaimResponse answer, const ClaimOutcome& outcome)
    {
        answer.state = ClaimState::Recorded;
        answer.status = outcome.status;
        answer.contentType = outcome.contentType;
        answer.body = outcome.body;
        return answer;
    }

    const ClaimEntry* findEntry(const std::string& key) const
    {
        if (const auto* entry = m_partition.find(key))
            return entry;
        const auto found = m_memoryClaims.find(key);
        return found == m_memoryClaims.end() ? nullptr : &found->second;
    }

    const ClaimOutcome* pendingOutcome(const std::string& key) const
    {
        const auto found = std::find_if(
            m_outcomes.begin(), m_outcomes.end(), [&](const ClaimOutcome& outcome) { return outcome.key == key && outcome.status; });
        return found == m_outcomes.end() ? nullptr : &*found;
    }

    ClaimBatch makeBatch(std::chrono::steady_clock::time_point now)
    {
        ClaimBatch batch;
        batch.id = randomId();
        batch.term = m_partition.term();
        batch.outcomes = m_outcomes;
        if (m_ownership.owns(m_partition)) {
            for (const auto& [key, entry] : m_memoryClaims)
                batch.claims.push_back({ key, entry.attempt, entry.owner, m_memoryValidity[key] });
            batch.endedEpisode = m_ownership.episode();
        }
        auto claims = claimsToWrite(now);
        const bool isAsked = !claims.empty();
        // A take-over in doubt brings no claims: what the owner before granted unseen is found out first, or waited out.
        const bool isInDoubt = !m_ownership.owns(m_partition) && m_ownership.isInDoubt(m_partition);
        if (!isInDoubt)
            batch.claims.insert(batch.claims.end(), claims.begin(), claims.end());
        // Only this node knows of a suspect stretch; the one after it would take the keys of that stretch for new.
        const bool mayLeave = !m_ownership.isSuspect(m_options.validity(), now);
        const bool isLeaving = m_ownership.owns(m_partition) && mayLeave && (m_isGivingUp || !m_options.isPreferred());
        const bool isWanted = isAsked || (m_options.isPreferred() && !m_isGivingUp);
        if (isLeaving && batch.claims.empty())
            batch.ownership = OwnershipRecord { "", m_partition.term(), 0 };
        else if (!m_ownership.owns(m_partition) && isWanted && mayOwn(now))
            batch.ownership = m_ownership.takeOver(m_partition, m_options.validity());
        else if (m_ownership.owns(m_partition))
            batch.owner = m_ownership.owner();
        namePeers(batch, now);
        return batch;
    }

    // The first ask of each free key.
    std::vector<ClaimRecord> claimsToWrite(std::chrono::steady_clock::time_point now) const
    {
        std::vector<ClaimRecord> claims;
        std::set<std::string> keys;
        for (const auto& ask : m_asks) {
            const auto* entry = findEntry(ask.ask.key);
            const bool isFree = !entry || (entry->outcome && !entry->outcome->status);
            if (ask.ask.mode == ClaimMode::Claim && isFree && mayOwn(now) && keys.insert(ask.ask.key).second)
                claims.push_back({ ask.ask.key, ask.ask.attempt, ask.node, ask.validityMs });
        }
        return claims;
    }

    // A batch of the owner, or of the one to be, tells who would be asked for promises.
    void namePeers(ClaimBatch& batch, std::chrono::steady_clock::time_point now) const
    {
        const bool isOwnBatch = !batch.owner.empty() || (batch.ownership && !batch.ownership->owner.empty());
        if (!isOwnBatch)
            return;
        auto peers = m_options.knownPeers();
        std::sort(peers.begin(), peers.end());
        if (m_ownership.isNamingDue(m_partition, peers, now))
            batch.peers = std::move(peers);
    }

    // Appends what waits, or a renewal when one is due. @return true when something was appended.
    bool commit(std::unique_lock<std::mutex>& lock)
    {
        const auto start = std::chrono::steady_clock::now();
        const auto batch = makeBatch(start);
        const bool hasContent = !batch.claims.empty() || !batch.outcomes.empty() || batch.ownership || !batch.endedEpisode.empty();
        // An empty batch renews the lease, or brings the log's time to a home that can't vouch without it.
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
        m_isLogReached = catchUp(lock);
        // A batch whose answer was lost is looked for in the log; until it shows there it is appended again, which the
        // first-wins rule makes harmless.
        if (!m_partition.hasApplied(batch.id))
            return true;
        m_ownership.onAppended(m_partition, batch, start, std::chrono::steady_clock::now());
        m_outcomes.erase(m_outcomes.begin(), m_outcomes.begin() + static_cast<std::ptrdiff_t>(batch.outcomes.size()));
        if (m_partition.hasEnded(batch.endedEpisode)) {
            m_memoryClaims.clear();
            m_memoryValidity.clear();
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
    std::vector<Ask> m_asks;
    std::vector<ClaimOutcome> m_outcomes;
    std::map<std::string, ClaimEntry> m_memoryClaims;
    std::map<std::string, int64_t> m_memoryValidity;
    std::chrono::steady_clock::time_point m_nextLogTry {};
    bool m_isLogReached = false;
    bool m_needsLogTime = false;
    bool m_hasWork = false;
    bool m_isGivingUp = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
