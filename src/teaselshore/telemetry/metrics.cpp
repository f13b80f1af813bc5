#include "teaselshore/telemetry/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    bool isLetter(char letter)
    {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || letter == '_';
    }

    bool isIdentifier(std::string_view text, bool allowsColon)
    {
        if (text.empty() || (text[0] >= '0' && text[0] <= '9'))
            return false;
        return std::all_of(text.begin(), text.end(), [allowsColon](char letter) {
            return isLetter(letter) || (letter >= '0' && letter <= '9') || (allowsColon && letter == ':');
        });
    }

    /// Labels that the text format gives a meaning of its own.
    bool isReserved(std::string_view label) { return label == "le" || label == "quantile"; }

    bool areLabels(const MetricLabels& labels)
    {
        return std::all_of(labels.begin(), labels.end(),
            [](const auto& label) { return isIdentifier(label.first, false) && !isReserved(label.first); });
    }

    std::string escape(std::string_view text, bool quoted)
    {
        std::string result;
        for (const char letter : text) {
            if (letter == '\\')
                result += "\\\\";
            else if (letter == '\n')
                result += "\\n";
            else if (letter == '"' && quoted)
                result += "\\\"";
            else
                result += letter;
        }
        return result;
    }

    std::string formatNumber(double value)
    {
        if (std::isnan(value))
            return "NaN";
        if (std::isinf(value))
            return value > 0 ? "+Inf" : "-Inf";
        return fmt::format("{}", value);
    }

    std::string formatLabels(const MetricLabels& labels, std::string_view bound = {})
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escape(value, true));
        if (!bound.empty())
            text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", bound);
        return text.empty() ? text : "{" + text + "}";
    }

    void appendHeader(std::string& text, const std::string& name, std::string_view help, std::string_view type)
    {
        fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n", name, escape(help, false), name, type);
    }

    void appendLine(std::string& text, std::string_view name, std::string_view labels, std::string_view value)
    {
        fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, labels, value);
    }

    struct TypeName {
        std::string_view operator()(const Counter&) const { return "counter"; }
        std::string_view operator()(const Gauge&) const { return "gauge"; }
        std::string_view operator()(const Histogram&) const { return "histogram"; }
    };

    /// Appends the lines of one metric.
    struct LineWriter {
        void operator()(const Counter& counter) const
        {
            appendLine(this->text, this->name, formatLabels(this->labels), fmt::format("{}", counter.value()));
        }

        void operator()(const Gauge& gauge) const
        {
            appendLine(this->text, this->name, formatLabels(this->labels), formatNumber(gauge.value()));
        }

        void operator()(const Histogram& histogram) const
        {
            const std::string buckets = this->name + "_bucket";
            for (std::size_t bucket = 0; bucket < Histogram::bounds.size(); ++bucket)
                appendLine(this->text, buckets, formatLabels(this->labels, formatNumber(Histogram::bounds[bucket])),
                    fmt::format("{}", histogram.countUpTo(bucket)));
            const std::string count = fmt::format("{}", histogram.count());
            appendLine(this->text, buckets, formatLabels(this->labels, "+Inf"), count);
            const std::string plain = formatLabels(this->labels);
            appendLine(this->text, this->name + "_sum", plain, formatNumber(histogram.sum()));
            appendLine(this->text, this->name + "_count", plain, count);
        }

        std::string& text;
        const std::string& name;
        const MetricLabels& labels;
    };

} // namespace

template <typename Kind>
Kind& Metrics::find(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    TEASELSHORE_ASSERT(isIdentifier(name, true) && areLabels(labels), "invalid metric name or label");
    Family& family = this->families.try_emplace(name, Family { help, {} }).first->second;
    const bool sameKind = family.metrics.empty() || std::holds_alternative<Kind>(family.metrics.begin()->second);
    TEASELSHORE_ASSERT(sameKind, "a metric name must keep its kind");
    return std::get<Kind>(family.metrics.try_emplace(labels, std::in_place_type<Kind>).first->second);
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return this->find<Counter>(name, help, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return this->find<Gauge>(name, help, labels);
}

Histogram& Metrics::histogram(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return this->find<Histogram>(name, help, labels);
}

void Metrics::startWindow()
{
    for (auto& [name, family] : this->families) {
        for (auto& [labels, metric] : family.metrics) {
            if (auto* histogram = std::get_if<Histogram>(&metric))
                histogram->startWindow();
        }
    }
}

std::string Metrics::renderPrometheus() const
{
    std::string text;
    for (const auto& [name, family] : this->families) {
        const Metric& example = family.metrics.begin()->second;
        appendHeader(text, name, family.help, std::visit(TypeName {}, example));
        for (const auto& [labels, metric] : family.metrics)
            std::visit(LineWriter { text, name, labels }, metric);
        if (!std::holds_alternative<Histogram>(example))
            continue;
        // All lines of a family must be adjacent, so the maximum is a family of its own.
        const std::string maximumName = name + "_max";
        appendHeader(text, maximumName, family.help + " (maximum)", "gauge");
        for (const auto& [labels, metric] : family.metrics)
            appendLine(text, maximumName, formatLabels(labels), formatNumber(std::get<Histogram>(metric).maximum()));
    }
    return text;
}

} // namespace teaselshore
