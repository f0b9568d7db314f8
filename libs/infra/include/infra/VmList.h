#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeswitch {

/** One VM as the platform's list shows it; the list lags behind the truth. */
struct Vm {
    std::string id;
    std::string dataCentre;
    std::string address; /**< IP number and port of the node protocol. */
    bool isLeaving = false;

    bool operator==(const Vm&) const = default;
};

/** The platform's list of VMs. list: @return every VM that it shows, or why it can't be read. */
template <typename T>
concept VmList = requires(T& list)
{
    {
        list.list()
        } -> std::same_as<Result<std::vector<Vm>>>;
};

/** The platform's VM list over HTTP; satisfies VmList. */
class HttpVmList {
public:
    explicit HttpVmList(std::string authority, Duration timeout = Duration(2000));

    Result<std::vector<Vm>> list();

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(VmList<HttpVmList>);

} // namespace bronzeswitch
