#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <tclap/CmdLine.h>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/http_error.hpp"
#include "teaselshore/http/http_server.hpp"

namespace teaselshore {

/// @brief Arguments that all emulator programs share.
class ProgramArguments {
public:
    /// @brief Adds the arguments to the command line, which must outlive this object.
    ProgramArguments(TCLAP::CmdLine& commandLine, std::uint16_t defaultPort);

    /// @brief Applies the log settings. Returns false and logs the reason if one is invalid.
    bool applyLogSettings();

    HttpServerSettings address();
    std::uint64_t seed() { return this->seedArgument.getValue(); }
    Duration grace() { return std::chrono::milliseconds(this->graceArgument.getValue()); }

private:
    TCLAP::ValueArg<std::string> addressArgument;
    TCLAP::ValueArg<std::uint16_t> portArgument;
    TCLAP::ValueArg<std::uint64_t> seedArgument;
    TCLAP::ValueArg<std::uint32_t> graceArgument;
    TCLAP::ValueArg<std::string> logLevelArgument;
    TCLAP::ValueArg<std::string> nameArgument;
};

/// @brief Logs that the program listens, in a form that scripts can read the port from.
void logListening(const HttpServerSettings& settings, std::uint16_t port);

/// @brief Logs that the program cannot listen.
void logListenFailed(const HttpServerSettings& settings, const HttpError& error);

} // namespace teaselshore
