#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "teaselshore/base/random.hpp"
#include "teaselshore/telemetry/metrics.hpp"
#include "teaselshore/telemetry/span_ring.hpp"
#include "teaselshore/telemetry/trace_context.hpp"

namespace teaselshore {
namespace {

    const std::string validParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

    // Guards against traces that break between nodes because one of them writes what another does not read.
    RC_GTEST_PROP(Traceparent, FormatsWhatItParses, (std::uint64_t seed, bool sampled))
    {
        RandomSource random(seed);
        TraceContext context = newTrace(random);
        context.sampled = sampled;
        const TraceContext child = childOf(context, random);
        RC_ASSERT(parseTraceparent(formatTraceparent(context)) == context);
        RC_ASSERT(child.traceId == context.traceId);
        RC_ASSERT(child.spanId != context.spanId);
    }

    // Guards against malformed headers that enter logs, metrics or other nodes as ids.
    TEST(Traceparent, RejectsMalformedValues)
    {
        ASSERT_TRUE(parseTraceparent(validParent));
        std::vector<std::string> malformed { "", validParent + "0", validParent + "-more", validParent.substr(0, 54),
            "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
            "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01", "ff" + validParent.substr(2),
            "01" + validParent.substr(2) + "x" };
        for (std::size_t index = 0; index < validParent.size(); ++index) {
            for (const char letter : { 'G', 'A', ' ', '\0', '_' }) {
                std::string changed = validParent;
                changed[index] = letter;
                malformed.push_back(changed);
            }
        }
        for (const std::string& text : malformed)
            EXPECT_FALSE(parseTraceparent(text)) << text;
        EXPECT_TRUE(parseTraceparent("cc" + validParent.substr(2) + "-future")) << "a later version must be read";
        EXPECT_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-02")->sampled);
    }

    Span makeSpan(const std::string& trace, int start)
    {
        Span span;
        span.traceId = TraceId(trace);
        span.name = "span" + std::to_string(start);
        span.start = Instant(Duration(start));
        return span;
    }

    // Guards against a ring that grows without bound, forgets the newest spans or mixes traces.
    RC_GTEST_PROP(SpanRing, KeepsTheLatestSpans, (const std::vector<bool>& traces))
    {
        constexpr std::size_t capacity = 7;
        SpanRing ring(capacity);
        std::vector<Span> all;
        for (const bool first : traces) {
            all.push_back(makeSpan(first ? "a" : "b", static_cast<int>(all.size())));
            ring.add(all.back());
        }
        const std::size_t kept = std::min(all.size(), capacity);
        RC_ASSERT(ring.size() == kept);
        RC_ASSERT(ring.replaced() == all.size() - kept);
        for (const std::string trace : { "a", "b" }) {
            std::vector<Span> expected;
            std::copy_if(all.end() - static_cast<std::ptrdiff_t>(kept), all.end(), std::back_inserter(expected),
                [&trace](const Span& span) { return span.traceId.value() == trace; });
            RC_ASSERT(ring.find(TraceId(trace)) == expected);
        }
    }

    // Guards against attribute bytes of callers that make the JSON of a trace unreadable.
    TEST(SpanRing, RendersInvalidTextAsValidJson)
    {
        SpanRing ring(2);
        Span span = makeSpan("a", 5);
        span.duration = std::chrono::milliseconds(2);
        span.attributes = { { "path", std::string("/\xff\"\n") }, { "status", std::int64_t { 200 } }, { "ok", true } };
        ring.add(span);
        const auto json = nlohmann::json::parse(ring.toJson(TraceId("a")));
        EXPECT_EQ(json["spans"][0]["attributes"]["status"], 200);
        EXPECT_EQ(json["spans"][0]["durationMicros"], 2000);
        EXPECT_TRUE(nlohmann::json::parse(ring.toJson(TraceId("none")))["spans"].empty());
    }

