#include <operator/Publisher.h>

namespace bronzeswitch {

std::string describeChange(const ConfigDocument& before, const ConfigDelta& delta)
{
    std::string text;
    for (const auto& [key, value] : delta.upserts) {
        const auto entries = before.entries(key.kind);
        const auto found = entries.find(key.name);
        if (found == entries.end())
            text += "+ " + key.toString() + " " + value.dump() + "\n";
        else
            text += "~ " + key.toString() + " " + found->second.dump() + " -> " + value.dump() + "\n";
    }
    for (const auto& key : delta.removals)
        text += "- " + key.toString() + "\n";
    return text;
}

std::string describeChangesAfter(const LedgerState& state, int64_t revision)
{
    std::string text;
    for (const auto& entry : state.audit()) {
        if (!entry.accepted || entry.offset <= revision || !entry.action.starts_with("change"))
            continue;
        text += (text.empty() ? "" : "; ") + std::string("revision ") + std::to_string(entry.offset) + " by " + entry.author + " ("
            + entry.detail + ")";
    }
    return text.empty() ? "it is no longer in the audit trail" : text;
}

} // namespace bronzeswitch
