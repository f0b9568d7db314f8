#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** After the source was restored from a copy, the time in which the operator writes again what it has lost. */
inline constexpr Duration sourceRewriteTime { 3000 };

/**
 * The data centres that an operator has ordered to be evacuated. While an order is in force, no upstream there gets requests.
 *
 * Load pattern: orders are rare, but every node must know each of them within seconds. A few nodes read the source and report the latest
 * order or revocation of each data centre; all nodes merge what they read and what peers report by its position in the source. So
 * the order of messages does not matter, and any node can pass an order on.
 *
 * An order ends when a later record revokes it, or when a complete read of the source lacks it. A source that was restored from a copy may
 * lack orders until the operator has written them again. An order from before the restore therefore ends only when a complete read lacks
 * it that began sourceRewriteTime after this node had learned of the restore.
 *
 *     for (const auto& change : evacuations.merge(report.evacuations, sender, now))
 *         onChange(change.dataCentre, change.isInForce);
 */
class Evacuations {
public:
    /** The latest order of a data centre and where it is known from. */
    struct State {
        EvacuationOrder order;
        std::string source; /**< For the log: "store", or the address of a peer. */
        /** For an order from before the last restore: a complete read that begins earlier does not decide on it. */
        std::optional<TimePoint> undecidedUntil {};
    };

    /**
     * Takes over orders and revocations that are later than the known ones.
     * @param source where they come from, for the log.
     * @return those by which the evacuation of a data centre has begun or ended.
     */
    std::vector<EvacuationOrder> merge(const std::vector<EvacuationOrder>&, const std::string& source, TimePoint now);

    /** A read of the newest records of all keys of the source. */
    struct CompleteRead {
        std::set<std::string> dataCentres; /**< Those that have a record, also if it can't be decoded. */
        SourcePosition end; /**< After the last record that the read covers. */
        TimePoint startedAt {};
    };

    /** Ends the orders that the source does not contain any more. @return the revocations. */
    std::vector<EvacuationOrder> onCompleteRead(const CompleteRead&, const std::string& source);

    /** Processes the era of the source. If it has risen, the source was restored and may lack orders. */
    void onEra(int64_t era, TimePoint now);

    /** @return when a complete read should begin that decides on an order from before a restore; none if there is no such order. */
    std::optional<TimePoint> completeReadDueAt() const;

    /** @return true if the upstreams of a data centre get no requests. */
    bool isEvacuated(const std::string& dataCentre) const;

    /** @return the data centres whose upstreams get no requests. */
    std::set<std::string> evacuated() const;

    /** @return the latest order or revocation of each data centre that has had one, for reports to peers. */
    std::vector<EvacuationOrder> orders() const;

    /** @return what is known of a data centre, or null if it has had no order. */
    const State* find(const std::string& dataCentre) const;

private:
    bool isOutdated(const EvacuationOrder&) const;
    void dropExcess();

    std::map<std::string, State> m_states; /**< By data centre. */
    CompleteRead m_lastRead; /**< The last complete read. */
    int64_t m_era = 0; /**< Of the source, as far as this node knows. */
};

} // namespace bronzeswitch