    // Guards against counts that hide a slow tail, for smooth and two-peaked latencies, few or many values: each bucket
    // must hold exactly the values up to its bound.
    TEST(Histogram, CountsTheValuesUpToEachBound)
    {
        const std::vector<std::function<double(RandomSource&)>> shapes {
            [](RandomSource& random) { return random.exponential(20.0); },
            [](RandomSource& random) { return random.uniform(); },
            [](RandomSource& random) { return std::exp(3.0 * random.uniform() + random.exponential(0.5)); },
            [](RandomSource& random) { return random.uniform() < 0.9 ? random.uniform() : 100.0 + random.uniform(); },
            [](RandomSource& random) { return Histogram::bounds[random.below(Histogram::bounds.size())]; },
        };
        for (const std::size_t count : { std::size_t { 40 }, std::size_t { 1000 }, std::size_t { 100000 } }) {
            for (const auto& shape : shapes) {
                RandomSource random(11);
                Histogram histogram;
                std::vector<double> values;
                for (std::size_t index = 0; index < count; ++index) {
                    values.push_back(shape(random));
                    histogram.record(values.back());
                }
                for (std::size_t bucket = 0; bucket < Histogram::bounds.size(); ++bucket) {
                    const auto expected = std::count_if(values.begin(), values.end(),
                        [bucket](double value) { return value <= Histogram::bounds[bucket]; });
                    EXPECT_EQ(histogram.countUpTo(bucket), static_cast<std::uint64_t>(expected));
                }
                EXPECT_EQ(histogram.maximum(), *std::max_element(values.begin(), values.end()));
                EXPECT_EQ(histogram.count(), count);
            }
        }
    }

    // Guards against a maximum that still reports a time long gone, while the counts must cover the whole life.
    TEST(Histogram, FollowsWindows)
    {
        Histogram histogram;
        EXPECT_TRUE(std::isnan(histogram.maximum()));
        histogram.record(1000);
        histogram.startWindow();
        histogram.record(1);
        EXPECT_EQ(histogram.maximum(), 1000);
        histogram.startWindow();
        EXPECT_EQ(histogram.maximum(), 1);
        EXPECT_EQ(histogram.sum(), 1001);
        EXPECT_EQ(histogram.count(), 2u);
        histogram.startWindow();
        EXPECT_TRUE(std::isnan(histogram.maximum()));
    }

    // Guards against output that a Prometheus server refuses: unescaped labels, split families, missing headers.
    TEST(Metrics, RendersPrometheusText)
    {
        Metrics metrics;
        metrics.counter("requests_total", "Requests.", { { "route", "a\"b\\c\nd" }, { "class", "x" } }).add(3);
        metrics.counter("requests_total", "Requests.", { { "class", "w" }, { "route", "r" } }).add();
        metrics.gauge("open", "Open\nrequests.").set(2.5);
        Histogram& latency = metrics.histogram("latency_seconds", "Latency.", { { "route", "r" } });
        latency.record(0.25);
        latency.record(2);
        latency.record(70);
        EXPECT_EQ(metrics.renderPrometheus(),
            "# HELP latency_seconds Latency.\n"
            "# TYPE latency_seconds histogram\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.005\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.01\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.025\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.05\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.1\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.2\"} 0\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.3\"} 1\n"
            "latency_seconds_bucket{route=\"r\",le=\"0.6\"} 1\n"
            "latency_seconds_bucket{route=\"r\",le=\"1\"} 1\n"
            "latency_seconds_bucket{route=\"r\",le=\"1.5\"} 1\n"
            "latency_seconds_bucket{route=\"r\",le=\"3\"} 2\n"
            "latency_seconds_bucket{route=\"r\",le=\"15\"} 2\n"
            "latency_seconds_bucket{route=\"r\",le=\"60\"} 2\n"
            "latency_seconds_bucket{route=\"r\",le=\"+Inf\"} 3\n"
            "latency_seconds_sum{route=\"r\"} 72.25\n"
            "latency_seconds_count{route=\"r\"} 3\n"
            "# HELP latency_seconds_max Latency. (maximum)\n"
            "# TYPE latency_seconds_max gauge\n"
            "latency_seconds_max{route=\"r\"} 70\n"
            "# HELP open Open\\nrequests.\n"
            "# TYPE open gauge\n"
            "open 2.5\n"
            "# HELP requests_total Requests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{class=\"w\",route=\"r\"} 1\n"
            "requests_total{class=\"x\",route=\"a\\\"b\\\\c\\nd\"} 3\n");
    }

    // Guards against a name that is used for two kinds, and against names that break the text format.
    TEST(MetricsDeathTest, AssertsNamesAndKinds)
    {
        Metrics metrics;
        metrics.counter("a", "A.");
        EXPECT_DEATH(metrics.gauge("a", "A."), "keep its kind");
        EXPECT_DEATH(metrics.counter("a b", "A."), "invalid metric name");
        EXPECT_DEATH(metrics.counter("c", "A.", { { "quantile", "1" } }), "invalid metric name");
        EXPECT_DEATH(metrics.counter("c", "A.", { { "le", "1" } }), "invalid metric name");
    }

} // namespace
} // namespace teaselshore
