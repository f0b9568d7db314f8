#include <algorithm>
#include <base/Hash.h>
#include <net/EndMarkFilter.h>

namespace bronzeswitch {

namespace {

constexpr char firstCharacter = '~'; // Few responses end with it, so that their last bytes are rarely held back.

} // namespace

std::string EndMarkFilter::makeMark() { return firstCharacter + randomId(); }

std::string EndMarkFilter::put(std::string_view bytes)
{
    std::string certain = m_heldBack.append(bytes);
    auto size = std::min(m_mark.size(), certain.size());
    while (!certain.ends_with(std::string_view(m_mark).substr(0, size)))
        --size;
    m_heldBack = certain.substr(certain.size() - size);
    certain.resize(certain.size() - size);
    return certain;
}

} // namespace bronzeswitch
