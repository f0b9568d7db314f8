#pragma once

#include <string>

namespace bronzeswitch::measure {

/**
 * Measures rollouts of good versions and of versions with different faults, and prints a table.
 * @param repeats rollouts of each kind of version. @param kindName one kind of version, or "all".
 */
int measureRollouts(int repeats, const std::string& kindName, unsigned seed);

/**
 * Measures how soon a configuration change is in force on all nodes, and the effect of faults of the log and of nodes on the
 * availability of keyed, non-idempotent requests ("sign-offs"), and prints both.
 */
int measureFaults(double outageSeconds, unsigned seed);

} // namespace bronzeswitch::measure
