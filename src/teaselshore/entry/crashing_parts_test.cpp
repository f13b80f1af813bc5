#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "crashing_upstreams.hpp"

namespace teaselshore {
namespace {

    using namespace std::chrono_literals;

    /// Once all nodes know of the fifth crash under one part, requests with it may be sent at most allowedLateSends
    /// times. From soundTime after that crash on, other requests are served like before.
    constexpr std::size_t knownCrashes = 5;
    constexpr std::size_t allowedLateSends = 3;
    constexpr Duration soundTime = 6s;

    using Parts = std::vector<std::uint64_t>;

    /// Callers whose prompts share parts, some of which crash the upstreams. All requests differ in their last part and
    /// their body.
    class PromptTraffic {
    public:
        PromptTraffic(std::size_t nodes, int upstreamCount, Parts deadlyParts)
            : fleet(nodes)
            , upstreams(fleet, upstreamCount)
            , deadlyParts(std::move(deadlyParts))
        {
            this->upstreams.crashDelay = 100ms;
            this->upstreams.runTime = 300ms;
            this->upstreams.isDeadly = [this](const std::string& body) { return this->holdsDeadlyPart(body); };
            this->upstreams.advance(12s);
        }

        /// @brief Sends requests to random nodes for the given time: each kind of prompt at its rate per second.
        struct Kind {
            Parts sharedParts;
            double perSecond = 0;
        };
        void run(Duration time, const std::vector<Kind>& kinds)
        {
            std::vector<double> due(kinds.size(), 0);
            const Instant end = this->fleet.now + time;
            while (this->fleet.now < end) {
                for (std::size_t index = 0; index < kinds.size(); ++index) {
                    for (due[index] += kinds[index].perSecond / 10; due[index] >= 1; --due[index])
                        this->send(kinds[index].sharedParts);
                }
                this->upstreams.advance(100ms);
            }
            this->upstreams.advance(1s);
        }

        void send(const Parts& sharedParts)
        {
            CallerRequest request;
            request.method = "POST";
            request.path = "/status/x";
            request.key = "key-n";
            const std::uint64_t number = ++this->lastNumber;
            std::string body = std::to_string(number) + ":,";
            for (const std::uint64_t part : sharedParts) {
                request.parts.push_back({ part, 100 });
                body += std::to_string(part) + ",";
            }
            request.body = body;
            request.parts.push_back({ firstOwnPart + number, 100 });
            const bool isSound = !this->holdsDeadlyPart(body);
            const std::string host = hostName(this->fleet.random.below(this->fleet.nodes.size()));
            const RequestId id = this->fleet.send(host, std::move(request));
            if (isSound)
                this->sound.emplace_back(this->fleet.now, id);
        }

        /// @brief Returns the fraction of the other requests that were served after the deadly parts were known.
        double soundFraction() const
        {
            const std::vector<Instant>& crashes = this->upstreams.crashes;
            if (crashes.empty())
                return 0;
            return this->servedFraction(crashes[std::min(crashes.size(), knownCrashes) - 1] + soundTime);
        }

        /// @brief Returns the fraction of the requests without a deadly part that were served, of those sent since
        /// then.
        double servedFraction(Instant from) const
        {
            int asked = 0;
            int served = 0;
            for (const auto& [at, id] : this->sound) {
                if (at < from)
                    continue;
                ++asked;
                const auto response = this->fleet.responses.find(id);
                served += response != this->fleet.responses.end() && response->second.status == 200 ? 1 : 0;
            }
            return asked == 0 ? 0 : static_cast<double>(served) / asked;
        }

        EntryFleet fleet;
        CrashingUpstreams upstreams;

    private:
        static constexpr std::uint64_t firstOwnPart = 1'000'000;

        bool holdsDeadlyPart(const std::string& body) const
        {
            return std::any_of(this->deadlyParts.begin(), this->deadlyParts.end(), [&body](std::uint64_t part) {
                return body.find("," + std::to_string(part) + ",") != std::string::npos;
            });
        }

        Parts deadlyParts;
        std::uint64_t lastNumber = 0;
        std::vector<std::pair<Instant, RequestId>> sound;
    };

    constexpr std::uint64_t system = 1;
    constexpr std::uint64_t document = 2;
    constexpr std::uint64_t tools = 3;
    constexpr std::uint64_t deadly = 66;
    constexpr std::uint64_t alsoDeadly = 77;

    struct Size {
        std::size_t nodes;
        int upstreams;
        /// Factor of the rates.
        double load;
    };
    const std::vector<Size> sizes { { 9, 12, 1 }, { 75, 40, 5 } };

    std::vector<PromptTraffic::Kind> scaled(std::vector<PromptTraffic::Kind> kinds, double load)
    {
        for (PromptTraffic::Kind& kind : kinds)
            kind.perSecond *= load;
        return kinds;
    }

