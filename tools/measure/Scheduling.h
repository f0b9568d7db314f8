#pragma once

#include <string>

namespace bronzeswitch::measure {

/**
 * Compares the scheduling policies under the request mixes of users, and prints a table.
 * @param user "engrasadora", "uzwj" or "both". @param scenario one scenario's name or "all".
 * @param policies comma-separated names, baselines first. @param seconds length of a run; runs with a burst last at least 18 s.
 */
int measureScheduling(const std::string& user, const std::string& scenario, const std::string& policies, double seconds, unsigned seed);

} // namespace bronzeswitch::measure
