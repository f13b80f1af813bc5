#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/time.hpp"
#include "teaselshore/journal/journal_reader.hpp"
#include "teaselshore/journal/object_api.hpp"
#include "teaselshore/journal/slot_map.hpp"
#include "teaselshore/journal/write_pacer.hpp"

namespace teaselshore {

/// @brief Seals the journals that no slot refers to and deletes them after a retention time.
///
/// One node sweeps at a time. The retention time must exceed any pause after which a process may go on, because a
/// deleted seal no longer refuses the append of its old owner. Pure and not thread-safe.
class JournalSweeper {
public:
    using InUse = std::function<bool(const OwnerInstance&)>;

    JournalSweeper(std::string writerId, Duration interval, Duration retention);

    /// @brief Returns the calls that can start now.
    std::vector<ObjectCommand> poll(Instant now, ObjectCallIds& ids, WritePacer& pacer);

    /// @brief Returns true if poll() has work at this time.
    bool due(Instant now) const;

    bool awaits(ObjectCallId id) const;

    /// @brief Handles the result of a call. Precondition: awaits(result.id).
    ///
    /// inUse tells whether an instance owns slots or its process may still live.
    void onResult(const ObjectResult& result, const InUse& inUse, Instant now);

private:
    struct Known {
        Instant since;
        bool sealed = false;
    };

    void onList(const ObjectResult& result, const InUse& inUse, Instant now);

    std::string writer;
    Duration interval;
    Duration retention;
    Instant nextList {};
    std::optional<ObjectCallId> listCall;
    std::optional<ObjectCallId> deleteCall;
    std::map<OwnerInstance, Known> unused;
    std::unique_ptr<JournalReader> sealing;
    std::deque<ObjectEntry> deletions;
};

} // namespace teaselshore
