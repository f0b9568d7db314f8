#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bronzeswitch {

/** Which versions of a route may get traffic. */
struct VersionPlan {
    std::string route;
    std::string model;
    std::string stable;
    std::string candidate; /**< Empty when no rollout runs. */
    double share = 0; /**< Largest share of the route's grants that the candidate may get. */
    std::string rollout;
    int64_t step = 0; /**< Offset of the rollout step that set the share. */

    bool operator==(const VersionPlan&) const = default;
};

/**
 * How many places the new versions of rollouts may still get.
 *
 * Answers a new version that may be bad: it gets its share exactly, counted in grants, or so many places as it is allowed.
 */
class CandidateShare {
public:
    /** Lets a rollout's candidate get so many more places, in place of the plan's share. */
    void allow(const std::string& rollout, int64_t places) { m_allowances[rollout] = places; }

    /** Stops a rollout's candidate for good. */
    void stop(const std::string& rollout) { m_stopped.insert(rollout); }

    /** @return true if the next grant may go to the candidate. */
    bool mayUse(const VersionPlan&);

    /** Counts a grant. */
    void onGrant(const VersionPlan&, bool isCandidate);

private:
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
