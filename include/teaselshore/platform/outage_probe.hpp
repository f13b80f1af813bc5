#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "teaselshore/base/random.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

/// @brief Calls the platform again and again during an outage, so that its return is noticed soon.
///
/// A call that was open when the platform returned may never be answered, so the next one does not wait for its end.
/// Lists a kind, which should have few objects. Belongs to the event loop's thread. Loop and client must outlive it.
class OutageProbe {
public:
    using ListHandler = std::function<void(const std::vector<KindObject>& objects)>;

    /// @brief onListed runs with the list that ended an outage. period is the time between two calls on average.
    OutageProbe(EventLoop& loop, PlatformClient& client, std::string kind, Duration period, RandomSource random,
        ListHandler onListed);
    ~OutageProbe();
    OutageProbe(const OutageProbe&) = delete;
    OutageProbe& operator=(const OutageProbe&) = delete;

private:
    void onAvailability(bool available);
    void probeAfter(Duration delay);
    void probe();
    void onResult(std::uint64_t number, const PlatformResult<KindPage>& result);
    void cancelCalls();

    EventLoop& loop;
    PlatformClient& client;
    std::string kind;
    Duration period;
    RandomSource random;
    ListHandler onListed;
    AvailabilityObserverId observer;
    /// Open calls by their number.
    std::map<std::uint64_t, PlatformCallId> calls;
    std::uint64_t lastCall = 0;
    TimerId timer = 0;
};

} // namespace teaselshore
