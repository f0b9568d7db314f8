#include <config/ConfigDocument.h>

namespace bronzeswitch {

using nlohmann::json;

Result<EntryKey> EntryKey::parse(const std::string& text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size())
        return fail(ErrorCode::InvalidArgument, "entry key '" + text + "' is not of the form kind/name");
    return EntryKey { text.substr(0, slash), text.substr(slash + 1) };
}

json toJson(const ConfigDelta& delta)
{
    auto upserts = json::object();
    for (const auto& [key, value] : delta.upserts)
        upserts[key.toString()] = value;
    auto removals = json::array();
    for (const auto& key : delta.removals)
        removals.push_back(key.toString());
    return { { "set", upserts }, { "remove", removals } };
}

Result<ConfigDelta> configDeltaFromJson(const json& value)
{
    if (!value.is_object() || !value.contains("set") || !value.contains("remove"))
        return fail(ErrorCode::Protocol, "a change needs 'set' and 'remove'");
    if (!value["set"].is_object() || !value["remove"].is_array())
        return fail(ErrorCode::Protocol, "'set' must be an object and 'remove' a list");
    ConfigDelta delta;
    for (const auto& [name, entry] : value["set"].items()) {
        const auto key = EntryKey::parse(name);
        if (!key)
            return tl::unexpected(key.error());
        delta.upserts.emplace(*key, entry);
    }
    for (const auto& name : value["remove"]) {
        if (!name.is_string())
            return fail(ErrorCode::Protocol, "'remove' must list names");
        const auto key = EntryKey::parse(name.get<std::string>());
        if (!key)
            return tl::unexpected(key.error());
        delta.removals.push_back(*key);
    }
    return delta;
}

ConfigDelta ConfigDocument::differenceTo(const ConfigDocument& other) const
{
    ConfigDelta delta;
    for (const auto& [key, value] : other.m_entries) {
        const auto found = m_entries.find(key);
        if (found == m_entries.end() || found->second != value)
            delta.upserts.emplace(key, value);
    }
    for (const auto& [key, value] : m_entries) {
        if (!other.m_entries.contains(key))
            delta.removals.push_back(key);
    }
    return delta;
}

ConfigDocument ConfigDocument::apply(const ConfigDelta& delta) const
{
    ConfigDocument result;
    result.m_entries = m_entries;
    for (const auto& [key, value] : delta.upserts)
        result.m_entries.insert_or_assign(key, value);
    for (const auto& key : delta.removals)
        result.m_entries.erase(key);
    return result;
}

std::map<std::string, json> ConfigDocument::entries(const std::string& kind) const
{
    std::map<std::string, json> result;
    for (auto entry = m_entries.lower_bound({ kind, "" }); entry != m_entries.end() && entry->first.kind == kind; ++entry)
        result.emplace(entry->first.name, entry->second);
    return result;
}

std::string ConfigDocument::place(const EntryKey& key, const std::string& field) const
{
    auto path = field.empty() ? key.toString() : key.toString() + "." + field;
    if (const auto found = m_places.find(path); found != m_places.end())
        return found->second + " (" + path + ")";
    if (const auto found = m_places.find(key.toString()); found != m_places.end())
        return found->second + " (" + path + ")";
    return path;
}

json ConfigDocument::toJson() const
{
    auto result = json::object();
    for (const auto& [key, value] : m_entries)
        result[key.toString()] = value;
    return result;
}

Result<ConfigDocument> ConfigDocument::fromJson(const json& value)
{
    if (!value.is_object())
        return fail(ErrorCode::Protocol, "a configuration must be an object");
    ConfigDocument document;
    for (const auto& [name, entry] : value.items()) {
        const auto key = EntryKey::parse(name);
        if (!key)
            return tl::unexpected(key.error());
        document.m_entries.emplace(*key, entry);
    }
    return document;
}

} // namespace bronzeswitch
