#include <algorithm>
#include <operator/Table.h>

namespace bronzeswitch {

namespace {

std::string cellText(const nlohmann::json& row, const std::string& field)
{
    if (!row.contains(field))
        return "-";
    const auto& value = row[field];
    const auto text = value.is_string() ? value.get<std::string>() : value.dump();
    return text.empty() ? "-" : text;
}

} // namespace

std::string formatTable(const nlohmann::json& rows, const std::vector<Column>& columns)
{
    std::vector<std::vector<std::string>> cells(1);
    for (const auto& column : columns)
        cells[0].push_back(column.title);
    for (const auto& row : rows) {
        auto& line = cells.emplace_back();
        for (const auto& column : columns)
            line.push_back(cellText(row, column.field));
    }
    std::string text;
    for (const auto& line : cells) {
        for (size_t i = 0; i < line.size(); ++i) {
            size_t width = 0;
            for (const auto& other : cells)
                width = std::max(width, other[i].size());
            const bool isLast = i + 1 == line.size();
            text += line[i] + (isLast ? "" : std::string(width - line[i].size() + 2, ' '));
        }
        text += "\n";
    }
    return text;
}

} // namespace bronzeswitch
