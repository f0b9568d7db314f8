#pragma once

#include <protocol/Messages.h>

#include <map>
#include <string>

namespace bronzeswitch {

/** Decides which upstreams of a service may get requests during and after a rollout, by their version. */
struct VersionRule {
    std::string target; /**< Version to move to; the candidate during the trial. */
    RolloutPhase phase = RolloutPhase::Trial;
    std::string rollout; /**< Unique name of the rollout. */

    bool operator==(const VersionRule&) const = default;
};

/** The rules by service. Without a rule, all versions of a service are used alike. */
using VersionRules = std::map<std::string, VersionRule>;

} // namespace bronzeswitch
