#include <algorithm>
#include <array>
#include <config/ConfigDocument.h>
#include <filesystem>
#include <yaml-cpp/yaml.h>

namespace bronzeswitch {

namespace {

struct Section {
    const char* name;
    const char* kind;
};

constexpr std::array sections {
    Section { "organisations", "organisation" },
    Section { "tiers", "tier" },
    Section { "upstreams", "upstream" },
    Section { "routes", "route" },
    Section { "rollouts", "rollout" },
    Section { "limits", "limits" },
};

const Section* findSection(const std::string& name)
{
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const Section& section) { return name == section.name; });
    return found == sections.end() ? nullptr : &*found;
}

nlohmann::json scalarToJson(const YAML::Node& node)
{
    // yaml-cpp tags quoted scalars with "!". They stay text; plain scalars may be booleans or numbers.
    constexpr auto quotedTag = "!";
    if (node.Tag() == quotedTag)
        return node.Scalar();
    bool boolean = false;
    if (YAML::convert<bool>::decode(node, boolean))
        return boolean;
    int64_t integer = 0;
    if (YAML::convert<int64_t>::decode(node, integer))
        return integer;
    // A number that would change when it is written again stays text: the version 1.10 would become 1.1.
    double number = 0;
    if (YAML::convert<double>::decode(node, number) && nlohmann::json(number).dump() == node.Scalar())
        return number;
    return node.Scalar();
}

nlohmann::json toJson(const YAML::Node& node)
{
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        auto list = nlohmann::json::array();
        for (const auto& item : node)
            list.push_back(toJson(item));
        return list;
    }
    if (node.IsMap()) {
        auto object = nlohmann::json::object();
        for (const auto& item : node)
            object[item.first.Scalar()] = toJson(item.second);
        return object;
    }
    return nullptr;
}

} // namespace

// Merges the files of a directory into one document and records where each field was set.
class ConfigLoader {
public:
    tl::expected<ConfigDocument, Findings> load(const std::string& directory)
    {
        for (const auto& file : listFiles(directory))
            loadFile(file);
        if (!m_findings.empty())
            return tl::unexpected(m_findings);
        return m_document;
    }

private:
    std::vector<std::filesystem::path> listFiles(const std::string& directory)
    {
        std::vector<std::filesystem::path> files;
        std::error_code error;
        for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
            if (entry.path().extension() == ".yaml")
                files.push_back(entry.path());
        }
        if (error)
            m_findings.push_back({ directory, "can't read the directory: " + error.message() });
        else if (files.empty())
            m_findings.push_back({ directory, "the directory has no *.yaml file" });
        std::sort(files.begin(), files.end());
        return files;
    }

    void loadFile(const std::filesystem::path& path)
    {
        m_file = path.filename().string();
        try {
            const auto root = YAML::LoadFile(path.string());
            if (root.IsNull())
                return;
            if (!root.IsMap()) {
                m_findings.push_back({ m_file, "the top level must be a mapping of sections" });
                return;
            }
            for (const auto& section : root)
                loadSection(section.first, section.second);
        } catch (const YAML::Exception& error) {
            m_findings.push_back({ placeOf(error.mark), error.msg });
        }
    }

    void loadSection(const YAML::Node& name, const YAML::Node& body)
    {
        const auto* section = findSection(name.Scalar());
        if (!section) {
            m_findings.push_back({ placeOf(name.Mark()), "unknown section '" + name.Scalar() + "'" });
            return;
        }
        if (!body.IsMap()) {
            m_findings.push_back({ placeOf(name.Mark()), "section '" + name.Scalar() + "' must be a mapping of names" });
            return;
        }
        for (const auto& entry : body)
            loadEntry({ section->kind, entry.first.Scalar() }, entry.first.Mark(), entry.second);
    }

    void loadEntry(const EntryKey& key, const YAML::Mark& mark, const YAML::Node& body)
    {
        m_document.m_places[key.toString()] = placeOf(mark);
        if (body.IsNull()) {
            m_document.m_entries.erase(key);
            return;
        }
        if (!body.IsMap()) {
            m_findings.push_back({ placeOf(mark), key.toString() + " must be a mapping of fields" });
            return;
        }
        auto& entry = m_document.m_entries[key];
        if (!entry.is_object())
            entry = nlohmann::json::object();
        for (const auto& field : body) {
            entry[field.first.Scalar()] = toJson(field.second);
            m_document.m_places[key.toString() + "." + field.first.Scalar()] = placeOf(field.first.Mark());
        }
    }

    std::string placeOf(const YAML::Mark& mark) const { return m_file + ":" + std::to_string(mark.line + 1); }

    ConfigDocument m_document;
    Findings m_findings;
    std::string m_file;
};

tl::expected<ConfigDocument, Findings> ConfigDocument::load(const std::string& directory) { return ConfigLoader().load(directory); }

} // namespace bronzeswitch
