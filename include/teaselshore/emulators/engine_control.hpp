#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Role in which an engine serves.
enum class EngineRole {
    Serving,
    /// Finishes its work and refuses new requests.
    Draining,
};

enum class ControlAction {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
};

/// @brief Control command. The same command may be repeated without further effect.
struct ControlCommand {
    std::uint64_t fencingToken = 0;
    ControlAction action = ControlAction::LoadVersion;
    /// Name of the model, adapter or version, or "serving" or "draining".
    std::string value;

    auto operator<=>(const ControlCommand&) const = default;
};

enum class ControlResult {
    Accepted,
    OldToken,
    InvalidValue,
};

/// @brief Accepted control command.
struct AppliedCommand {
    ControlCommand command;
    /// Whether a command with a higher fencing token came before; possible only if tokens are not checked.
    bool wasOld = false;

    auto operator<=>(const AppliedCommand&) const = default;
};

/// @brief State of an engine that control commands change. Pure: no I/O; not thread-safe.
class EngineControl {
public:
    EngineControl(std::string model, VersionName version, bool checksFencing, Duration loadTime);

    ControlResult onCommand(const ControlCommand& command, Instant now);

    /// @brief Puts loads into effect whose time has passed.
    void onTick(Instant now);

    /// @brief Returns whether requests for this model or adapter can run.
    bool serves(const std::string& name) const;

    const std::string& model() const { return this->activeModel; }
    const VersionName& version() const { return this->activeVersion; }
    const std::set<std::string>& adapters() const { return this->activeAdapters; }
    EngineRole role() const { return this->activeRole; }
    std::uint64_t highestToken() const { return this->highest; }
    std::size_t loading() const { return this->loads.size(); }
    /// @brief Returns the last 1000 accepted commands, oldest first.
    const std::vector<AppliedCommand>& applied() const { return this->log; }

private:
    struct Load {
        Instant readyAt;
        ControlCommand command;
    };

    bool isActive(const ControlCommand& command) const;
    void activate(const ControlCommand& command);

    std::string activeModel;
    VersionName activeVersion;
    std::set<std::string> activeAdapters;
    EngineRole activeRole = EngineRole::Serving;
    bool checksFencing;
    Duration loadTime;
    std::uint64_t highest = 0;
    std::vector<Load> loads;
    std::vector<AppliedCommand> log;
};

} // namespace teaselshore
