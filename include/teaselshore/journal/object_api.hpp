#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselshore {

/// @brief Matches a call to the platform's object API with its result. Unique within one process.
using ObjectCallId = std::uint64_t;

/// @brief Version of an object; grows with each write. 0 stands for an object that does not exist.
///
/// A platform that was restored from an older copy gives out revisions again. The high bits therefore hold its era,
/// which rises with each restore, so that later versions are greater across restores, too.
using ObjectVersion = std::uint64_t;

inline constexpr int eraShift = 48;

/// @brief Returns the version of a revision. Precondition: the revision has at most eraShift bits.
constexpr ObjectVersion versionInEra(std::uint64_t era, std::uint64_t revision) { return era << eraShift | revision; }
constexpr std::uint64_t eraOf(ObjectVersion version) { return version >> eraShift; }
constexpr std::uint64_t revisionOf(ObjectVersion version) { return version & ((1ULL << eraShift) - 1); }

/// @brief Creates an object if it does not exist yet.
struct ObjectCreate {
    ObjectCallId id = 0;
    std::string key;
    std::string value;

    auto operator<=>(const ObjectCreate&) const = default;
};

/// @brief Replaces an object whose current version is the expected one.
struct ObjectUpdate {
    ObjectCallId id = 0;
    std::string key;
    std::string value;
    ObjectVersion expected = 0;

    auto operator<=>(const ObjectUpdate&) const = default;
};

/// @brief Reads one object.
struct ObjectRead {
    ObjectCallId id = 0;
    std::string key;

    auto operator<=>(const ObjectRead&) const = default;
};

/// @brief Lists the keys and versions of all objects whose key starts with the prefix.
struct ObjectList {
    ObjectCallId id = 0;
    std::string prefix;

    auto operator<=>(const ObjectList&) const = default;
};

/// @brief Deletes an object; with an expected version, only while that version is the current one.
struct ObjectDelete {
    ObjectCallId id = 0;
    std::string key;
    std::optional<ObjectVersion> expected;

    auto operator<=>(const ObjectDelete&) const = default;
};

using ObjectCommand = std::variant<ObjectCreate, ObjectUpdate, ObjectRead, ObjectList, ObjectDelete>;

enum class ObjectOutcome {
    Ok,
    /// The condition of a write did not hold; version is the current version.
    Conflict,
    NotFound,
    /// The call had certainly no effect, for example because the connection was refused.
    Unavailable,
    /// The answer was lost; a write may have been applied or may still be applied later.
    Unknown,
};

/// @brief Key and version of one listed object.
struct ObjectEntry {
    std::string key;
    ObjectVersion version = 0;

    auto operator<=>(const ObjectEntry&) const = default;
};

/// @brief Answer to one object API call.
struct ObjectResult {
    ObjectCallId id = 0;
    ObjectOutcome outcome = ObjectOutcome::Unavailable;
    /// Value of the object; only for a successful read.
    std::string value;
    ObjectVersion version = 0;
    /// Only for a successful list.
    std::vector<ObjectEntry> entries;

    auto operator<=>(const ObjectResult&) const = default;
};

/// @brief Source of call ids, shared by all components of one process that make calls.
class ObjectCallIds {
public:
    explicit ObjectCallIds(ObjectCallId first = 1)
        : following(first)
    {
    }

    ObjectCallId next() { return this->following++; }

private:
    ObjectCallId following;
};

} // namespace teaselshore
