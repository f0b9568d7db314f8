#pragma once

#include <base/Problem.h>
#include <nlohmann/json.hpp>
#include <protocol/Messages.h>

#include <optional>

namespace bronzeswitch {

/**
 * Makes the response to a request that got no slot, or whose upstreams did not run it.
 * @param refusal none if slots were granted.
 * @param pause shortest pause that an upstream of the service has asked for; none if none has.
 * @param retryKey spreads the retries of callers whose upstreams rejected their requests at one moment.
 */
Problem slotRefusalProblem(const std::optional<SlotRefusal>& refusal, std::optional<Duration> pause, uint64_t retryKey);

/** Adds a response to the fields of an event of the decision log. */
void describe(nlohmann::json& fields, const Problem&);

} // namespace bronzeswitch
