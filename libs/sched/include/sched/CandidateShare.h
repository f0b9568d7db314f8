#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bronzeswitch {

/** The versions of a route that may get requests. */
struct VersionPlan {
    std::string route;
    std::string model;
    std::string stable;
    std::string candidate; /**< Empty when no rollout runs. */
    double share = 0; /**< Highest share of the route's granted slots that the candidate may get. */
    std::string rollout;
    int64_t step = 0; /**< Log offset of the rollout step that set the share. */

    bool operator==(const VersionPlan&) const = default;
};

/**
 * Limits the slots that the candidate versions of rollouts get.
 *
 * A candidate may be faulty, so its exposure is bounded exactly: by its share of the slots granted since the rollout step
 * began or, once an allowance is set, by that number of slots.
 */
class CandidateShare {
public:
    /** Sets how many more slots a rollout's candidate may get; replaces the plan's share. */
    void setAllowance(const std::string& rollout, int64_t slots) { m_allowances[rollout] = slots; }

    /** Gives a rollout's candidate no more slots, for good. */
    void stop(const std::string& rollout) { m_stopped.insert(rollout); }

    /** @return true if the next slot may go to the candidate. */
    bool mayUse(const VersionPlan&);

    /** Counts a granted slot. */
    void onGrant(const VersionPlan&, bool isCandidate);

private:
    /** Granted slots since a rollout step began. */
    struct Count {
        int64_t step = 0;
        int64_t total = 0;
        int64_t candidate = 0;
    };

    std::map<std::string, Count> m_counts;
    std::map<std::string, int64_t> m_allowances;
    std::set<std::string> m_stopped;
};

} // namespace bronzeswitch
