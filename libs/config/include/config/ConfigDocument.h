#pragma once

#include <base/Error.h>

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Identifies an entry of the configuration, such as the route "sign-off". Ordered by kind, then by name. */
struct EntryKey {
    std::string kind;
    std::string name;

    /** @return the key in the form "kind/name". */
    std::string toString() const { return kind + "/" + name; }

    /** @return the key parsed from the form "kind/name", or InvalidArgument. */
    static Result<EntryKey> parse(const std::string&);

    auto operator<=>(const EntryKey&) const = default;
};

/** A change of the configuration: the entries to set and the entries to remove. */
struct ConfigDelta {
    std::map<EntryKey, nlohmann::json> upserts;
    std::vector<EntryKey> removals;

    bool isEmpty() const { return upserts.empty() && removals.empty(); }
    bool operator==(const ConfigDelta&) const = default;
};

/** @return the delta as JSON, in the format of the log's records. */
nlohmann::json toJson(const ConfigDelta&);

/** @return the delta parsed from JSON, InvalidArgument for a malformed key, or Protocol if a part is missing or has the wrong type. */
Result<ConfigDelta> configDeltaFromJson(const nlohmann::json&);

/**
 * The operators' configuration as named entries, not validated yet; Configuration::create() does that.
 *
 *     auto document = ConfigDocument::load("conf.d");
 *     auto delta = running.differenceTo(*document);
 */
class ConfigDocument {
public:
    ConfigDocument() = default;

    /**
     * Reads all *.yaml files of a directory and merges them in the order of their names. A later file overrides single
     * fields of an entry, or removes the entry by setting it to null.
     * @return the merged document, or all findings with file and line.
     */
    static tl::expected<ConfigDocument, Findings> load(const std::string& directory);

    /** @return the change that turns this document into the other one. */
    ConfigDelta differenceTo(const ConfigDocument& other) const;

    /** @return a copy with the change applied. */
    ConfigDocument apply(const ConfigDelta&) const;

    /** @return the entries of a kind, by name. */
    std::map<std::string, nlohmann::json> entries(const std::string& kind) const;

    /**
     * Finds where a field was set.
     * @return the place as "file:line (kind/name.field)", with the line of the entry if the field itself was not set, or
     *         "kind/name.field" if the entry was not read from a file.
     */
    std::string place(const EntryKey&, const std::string& field = {}) const;

    /** @return the number of entries. */
    std::size_t size() const { return m_entries.size(); }

    /** @return an object of all entries by their keys. */
    nlohmann::json toJson() const;

    /** @return the document parsed from the format of toJson(), InvalidArgument for a malformed key, or Protocol. */
    static Result<ConfigDocument> fromJson(const nlohmann::json&);

    /** Compares the entries only, not where they were set. */
    bool operator==(const ConfigDocument& other) const { return m_entries == other.m_entries; }

private:
    friend class ConfigLoader;

    std::map<EntryKey, nlohmann::json> m_entries;
    std::map<std::string, std::string> m_places; /**< Where each entry and field was set, as "file:line", by "kind/name[.field]". */
};

} // namespace bronzeswitch
