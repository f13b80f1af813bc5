#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaselshore {

/// @brief Text table with a header line and left-aligned columns.
class Table {
public:
    explicit Table(std::vector<std::string> header);

    /// @brief Adds a row. Precondition: it has as many cells as the header.
    void addRow(std::vector<std::string> cells);
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows;
};

/// @brief Returns the text with control characters replaced, so that a reply cannot drive the terminal.
std::string printable(std::string_view text);

} // namespace teaselshore