    void expectOnlyDeadlyRequestsSuffer(const PromptTraffic& traffic, const std::string& label)
    {
        EXPECT_LE(traffic.upstreams.lateSends(knownCrashes), allowedLateSends) << label;
        EXPECT_GE(traffic.soundFraction(), 0.95) << label;
    }

    // Guards against requests that crash one upstream after the other because they share a prompt part but differ in
    // body, path and caller, and against refusing requests that share only their other parts.
    TEST(CrashingParts, RequestsWithADeadlyPartAreRefusedAndOthersServed)
    {
        for (const Size& size : sizes) {
            PromptTraffic traffic(size.nodes, size.upstreams, { deadly });
            traffic.run(14s,
                scaled({ { { system, deadly }, 1.5 }, { { system, document }, 10 }, { { system }, 10 },
                           { { tools, document }, 5 } },
                    size.load));
            expectOnlyDeadlyRequestsSuffer(traffic, std::to_string(size.nodes));
        }
    }

    // Guards against taking a part for the cause that was only present: one that always comes with the deadly part in
    // the requests that crash, and is rare in others.
    TEST(CrashingParts, RarePartBesideTheDeadlyOneIsServed)
    {
        for (const Size& size : sizes) {
            PromptTraffic traffic(size.nodes, size.upstreams, { deadly });
            traffic.run(16s,
                scaled({ { { system, document, deadly, tools }, 1.5 }, { { system }, 10 }, { { document }, 0.5 },
                           { { tools }, 0.5 } },
                    size.load));
            expectOnlyDeadlyRequestsSuffer(traffic, std::to_string(size.nodes));
        }
    }

    // Guards against clearing the deadly part as the first one of the prompt, which requests usually share.
    TEST(CrashingParts, FirstPartMayBeTheDeadlyOne)
    {
        for (const Size& size : sizes) {
            PromptTraffic traffic(size.nodes, size.upstreams, { deadly });
            traffic.run(14s,
                scaled({ { { deadly, document }, 1.5 }, { { system, document }, 10 }, { { system }, 10 } }, size.load));
            expectOnlyDeadlyRequestsSuffer(traffic, std::to_string(size.nodes));
        }
    }

    // Guards against finding only one of two deadly parts.
    TEST(CrashingParts, TwoDeadlyPartsAreBothFound)
    {
        PromptTraffic traffic(9, 16, { deadly, alsoDeadly });
        traffic.run(20s,
            { { { system, deadly }, 1 }, { { system, alsoDeadly }, 1 }, { { system, document }, 15 },
                { { system }, 10 } });
        EXPECT_LE(traffic.upstreams.crashes.size(), 2 * (knownCrashes + allowedLateSends));
        EXPECT_GE(traffic.soundFraction(), 0.95);
    }

    // Load pattern: upstreams with many concurrent requests, of which one is deadly and the others are bystanders.
    // Guards against refusing the bystanders' parts and against a search that they mislead.
    TEST(CrashingParts, BystandersOfBusyUpstreamsAreServed)
    {
        PromptTraffic traffic(9, 12, { deadly });
        traffic.upstreams.runTime = 1s;
        std::vector<PromptTraffic::Kind> kinds { { { system, deadly }, 1.5 } };
        for (std::uint64_t part = 100; part < 140; ++part)
            kinds.push_back({ { system, part }, 0.5 });
        traffic.run(16s, kinds);
        expectOnlyDeadlyRequestsSuffer(traffic, "busy");
    }

    // Guards against forgetting the part when nodes restart, all at once included, and against new nodes that do not
    // learn of it.
    TEST(CrashingParts, RestartedAndNewNodesKnowTheDeadlyPart)
    {
        PromptTraffic traffic(9, 12, { deadly });
        const std::vector<PromptTraffic::Kind> kinds { { { system, deadly }, 1.5 }, { { system, document }, 15 } };
        traffic.run(8s, kinds);
        for (std::size_t host = 0; host < 10; ++host)
            traffic.fleet.add(hostName(host));
        traffic.upstreams.list();
        traffic.upstreams.advance(1s);
        traffic.run(10s, kinds);
        expectOnlyDeadlyRequestsSuffer(traffic, "restart");
    }

    // Load pattern: a zone of upstreams is lost three times while all requests share a part. Guards against taking the
    // shared part for the cause.
    TEST(CrashingParts, ZoneLossesMakeNoPartSuspect)
    {
        PromptTraffic traffic(9, 12, {});
        const std::vector<PromptTraffic::Kind> kinds { { { system, document }, 20 } };
        for (int round = 0; round < 3; ++round) {
            traffic.run(2s, kinds);
            traffic.upstreams.loseZone(AvailabilityZone("zone-a"));
            traffic.upstreams.advance(3s);
        }
        const Instant start = traffic.fleet.now;
        traffic.run(3s, kinds);
        EXPECT_GE(traffic.servedFraction(start), 0.95);
    }

} // namespace
} // namespace teaselshore
