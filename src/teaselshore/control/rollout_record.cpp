#include "teaselshore/control/rollout_record.hpp"

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    std::int64_t encodeTime(WallTime time) { return time.time_since_epoch().count(); }

    WallTime decodeTime(const Json& value) { return WallTime(std::chrono::seconds(value.get<std::int64_t>())); }

    Json encodeCounts(const EvidenceCounts& counts)
    {
        return { counts.samples, counts.failures, counts.timed, counts.sumLog, counts.sumSquareLog };
    }

    // This and the decoding functions below throw nlohmann::json::exception on malformed values.
    EvidenceCounts decodeCounts(const Json& value)
    {
        return { value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(), value.at(2).get<std::uint64_t>(),
            value.at(3).get<double>(), value.at(4).get<double>() };
    }

    std::optional<RolloutState> decodeState(const std::string& name)
    {
        for (const RolloutState state :
            { RolloutState::InProgress, RolloutState::Complete, RolloutState::RolledBack }) {
            if (rolloutStateName(state) == name)
                return state;
        }
        return std::nullopt;
    }

    std::optional<LoadBand> decodeBand(int band)
    {
        if (band < 0 || band > static_cast<int>(LoadBand::High))
            return std::nullopt;
        return static_cast<LoadBand>(band);
    }

    std::optional<RolloutRecord> decodeRecord(const Json& json)
    {
        const auto state = decodeState(json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        RolloutRecord record;
        record.pair
            = { ServiceName(json.at("service").get<std::string>()), VersionName(json.at("from").get<std::string>()),
                  VersionName(json.at("to").get<std::string>()), decodeTime(json.at("moveBy")) };
        record.state = *state;
        record.reason = json.at("reason").get<std::string>();
        record.step = json.at("step").get<std::uint32_t>();
        record.share = json.at("share").get<double>();
        record.startedAt = decodeTime(json.at("startedAt"));
        record.stepStartedAt = decodeTime(json.at("stepStartedAt"));
        record.fencingToken = json.at("fencingToken").get<std::uint64_t>();
        if (!(record.share >= 0 && record.share <= 1))
            return std::nullopt;
        for (const Json& entry : json.at("evidence")) {
            const auto band = decodeBand(entry.at("load").get<int>());
            if (!band)
                return std::nullopt;
            record.evidence.push_back({ { RouteName(entry.at("route").get<std::string>()),
                                            ClassName(entry.at("class").get<std::string>()), *band },
                decodeCounts(entry.at("from")), decodeCounts(entry.at("to")) });
        }
        return record;
    }

} // namespace

std::string_view rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::InProgress:
        return "in_progress";
    case RolloutState::Complete:
        return "complete";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "in_progress";
}

std::string RolloutRecord::encode() const
{
    Json entries = Json::array();
    for (const StepEvidence& entry : this->evidence) {
        entries.push_back({ { "route", entry.cell.route.value() }, { "class", entry.cell.latencyClass.value() },
            { "load", static_cast<int>(entry.cell.load) }, { "from", encodeCounts(entry.from) },
            { "to", encodeCounts(entry.to) } });
    }
    const Json json { { "service", this->pair.service.value() }, { "from", this->pair.from.value() },
        { "to", this->pair.to.value() }, { "moveBy", encodeTime(this->pair.moveBy) },
        { "state", rolloutStateName(this->state) }, { "reason", this->reason }, { "step", this->step },
        { "share", this->share }, { "startedAt", encodeTime(this->startedAt) },
        { "stepStartedAt", encodeTime(this->stepStartedAt) }, { "fencingToken", this->fencingToken },
        { "evidence", std::move(entries) } };
    return toJsonText(json);
}

std::optional<RolloutRecord> RolloutRecord::decode(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return decodeRecord(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string rolloutKey(const ServiceName& service) { return "moves/" + service.value(); }

} // namespace teaselshore
