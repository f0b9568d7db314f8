#include "JsonCall.h"

#include <infra/VmList.h>

namespace bronzeswitch {

HttpVmList::HttpVmList(std::string authority, Duration timeout)
    : m_authority(std::move(authority))
    , m_timeout(timeout)
{
}

Result<std::vector<Vm>> HttpVmList::list()
{
    const auto response = jsonCall(m_authority, "GET", "/vms", "", m_timeout);
    if (!response)
        return tl::unexpected(response.error());
    try {
        std::vector<Vm> vms;
        for (const auto& vm : response->at("vms"))
            vms.push_back({ vm.at("id"), vm.at("data_centre"), vm.at("address"), vm.value("leaving", false) });
        return vms;
    } catch (const nlohmann::json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("invalid VM list: ") + error.what());
    }
}

} // namespace bronzeswitch
