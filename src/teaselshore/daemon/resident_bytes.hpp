#pragma once

#include <cstddef>
#include <fstream>

#include <unistd.h>

namespace teaselshore {

/// @brief Returns how many bytes of this process are in memory, for tests. Thread-safe.
inline std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    file >> pages >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace teaselshore
