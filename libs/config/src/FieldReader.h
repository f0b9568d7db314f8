#pragma once

#include <config/ConfigDocument.h>

#include <set>
#include <string>

namespace bronzeswitch {

/** Reads typed fields of a configuration entry and collects findings. Fields that were never read are reported as unknown. */
class FieldReader {
public:
    FieldReader(const ConfigDocument&, EntryKey, const nlohmann::json&, Findings&);

    /** Reports the unknown fields. */
    ~FieldReader();

    FieldReader(const FieldReader&) = delete;
    FieldReader& operator=(const FieldReader&) = delete;

    /** @return the text of a field; reports a finding if the field is missing. */
    std::string requiredText(const std::string& field);

    /** @return the text of a field, where a number counts as text, or the fallback if the field is missing or invalid. */
    std::string text(const std::string& field, const std::string& fallback);

    /** @return the value of a boolean field, or the fallback if the field is missing or invalid. */
    bool flag(const std::string& field, bool fallback);

    /** @return the value of an integer field within the bounds, or the fallback if the field is missing or invalid. */
    int64_t integer(const std::string& field, int64_t fallback, int64_t minimum, int64_t maximum);

    /** @return the value of a numeric field within the bounds, or the fallback if the field is missing or invalid. */
    double number(const std::string& field, double fallback, double minimum, double maximum);

    /** Reports a finding at a field, or at the entry if the field is empty. */
    void report(const std::string& field, const std::string& message);

private:
    const nlohmann::json* find(const std::string& field);

    const ConfigDocument& m_document;
    EntryKey m_key;
    const nlohmann::json& m_entry;
    Findings& m_findings;
    std::set<std::string> m_readFields;
};

} // namespace bronzeswitch
