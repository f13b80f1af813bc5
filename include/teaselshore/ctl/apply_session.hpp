#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "teaselshore/base/time.hpp"

namespace teaselshore {

/// @brief Operator configuration as stored in the object API.
struct StoredConfiguration {
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const StoredConfiguration&) const = default;
};

/// @brief The object does not exist.
struct ObjectAbsent {
    auto operator<=>(const ObjectAbsent&) const = default;
};

/// @brief The call had no effect: it was not sent, or the object API refused it.
struct CallRefused {
    std::string detail;

    auto operator<=>(const CallRefused&) const = default;
};

using ReadResult = std::variant<StoredConfiguration, ObjectAbsent, CallRefused>;

/// @brief The write took effect and gave the object this version.
struct WriteDone {
    std::uint64_t version = 0;

    auto operator<=>(const WriteDone&) const = default;
};

/// @brief The object has another version than the condition of the write says; the write had no effect.
struct WriteConflict {
    auto operator<=>(const WriteConflict&) const = default;
};

/// @brief The write may or may not have taken effect.
struct WriteUnknown {
    std::string detail;

    auto operator<=>(const WriteUnknown&) const = default;
};

using WriteResult = std::variant<WriteDone, WriteConflict, WriteUnknown, CallRefused>;

/// @brief Reads the object after the delay; the answer goes to ApplySession::onRead().
struct ReadCurrent {
    Duration delay {};

    auto operator<=>(const ReadCurrent&) const = default;
};

/// @brief Writes the text on condition that the object has the version, or is absent if there is none; the answer goes
/// to ApplySession::onWritten().
struct WriteText {
    std::optional<std::uint64_t> expected;

    auto operator<=>(const WriteText&) const = default;
};

/// @brief The text is in force.
struct ApplyDone {
    std::uint64_t version = 0;
    /// What was in force before; nothing if this is the first revision.
    std::optional<StoredConfiguration> previous;
    /// False if the text was in force already and nothing was written.
    bool written = true;

    auto operator<=>(const ApplyDone&) const = default;
};

/// @brief Another revision is in force; this text is not.
struct ApplyLost {
    StoredConfiguration winner;
    /// True if an earlier write of this text may have been in force before the winner replaced it.
    bool mayHaveBeenInForce = false;

    auto operator<=>(const ApplyLost&) const = default;
};

/// @brief The object API gave no usable answer.
struct ApplyFailed {
    std::string detail;
    /// True if the text may be in force or still come into force.
    bool mayTakeEffect = false;

    auto operator<=>(const ApplyFailed&) const = default;
};

using ApplyStep = std::variant<ReadCurrent, WriteText, ApplyDone, ApplyLost, ApplyFailed>;

/// @brief Decides how one text is written to the object API. Pure; each method returns the next step.
///
/// A write whose answer was lost is read back before anything else is done. Repeating it is safe, because its
/// condition holds at most once.
class ApplySession {
public:
    /// @param base version that the change must be based on; nothing accepts the version found first.
    ApplySession(std::string text, std::optional<std::uint64_t> base);

    ApplyStep start() const { return ReadCurrent {}; }
    ApplyStep onRead(const ReadResult& result);
    ApplyStep onWritten(const WriteResult& result);

private:
    ApplyStep onFirstRead(const std::optional<StoredConfiguration>& current);
    ApplyStep onReadBack(const std::optional<StoredConfiguration>& current);
    ApplyStep onReadFailed(const std::string& detail);
    std::optional<std::uint64_t> expected() const;

    std::string text;
    std::optional<std::uint64_t> base;
    std::optional<StoredConfiguration> previous;
    bool firstReadDone = false;
    /// True once the answer of a write was lost.
    bool answerLost = false;
    int writes = 0;
    int failedReads = 0;
    std::string lastDetail;
};

} // namespace teaselshore
