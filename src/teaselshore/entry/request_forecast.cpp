#include "teaselshore/entry/request_forecast.hpp"

namespace teaselshore {

const char* outcomeName(RequestForecast::Outcome outcome)
{
    switch (outcome) {
    case RequestForecast::Outcome::Routed:
        return "routed";
    case RequestForecast::Outcome::Relayed:
        return "relayed";
    case RequestForecast::Outcome::Queued:
        return "queued";
    case RequestForecast::Outcome::Rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace teaselshore
