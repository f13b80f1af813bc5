#include "teaselshore/telemetry/distribution.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <utility>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace teaselshore {

namespace {

    namespace statistics = boost::accumulators;

    using WindowAccumulator = statistics::accumulator_set<double,
        statistics::stats<statistics::tag::count, statistics::tag::mean, statistics::tag::max,
            statistics::tag::extended_p_square>>;

    /// The additional probabilities improve the estimates between them.
    constexpr std::array<double, 7> probabilities { 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999 };
    constexpr std::size_t p50Index = 1;
    constexpr std::size_t p95Index = 4;
    constexpr std::size_t p99Index = 5;
    /// The P-square estimate needs at least 17 values for 7 probabilities and is rough for few; up to this number, the
    /// quantiles are computed from the values themselves.
    constexpr std::size_t exactValues = 64;

    constexpr double noValue = std::numeric_limits<double>::quiet_NaN();

    class Window {
    public:
        Window()
            : accumulator(statistics::extended_p_square_probabilities = probabilities)
        {
        }

        void record(double value)
        {
            this->accumulator(value);
            if (this->first.size() < exactValues)
                this->first.push_back(value);
        }

        std::size_t count() const { return statistics::count(this->accumulator); }
        double mean() const { return this->count() == 0 ? noValue : statistics::mean(this->accumulator); }
        double maximum() const { return this->count() == 0 ? noValue : statistics::max(this->accumulator); }

        double quantile(std::size_t index) const
        {
            if (this->count() == 0)
                return noValue;
            if (this->count() <= exactValues)
                return this->exactQuantile(probabilities[index]);
            return statistics::extended_p_square(this->accumulator)[static_cast<std::ptrdiff_t>(index)];
        }

    private:
        double exactQuantile(double probability) const
        {
            std::vector<double> values = this->first;
            const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(values.size())));
            const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
            std::nth_element(values.begin(), position, values.end());
            return *position;
        }

        WindowAccumulator accumulator;
        std::vector<double> first;
    };

} // namespace

struct Distribution::Impl {
    const Window& reported() const { return this->complete.count() > 0 ? this->complete : this->running; }

    std::uint64_t count = 0;
    double sum = 0;
    Window running;
    Window complete;
};

Distribution::Distribution()
    : impl(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;
Distribution::Distribution(Distribution&&) noexcept = default;
Distribution& Distribution::operator=(Distribution&&) noexcept = default;

void Distribution::record(double value)
{
    ++this->impl->count;
    this->impl->sum += value;
    this->impl->running.record(value);
}

void Distribution::startWindow() { this->impl->complete = std::exchange(this->impl->running, Window()); }

std::uint64_t Distribution::count() const { return this->impl->count; }
double Distribution::sum() const { return this->impl->sum; }
double Distribution::mean() const { return this->impl->reported().mean(); }
double Distribution::maximum() const { return this->impl->reported().maximum(); }
double Distribution::p50() const { return this->impl->reported().quantile(p50Index); }
double Distribution::p95() const { return this->impl->reported().quantile(p95Index); }
double Distribution::p99() const { return this->impl->reported().quantile(p99Index); }

} // namespace teaselshore
