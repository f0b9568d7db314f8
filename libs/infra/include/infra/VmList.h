#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A VM as the platform's list shows it; the list lags behind the actual state. */
struct Vm {
    std::string id;
    std::string dataCentre;
    std::string address; /**< Where its node listens for peers: IPv4 address and port. */
    bool isLeaving = false; /**< The platform has marked the VM as leaving. */

    bool operator==(const Vm&) const = default;
};

/**
 * The platform's list of VMs.
 *
 * list(): @return every VM that the list shows, or why the list can't be read.
 */
template <typename T>
concept VmList = requires(T& list)
{
    {
        list.list()
        } -> std::same_as<Result<std::vector<Vm>>>;
};

/** HTTP client of the platform's VM list; satisfies VmList. */
class HttpVmList {
public:
    /** @param authority address and port of the list's service, as "address:port". @param timeout of one request. */
    explicit HttpVmList(std::string authority, Duration timeout = Duration(2000));

    Result<std::vector<Vm>> list();

private:
    std::string m_authority;
    Duration m_timeout;
};

static_assert(VmList<HttpVmList>);

} // namespace bronzeswitch
