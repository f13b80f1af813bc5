#include "teaselshore/ctl/table.hpp"

#include <algorithm>
#include <utility>

#include <fmt/ostream.h>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

Table::Table(std::vector<std::string> header) { this->rows.push_back(std::move(header)); }

void Table::addRow(std::vector<std::string> cells)
{
    TEASELSHORE_ASSERT(cells.size() == this->rows.front().size(), "a row must have a cell for each column");
    for (std::string& cell : cells)
        cell = cell.empty() ? "-" : printable(cell);
    this->rows.push_back(std::move(cells));
}

void Table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const std::vector<std::string>& row : this->rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const std::vector<std::string>& row : this->rows) {
        for (std::size_t column = 0; column + 1 < row.size(); ++column)
            fmt::print(out, "{:<{}}  ", row[column], widths[column]);
        fmt::print(out, "{}\n", row.back());
    }
}

std::string printable(std::string_view text)
{
    std::string result(text);
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    std::replace_if(result.begin(), result.end(), isControl, '?');
    return result;
}

} // namespace teaselshore
