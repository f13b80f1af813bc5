#include "teaselshore/emulators/version_behaviour.hpp"

#include <cstdlib>
#include <string_view>

#include "teaselshore/emulators/target.hpp"

namespace teaselshore {

namespace {

    struct FailureVisitor {
        const VersionSituation& situation;

        bool operator()(const GoodVersion& /*unused*/) const { return false; }
        bool operator()(const SlowVersion& /*unused*/) const { return false; }
        bool operator()(const FailsAlways& /*unused*/) const { return true; }
        bool operator()(const FailsAfterRequests& version) const
        {
            return this->situation.requests >= version.requests;
        }
        bool operator()(const FailsAfterTime& version) const { return this->situation.age >= version.time; }
        bool operator()(const FailsAboveLoad& version) const { return this->situation.load > version.load; }
        bool operator()(const FailsOnRoute& version) const { return this->situation.path.starts_with(version.prefix); }
    };

    std::optional<double> parsePositive(const std::string& text)
    {
        char* end = nullptr;
        const double value = std::strtod(text.c_str(), &end);
        if (text.empty() || *end != '\0' || !(value > 0))
            return std::nullopt;
        return value;
    }

} // namespace

bool failsRequest(const VersionBehaviour& behaviour, const VersionSituation& situation)
{
    return std::visit(FailureVisitor { situation }, behaviour);
}

double slowdown(const VersionBehaviour& behaviour)
{
    const auto* slow = std::get_if<SlowVersion>(&behaviour);
    return slow == nullptr ? 1 : slow->factor;
}

std::optional<VersionBehaviour> parseVersionBehaviour(std::string_view text)
{
    const std::size_t colon = text.find(':');
    const std::string_view kind = text.substr(0, colon);
    const std::string value(colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1));
    if (kind == "good" && value.empty())
        return GoodVersion {};
    if (kind == "fails" && value.empty())
        return FailsAlways {};
    if (kind == "fails-on-route" && !value.empty())
        return FailsOnRoute { value };
    if (const auto number = parseNumber(value)) {
        if (kind == "fails-after-requests")
            return FailsAfterRequests { *number };
        if (kind == "fails-above-load")
            return FailsAboveLoad { *number };
    }
    if (const auto factor = parsePositive(value)) {
        if (kind == "fails-after-seconds")
            return FailsAfterTime { fromSeconds(*factor) };
        if (kind == "slow")
            return SlowVersion { *factor };
    }
    return std::nullopt;
}

} // namespace teaselshore
