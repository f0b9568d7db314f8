#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <string>

namespace bronzeswitch {

/** Permission of the weight store for one load, and how long the transfer is expected to take. */
struct WeightTicket {
    std::string ticket;
    Duration expectedTransfer { 0 };

    bool operator==(const WeightTicket&) const = default;
};

/**
 * The rate-limited store of model weights.
 * requestTicket: @return a ticket for one load; Unavailable while the store's rate is used up, to be asked again later.
 */
template <typename T>
concept WeightStore = requires(T& store, const std::string& model, const std::string& version)
{
    {
        store.requestTicket(model, version)
        } -> std::same_as<Result<WeightTicket>>;
};

/** The weight store over HTTP; satisfies WeightStore. */
class HttpWeightStore {
public:
    explicit HttpWeightStore(std::string authority, Duration timeout = Duration(2000));

    Result<WeightTicket> requestTicket(const std::string& model, const std::string& version);

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(WeightStore<HttpWeightStore>);

} // namespace bronzeswitch
