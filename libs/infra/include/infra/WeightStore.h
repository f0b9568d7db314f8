#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <string>

namespace bronzeswitch {

/** A permission of the weight store to load the weights of a model once. */
struct WeightTicket {
    std::string ticket;
    Duration expectedTransfer { 0 }; /**< How long the transfer of the weights is expected to take. */

    bool operator==(const WeightTicket&) const = default;
};

/**
 * The platform's store of model weights, which limits the rate of loads.
 *
 * requestTicket(model, version): @return a ticket for one load; Unavailable while the rate limit is reached, to be retried later.
 */
template <typename T>
concept WeightStore = requires(T& store, const std::string& model, const std::string& version)
{
    {
        store.requestTicket(model, version)
        } -> std::same_as<Result<WeightTicket>>;
};

/** HTTP client of the weight store; satisfies WeightStore. */
class HttpWeightStore {
public:
    /** @param authority address and port of the weight store, as "address:port". @param timeout of one request. */
    explicit HttpWeightStore(std::string authority, Duration timeout = Duration(2000));

    Result<WeightTicket> requestTicket(const std::string& model, const std::string& version);

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(WeightStore<HttpWeightStore>);

} // namespace bronzeswitch
