#include "teaselshore/emulators/quantile_sample.hpp"

#include <algorithm>
#include <cmath>

namespace teaselshore {

QuantileSample::QuantileSample(std::size_t capacity)
    : capacity(capacity)
{
}

void QuantileSample::add(double value)
{
    ++this->seen;
    if (this->values.size() < this->capacity) {
        this->values.push_back(value);
        return;
    }
    // Reservoir sampling: each value seen so far is kept with the same probability.
    const std::uint64_t position = this->random.below(this->seen);
    if (position < this->capacity)
        this->values[position] = value;
}

double QuantileSample::quantile(double share) const
{
    if (this->values.empty())
        return 0;
    std::vector<double> sorted = this->values;
    const double rank = std::ceil(share * static_cast<double>(sorted.size()));
    const std::size_t index = std::min(sorted.size() - 1, static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

} // namespace teaselshore
