#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "entry_state.hpp"

namespace teaselshore {

/// @brief First window whose counts, if they were ever stored, are still stored at the platform.
///
/// A restore of the platform from an older copy loses counts that have been sent already, and a process that starts
/// later cannot tell. The horizon is therefore stored with the era for which it holds: the first holder of the lease in
/// an era writes it, and all later ones read it. Windows before it must not be reported by a node that does not know
/// itself what became of them. Not thread-safe.
class UsageHorizon {
public:
    UsageHorizon(EntryState& state, ObjectCallIds& ids);

    /// @brief Forgets the horizon; the next tick reads it again. Must be called whenever this node acquires the lease,
    /// and after a restore of the platform.
    void reset();
    /// @brief Makes due calls. own is the horizon that this node writes if none is stored for the present era, and
    /// latest the greatest one that can be true. Precondition: this node holds the lease.
    void onTick(std::int64_t own, std::int64_t latest, Instant now);
    /// @brief Returns the first window of the horizon; nothing until it has been read or written.
    std::optional<std::int64_t> firstWindow() const { return this->known; }
    bool awaits(ObjectCallId id) const { return this->call && this->call->id == id; }
    void onObjectResult(const ObjectResult& result, Instant now);

private:
    struct Stored {
        /// Era of the platform in which the horizon was determined.
        std::uint64_t era = 0;
        std::int64_t firstWindow = 0;

        auto operator<=>(const Stored&) const = default;

        std::string encode() const;
        static std::optional<Stored> decode(std::string_view text);
    };
    struct Call {
        ObjectCallId id = 0;
        /// Empty for a read.
        std::optional<Stored> written;
    };

    void read();
    void write(std::int64_t firstWindow);
    /// @brief Takes a stored horizon for known if it is of the present era.
    void accept(const Stored& stored);

    EntryState& state;
    ObjectCallIds& ids;
    std::optional<std::int64_t> known;
    /// Version of the stored object, 0 if there is none; unset until it has been read.
    std::optional<ObjectVersion> version;
    std::optional<Call> call;
    Instant nextAttempt {};
};

} // namespace teaselshore
