#pragma once

#include <string>

namespace bronzeswitch::measure {

/** Measures how the cost of each role of a node grows with its load or size, and prints the fitted lines as JSON. */
int measureSlopes(unsigned seed);

/** Prints the tables of docs/CAPACITY.md from recorded slopes. @param file JSON that measureSlopes() printed. */
int printCapacity(const std::string& file);

} // namespace bronzeswitch::measure
