#include <protocol/Cbor.h>

namespace bronzeswitch {

using nlohmann::json;

// The JSON library throws on an excessive length even if exceptions are disabled.
json parseCbor(const std::string& bytes)
{
    try {
        return json::from_cbor(bytes, true, false);
    } catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

} // namespace bronzeswitch
