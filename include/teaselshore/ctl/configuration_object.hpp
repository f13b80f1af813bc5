#pragma once

#include <optional>
#include <string>

#include "teaselshore/ctl/apply_session.hpp"
#include "teaselshore/ctl/http_fetcher.hpp"

namespace teaselshore {

/// @brief Object `configuration` of the platform's object API. Its value is the YAML text itself.
class ConfigurationObject {
public:
    /// @param platform "address:port". The fetcher must outlive the object.
    ConfigurationObject(HttpFetcher& fetcher, std::string platform);

    ReadResult read();
    /// @brief Writes on condition that the object has the version, or is absent if there is none.
    WriteResult write(const std::string& text, std::optional<std::uint64_t> expected);

private:
    HttpFetcher& fetcher;
    std::string platform;
};

} // namespace teaselshore
