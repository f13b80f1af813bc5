#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "teaselshore/telemetry/histogram.hpp"

namespace teaselshore {

/// @brief Label names and values of one metric.
using MetricLabels = std::map<std::string, std::string>;

/// @brief Number that only grows.
class Counter {
public:
    void add(std::uint64_t amount = 1) { this->total += amount; }
    std::uint64_t value() const { return this->total; }

private:
    std::uint64_t total = 0;
};

/// @brief Number that rises and falls.
class Gauge {
public:
    void set(double value) { this->current = value; }
    void add(double amount) { this->current += amount; }
    double value() const { return this->current; }

private:
    double current = 0;
};

/// @brief Registry of one owner's metrics. Not thread-safe.
///
/// References stay valid as long as the registry, so that hot paths look a metric up once. The name and labels must
/// follow Prometheus' rules, and one name must keep its kind; both are asserted.
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Histogram& histogram(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /// @brief Ends the window of all histograms; the owner calls it in a fixed interval.
    void startWindow();

    /// @brief Returns all metrics in the Prometheus text exposition format 0.0.4, sorted by name and labels.
    ///
    /// A histogram has a gauge <name>_max beside it.
    std::string renderPrometheus() const;

private:
    using Metric = std::variant<Counter, Gauge, Histogram>;
    struct Family {
        std::string help;
        std::map<MetricLabels, Metric> metrics;
    };

    template <typename Kind> Kind& find(const std::string& name, const std::string& help, const MetricLabels& labels);

    std::map<std::string, Family> families;
};

} // namespace teaselshore
