#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A column of a table: the field of the rows to show and the column's title. */
struct Column {
    std::string field;
    std::string title;

    bool operator==(const Column&) const = default;
};

/** @return a list of JSON objects as a table with aligned columns, below a line of titles. Missing and empty values are shown as "-". */
std::string formatTable(const nlohmann::json& rows, const std::vector<Column>&);

} // namespace bronzeswitch
