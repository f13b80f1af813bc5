#include "teaselshore/emulators/weight_store.hpp"

#include <algorithm>

namespace teaselshore {

WeightStore::WeightStore(WeightStoreSettings settings)
    : settings(settings)
    , limit(settings.fetchesPerSecond, std::max(1.0, settings.fetchesPerSecond))
{
}

std::optional<WeightFetch> WeightStore::onFetch(const std::string& model, Instant now)
{
    this->meter.count(now);
    if (!this->limit.tryTake(now)) {
        ++this->rejections;
        return std::nullopt;
    }
    const Duration transfer = fromSeconds(this->settings.bytesPerModel / this->settings.bytesPerSecond);
    this->busyUntil = std::max(this->busyUntil, now) + transfer;
    return WeightFetch { model, static_cast<std::uint64_t>(this->settings.bytesPerModel), this->busyUntil - now };
}

} // namespace teaselshore
