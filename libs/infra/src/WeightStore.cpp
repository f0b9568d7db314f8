#include "JsonCall.h"

#include <infra/WeightStore.h>

namespace bronzeswitch {

HttpWeightStore::HttpWeightStore(std::string authority, Duration timeout)
    : m_authority(std::move(authority))
    , m_timeout(timeout)
{
}

Result<WeightTicket> HttpWeightStore::requestTicket(const std::string& model, const std::string& version)
{
    const nlohmann::json body { { "model", model }, { "version", version } };
    const auto response = jsonCall(m_authority, "POST", "/weights/tickets", body.dump(), m_timeout);
    if (!response)
        return tl::unexpected(response.error());
    try {
        return WeightTicket { response->at("ticket"), Duration(response->at("transfer_ms").get<int64_t>()) };
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("invalid weight ticket: ") + error.what());
    }
}

} // namespace bronzeswitch
