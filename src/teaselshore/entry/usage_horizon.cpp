#include "usage_horizon.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    constexpr const char* horizonKey = "usage/horizon";
    constexpr Duration retryDelay = std::chrono::milliseconds(400);

} // namespace

std::string UsageHorizon::Stored::encode() const
{
    return toJsonText(Json { { "era", this->era }, { "firstWindow", this->firstWindow } });
}

std::optional<UsageHorizon::Stored> UsageHorizon::Stored::decode(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        return Stored { value.at("era").get<std::uint64_t>(), value.at("firstWindow").get<std::int64_t>() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

UsageHorizon::UsageHorizon(EntryState& state, ObjectCallIds& ids)
    : state(state)
    , ids(ids)
{
}

void UsageHorizon::reset()
{
    this->known.reset();
    this->version.reset();
    this->call.reset();
    this->nextAttempt = {};
}

void UsageHorizon::onTick(std::int64_t own, std::int64_t latest, Instant now)
{
    if (this->call || now < this->nextAttempt)
        return;
    if (!this->version) {
        this->read();
        return;
    }
    // A host whose clock was ahead may have written a window that is far away.
    if (this->known && *this->known > latest)
        this->known.reset();
    if (!this->known)
        this->write(std::min(own, latest));
}

void UsageHorizon::read()
{
    this->call = Call { this->ids.next(), std::nullopt };
    this->state.commands.emplace_back(CallObjectApi { ObjectRead { this->call->id, horizonKey } });
}

void UsageHorizon::write(std::int64_t firstWindow)
{
    // The era is not known while there is no object. The platform's answer tells it, and the next write corrects it.
    const Stored stored { eraOf(*this->version), firstWindow };
    this->call = Call { this->ids.next(), stored };
    if (*this->version == 0)
        this->state.commands.emplace_back(
            CallObjectApi { ObjectCreate { this->call->id, horizonKey, stored.encode() } });
    else
        this->state.commands.emplace_back(
            CallObjectApi { ObjectUpdate { this->call->id, horizonKey, stored.encode(), *this->version } });
}

void UsageHorizon::accept(const Stored& stored)
{
    if (stored.era == eraOf(*this->version))
        this->known = stored.firstWindow;
}

void UsageHorizon::onObjectResult(const ObjectResult& result, Instant now)
{
    const std::optional<Stored> written = this->call->written;
    this->call.reset();
    if (result.outcome == ObjectOutcome::Ok) {
        this->version = result.version;
        const std::optional<Stored> stored = written ? written : Stored::decode(result.value);
        if (stored)
            this->accept(*stored);
        if (this->known)
            this->state.log(LogLevel::Info, written ? "usage horizon written" : "usage horizon read",
                { { "firstWindow", std::to_string(*this->known) }, { "era", std::to_string(eraOf(*this->version)) } });
        return;
    }
    if (!written && result.outcome == ObjectOutcome::NotFound) {
        this->version = 0;
        return;
    }
    // Another holder may have written it, or a write of this node whose answer was lost.
    this->version.reset();
    this->nextAttempt = now + retryDelay;
}

} // namespace teaselshore
