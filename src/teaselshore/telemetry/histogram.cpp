#include "teaselshore/telemetry/histogram.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    namespace statistics = boost::accumulators;

    using TotalAccumulator
        = statistics::accumulator_set<double, statistics::stats<statistics::tag::count, statistics::tag::sum>>;
    using WindowAccumulator
        = statistics::accumulator_set<double, statistics::stats<statistics::tag::count, statistics::tag::max>>;

} // namespace

struct Histogram::Impl {
    TotalAccumulator total;
    /// Values between the bound before and the one of the bucket.
    std::array<std::uint64_t, bounds.size()> buckets {};
    WindowAccumulator running;
    WindowAccumulator complete;
};

Histogram::Histogram()
    : impl(std::make_unique<Impl>())
{
}

Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::record(double value)
{
    this->impl->total(value);
    this->impl->running(value);
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), value);
    if (bound != bounds.end())
        ++this->impl->buckets[static_cast<std::size_t>(std::distance(bounds.begin(), bound))];
}

void Histogram::startWindow() { this->impl->complete = std::exchange(this->impl->running, WindowAccumulator()); }

std::uint64_t Histogram::count() const { return statistics::count(this->impl->total); }

double Histogram::sum() const { return statistics::sum(this->impl->total); }

std::uint64_t Histogram::countUpTo(std::size_t bucket) const
{
    TEASELSHORE_ASSERT(bucket < bounds.size(), "no bucket has this index");
    const auto end = this->impl->buckets.begin() + static_cast<std::ptrdiff_t>(bucket) + 1;
    return std::accumulate(this->impl->buckets.begin(), end, std::uint64_t { 0 });
}

double Histogram::maximum() const
{
    const bool isComplete = statistics::count(this->impl->complete) > 0;
    const WindowAccumulator& window = isComplete ? this->impl->complete : this->impl->running;
    return statistics::count(window) == 0 ? std::numeric_limits<double>::quiet_NaN() : statistics::max(window);
}

} // namespace teaselshore
