#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/generated_text.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

/// @brief Kinds of generated requests.
enum class RequestKind {
    /// Short streamed question.
    Question,
    /// Long summary or plan, answered asynchronously.
    Plan,
    /// Order or booking with an idempotency key.
    Order,
    /// Second copy of an order.
    Duplicate,
    /// Idempotent status lookup.
    Status,
    /// Question that crashes the engine that runs it.
    Poison,
};
constexpr std::size_t requestKinds = 6;

/// @brief Returns the kind's name in reports.
std::string_view kindName(RequestKind kind);

/// @brief Workspace and its weight in the traffic.
struct WorkspaceWeight {
    WorkspaceName name;
    double weight = 1;

    auto operator<=>(const WorkspaceWeight&) const = default;
};

/// @brief Requests per second of each kind. Orders are sent once more with the share duplicates.
struct LoadMix {
    double questions = 5;
    double plans = 0.5;
    double orders = 2;
    double statuses = 5;
    double poisons = 0;

    auto operator<=>(const LoadMix&) const = default;
};

/// @brief Properties of the traffic.
struct LoadSettings {
    LoadMix mix;
    Duration length = std::chrono::seconds(10);
    double duplicateShare = 0.1;
    Duration longestDuplicateDelay = std::chrono::milliseconds(500);
    std::size_t entries = 1;
    std::vector<WorkspaceWeight> workspaces;
    /// Part of all keys, so that runs against the same services do not share keys.
    std::string runId;
    std::string model = "assistant-7b";
    std::string orderPath = "/orders";
    std::string poisonMarker = "poison-prompt";
    /// Distinct shared prompt beginnings per workspace, and their length.
    std::size_t prefixesPerWorkspace = 4;
    std::size_t prefixBytes = 1200;
    std::uint64_t questionTokens = 40;
    std::uint64_t planTokens = 200;
    Duration questionDeadline = std::chrono::seconds(30);
    Duration planDeadline = std::chrono::seconds(300);
    Duration orderDeadline = std::chrono::seconds(60);
};

/// @brief Second copy of an order.
struct PlannedDuplicate {
    Duration delay {};
    std::size_t entry = 0;

    auto operator<=>(const PlannedDuplicate&) const = default;
};

/// @brief One request of the plan.
struct PlannedRequest {
    /// Time since the start of the run.
    Duration at {};
    std::uint64_t number = 0;
    RequestKind kind = RequestKind::Question;
    WorkspaceName workspace;
    /// Index of the entry address.
    std::size_t entry = 0;
    IdempotencyKey key;
    HttpRequest request;
    /// For generated text: what the answer must be.
    PromptKey promptKey = 0;
    std::uint64_t maxTokens = 0;
    /// Time after which the caller gives up.
    Duration deadline {};
    std::optional<PlannedDuplicate> duplicate;
};

/// @brief Returns the second copy of an order as a request of its own.
PlannedRequest duplicateOf(const PlannedRequest& order);

/// @brief Plans open-loop traffic: exponentially distributed arrivals that do not depend on answers.
///
/// The same settings and seed give the same plan. Pure: no I/O; not thread-safe.
class LoadPlanner {
public:
    LoadPlanner(LoadSettings settings, std::uint64_t seed);

    /// @brief Returns the next request in the order of time; nothing at the end of the run.
    std::optional<PlannedRequest> next();

private:
    RequestKind pickKind();
    const WorkspaceName& pickWorkspace();
    std::string prompt(const WorkspaceName& workspace, std::uint64_t number, bool isPlan);
    void fillChat(PlannedRequest& planned);
    void fillOrder(PlannedRequest& planned);
    void fillStatus(PlannedRequest& planned) const;

    LoadSettings settings;
    RandomSource random;
    std::array<double, requestKinds> rates {};
    double totalRate = 0;
    double totalWeight = 0;
    Duration time {};
    std::uint64_t count = 0;
};

} // namespace teaselshore
