#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace bronzeswitch {

/** Parses one CBOR item without throwing. @return the item, or a discarded value (json::is_discarded()) if it is malformed. */
nlohmann::json parseCbor(const std::string& bytes);

} // namespace bronzeswitch
