#include "FieldReader.h"

namespace bronzeswitch {

FieldReader::FieldReader(const ConfigDocument& document, EntryKey key, const nlohmann::json& entry, Findings& findings)
    : m_document(document)
    , m_key(std::move(key))
    , m_entry(entry)
    , m_findings(findings)
{
    if (!m_entry.is_object())
        report("", "must be a mapping of fields");
}

FieldReader::~FieldReader()
{
    if (!m_entry.is_object())
        return;
    for (const auto& [field, value] : m_entry.items()) {
        if (!m_readFields.contains(field))
            report(field, "unknown field '" + field + "'");
    }
}

const nlohmann::json* FieldReader::find(const std::string& field)
{
    m_readFields.insert(field);
    if (!m_entry.is_object() || !m_entry.contains(field))
        return nullptr;
    return &m_entry[field];
}

std::string FieldReader::requiredText(const std::string& field)
{
    if (!find(field)) {
        report(field, "field '" + field + "' is missing");
        return {};
    }
    return text(field, {});
}

std::string FieldReader::text(const std::string& field, const std::string& fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    if (value->is_number())
        return value->dump();
    report(field, "must be text");
    return fallback;
}

bool FieldReader::flag(const std::string& field, bool fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        report(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

int64_t FieldReader::integer(const std::string& field, int64_t fallback, int64_t minimum, int64_t maximum)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_number_integer() || value->get<int64_t>() < minimum || value->get<int64_t>() > maximum) {
        report(field, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->get<int64_t>();
}

double FieldReader::number(const std::string& field, double fallback, double minimum, double maximum)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        report(field, "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value->get<double>();
}

void FieldReader::report(const std::string& field, const std::string& message)
{
    m_findings.push_back({ m_document.place(m_key, field), message });
}

} // namespace bronzeswitch
