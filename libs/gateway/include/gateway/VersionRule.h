#pragma once

#include <protocol/Messages.h>

#include <map>
#include <string>

namespace bronzeswitch {

/** Which upstreams of a service may get requests while and after it moves to another version. */
struct VersionRule {
    std::string target;
    RolloutPhase phase = RolloutPhase::Trial;
    std::string rollout; /**< Name of the rollout, unique. */

    bool operator==(const VersionRule&) const = default;
};

/** The rules by service; a service without one uses all versions alike. */
using VersionRules = std::map<std::string, VersionRule>;

} // namespace bronzeswitch
