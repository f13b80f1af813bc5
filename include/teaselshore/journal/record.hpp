#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/journal/slot_map.hpp"

namespace teaselshore {

/// @brief Idempotency key within its workspace.
struct KeyId {
    WorkspaceName workspace;
    IdempotencyKey key;

    auto operator<=>(const KeyId&) const = default;
};

using JournalHeaders = std::vector<std::pair<std::string, std::string>>;

/// @brief Request that is journalled before it runs. Its id carries the slot of its key.
struct JournalRequest {
    RequestId id;
    KeyId key;
    ServiceName service;
    RouteName route;
    std::string method;
    std::string path;
    JournalHeaders headers;
    std::string body;
    /// True if running it twice has the effect of running it once.
    bool idempotent = false;
    /// True if the caller gets 202 and reads the answer later by request id.
    bool respondAsync = false;
    std::string traceparent;

    auto operator<=>(const JournalRequest&) const = default;
};

/// @brief Complete response of an upstream.
struct StoredAnswer {
    int status = 200;
    JournalHeaders headers;
    std::string body;
    /// False if the body was too large for the journal; the first caller got it, later ones cannot.
    bool bodyStored = true;

    auto operator<=>(const StoredAnswer&) const = default;
};

/// @brief The request may be run by this owner or a later one.
struct Accepted {
    JournalRequest request;

    auto operator<=>(const Accepted&) const = default;
};

/// @brief The request may have reached the upstream; no later owner may run it.
///
/// Stands for itself: a checkpoint may have replaced the batch with the Accepted record before it.
struct Dispatching {
    RequestId request;
    KeyId key;
    ServiceName service;
    UpstreamId upstream;
    std::uint32_t attempt = 1;

    auto operator<=>(const Dispatching&) const = default;
};

/// @brief The request ran and this is its answer.
struct Finished {
    RequestId request;
    KeyId key;
    StoredAnswer answer;
    bool respondAsync = false;

    auto operator<=>(const Finished&) const = default;
};

/// @brief The request was never sent, or was refused by an upstream that guarantees that it did not start.
///
/// An Accepted record after it, in the same group, makes the request run again.
struct NotRun {
    RequestId request;
    KeyId key;

    auto operator<=>(const NotRun&) const = default;
};

/// @brief The request was dispatched and its outcome could not be established.
struct OutcomeUnknown {
    RequestId request;
    KeyId key;
    ServiceName service;
    UpstreamId upstream;
    std::uint32_t attempt = 1;

    auto operator<=>(const OutcomeUnknown&) const = default;
};

/// @brief The journal's instance takes these slots with these epochs. Earlier records about them are void.
struct SlotsTaken {
    std::vector<std::pair<Slot, std::uint64_t>> epochs;

    auto operator<=>(const SlotsTaken&) const = default;
};

/// @brief All open and retained keys are repeated in the batches from this number on; earlier batches are void.
///
/// A create that was delayed in the network can bring back a batch that was deleted, so its absence is not enough.
struct CheckpointComplete {
    std::uint64_t from = 0;

    auto operator<=>(const CheckpointComplete&) const = default;
};

using JournalRecord
    = std::variant<Accepted, Dispatching, Finished, NotRun, OutcomeUnknown, SlotsTaken, CheckpointComplete>;

/// @brief Records that must become durable together.
using RecordGroup = std::vector<JournalRecord>;

/// @brief Encodes one group as CBOR.
std::string encodeGroup(const RecordGroup& group);

/// @brief Decodes encodeGroup()'s bytes; nothing if they are malformed.
std::optional<RecordGroup> decodeGroup(std::string_view bytes);

/// @brief Largest encoded size of one batch, in bytes: the object API's limit of 1 MB.
constexpr std::size_t batchLimit = 1'000'000;

/// @brief Bytes of a batch that are not groups: writer, number and framing.
constexpr std::size_t batchOverhead = 1'000;

/// @brief One object of a journal.
struct Batch {
    /// Identifies the writer, to recognise a batch whose answer was lost.
    std::string writer;
    std::uint64_t number = 0;
    /// True for the last batch of a journal: no instance may append after it.
    bool seal = false;
    /// Groups as encoded by encodeGroup().
    std::vector<std::string> groups;

    auto operator<=>(const Batch&) const = default;
};

/// @brief Encodes a batch as CBOR. Precondition: the result fits into batchLimit.
std::string encodeBatch(const Batch& batch);

/// @brief Decodes encodeBatch()'s bytes; nothing if they are malformed.
std::optional<Batch> decodeBatch(std::string_view bytes);

/// @brief Returns "journal/<instance>/", the prefix of all batches of a journal.
std::string journalPrefix(const OwnerInstance& instance);

/// @brief Returns the object key of a batch. The number has a fixed width, so keys sort by number.
std::string batchKey(const OwnerInstance& instance, std::uint64_t number);

/// @brief Returns the number in an object key of batchKey(); nothing for other keys.
std::optional<std::uint64_t> batchNumber(const OwnerInstance& instance, std::string_view key);

} // namespace teaselshore
