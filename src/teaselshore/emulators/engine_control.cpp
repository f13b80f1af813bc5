#include "teaselshore/emulators/engine_control.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    /// Holders repeat their commands, so the log is bounded.
    constexpr std::size_t maxLoggedCommands = 1000;

} // namespace

EngineControl::EngineControl(std::string model, VersionName version, bool checksFencing, Duration loadTime)
    : activeModel(std::move(model))
    , activeVersion(std::move(version))
    , checksFencing(checksFencing)
    , loadTime(loadTime)
{
}

ControlResult EngineControl::onCommand(const ControlCommand& command, Instant now)
{
    this->onTick(now);
    const bool isRole = command.value == "serving" || command.value == "draining";
    if (command.value.empty() || (command.action == ControlAction::SetRole && !isRole))
        return ControlResult::InvalidValue;
    const bool isOld = command.fencingToken < this->highest;
    if (isOld && this->checksFencing)
        return ControlResult::OldToken;

    this->highest = std::max(this->highest, command.fencingToken);
    if (this->log.size() >= maxLoggedCommands)
        this->log.erase(this->log.begin());
    this->log.push_back({ command, isOld });
    if (command.action == ControlAction::SetRole) {
        this->activate(command);
        return ControlResult::Accepted;
    }
    const auto isSame = [&](const Load& load) {
        return load.command.action == command.action && load.command.value == command.value;
    };
    if (std::any_of(this->loads.begin(), this->loads.end(), isSame))
        return ControlResult::Accepted;
    // Another model or version replaces one that is still loading; adapters are loaded beside each other.
    if (command.action != ControlAction::LoadAdapter)
        std::erase_if(this->loads, [&](const Load& load) { return load.command.action == command.action; });
    if (!this->isActive(command))
        this->loads.push_back({ now + this->loadTime, command });
    return ControlResult::Accepted;
}

void EngineControl::onTick(Instant now)
{
    for (const Load& load : this->loads) {
        if (load.readyAt <= now)
            this->activate(load.command);
    }
    std::erase_if(this->loads, [&](const Load& load) { return load.readyAt <= now; });
}

bool EngineControl::serves(const std::string& name) const
{
    return name.empty() || name == this->activeModel || this->activeAdapters.contains(name);
}

bool EngineControl::isActive(const ControlCommand& command) const
{
    switch (command.action) {
    case ControlAction::LoadModel:
        return this->activeModel == command.value;
    case ControlAction::LoadAdapter:
        return this->activeAdapters.contains(command.value);
    case ControlAction::LoadVersion:
        return this->activeVersion.value() == command.value;
    case ControlAction::SetRole:
        break;
    }
    return false;
}

void EngineControl::activate(const ControlCommand& command)
{
    switch (command.action) {
    case ControlAction::LoadModel:
        this->activeModel = command.value;
        break;
    case ControlAction::LoadAdapter:
        this->activeAdapters.insert(command.value);
        break;
    case ControlAction::LoadVersion:
        this->activeVersion = VersionName(command.value);
        break;
    case ControlAction::SetRole:
        this->activeRole = command.value == "draining" ? EngineRole::Draining : EngineRole::Serving;
        break;
    }
}

} // namespace teaselshore
