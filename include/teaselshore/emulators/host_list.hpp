#pragma once

#include <deque>
#include <map>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/cloud_model.hpp"

namespace teaselshore {

/// @brief Model of the platform's list of live and departing hosts, which shows each change only after a delay.
///
/// Pure: no I/O; not thread-safe.
class HostList {
public:
    explicit HostList(Duration lag)
        : lag(lag)
    {
    }

    void setLag(Duration newLag) { this->lag = newLag; }
    void onChange(HostChange change, Instant now);

    /// @brief Returns the hosts as they were lag ago, by id.
    std::vector<Host> view(Instant now);

private:
    struct Pending {
        Instant at;
        HostChange change;
    };

    Duration lag;
    std::deque<Pending> pending;
    std::map<HostId, Host> visible;
};

} // namespace teaselshore
