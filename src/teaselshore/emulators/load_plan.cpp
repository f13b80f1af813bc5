#include "teaselshore/emulators/load_plan.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

namespace {

    using nlohmann::json;

    std::size_t indexOf(RequestKind kind) { return static_cast<std::size_t>(kind); }

    HttpHeaders commonHeaders(const PlannedRequest& planned, std::string_view className)
    {
        return { { "x-workspace", planned.workspace.value() }, { "x-class", std::string(className) },
            { "x-deadline-ms", std::to_string(planned.deadline / std::chrono::milliseconds(1)) } };
    }

    /// Text that is the same for all requests with the same name.
    std::string filler(std::string_view name, std::size_t bytes)
    {
        std::string text;
        const Fingerprint key = fingerprint(name);
        for (std::uint64_t i = 0; text.size() < bytes; ++i)
            appendGeneratedToken(text, key, i);
        text.resize(bytes);
        return text;
    }

} // namespace

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Question:
        return "question";
    case RequestKind::Plan:
        return "plan";
    case RequestKind::Order:
        return "order";
    case RequestKind::Duplicate:
        return "duplicate";
    case RequestKind::Status:
        return "status";
    case RequestKind::Poison:
        break;
    }
    return "poison";
}

PlannedRequest duplicateOf(const PlannedRequest& order)
{
    TEASELSHORE_ASSERT(order.duplicate, "the order is not planned to be sent twice");
    PlannedRequest copy = order;
    copy.kind = RequestKind::Duplicate;
    copy.at = order.at + order.duplicate->delay;
    copy.entry = order.duplicate->entry;
    copy.duplicate.reset();
    return copy;
}

LoadPlanner::LoadPlanner(LoadSettings settings, std::uint64_t seed)
    : settings(std::move(settings))
    , random(seed)
{
    TEASELSHORE_ASSERT(this->settings.entries > 0, "at least one entry is needed");
    TEASELSHORE_ASSERT(!this->settings.workspaces.empty(), "at least one workspace is needed");
    const LoadMix& mix = this->settings.mix;
    this->rates[indexOf(RequestKind::Question)] = mix.questions;
    this->rates[indexOf(RequestKind::Plan)] = mix.plans;
    this->rates[indexOf(RequestKind::Order)] = mix.orders;
    this->rates[indexOf(RequestKind::Status)] = mix.statuses;
    this->rates[indexOf(RequestKind::Poison)] = mix.poisons;
    for (const double rate : this->rates)
        this->totalRate += rate;
    for (const WorkspaceWeight& workspace : this->settings.workspaces)
        this->totalWeight += workspace.weight;
}

std::optional<PlannedRequest> LoadPlanner::next()
{
    if (this->totalRate <= 0)
        return std::nullopt;
    this->time += fromSeconds(this->random.exponential(1.0 / this->totalRate));
    if (this->time >= this->settings.length)
        return std::nullopt;

    PlannedRequest planned;
    planned.at = this->time;
    planned.number = ++this->count;
    planned.kind = this->pickKind();
    planned.workspace = this->pickWorkspace();
    planned.entry = this->count % this->settings.entries;
    planned.key = IdempotencyKey(fmt::format("{}-{}", this->settings.runId, planned.number));
    switch (planned.kind) {
    case RequestKind::Question:
    case RequestKind::Plan:
    case RequestKind::Poison:
        this->fillChat(planned);
        break;
    case RequestKind::Order:
    case RequestKind::Duplicate:
        this->fillOrder(planned);
        break;
    case RequestKind::Status:
        this->fillStatus(planned);
        break;
    }
    return planned;
}

RequestKind LoadPlanner::pickKind()
{
    double value = this->random.uniform() * this->totalRate;
    RequestKind last = RequestKind::Question;
    for (std::size_t i = 0; i < requestKinds; ++i) {
        if (this->rates[i] <= 0)
            continue;
        last = static_cast<RequestKind>(i);
        if (value < this->rates[i])
            break;
        value -= this->rates[i];
    }
    return last;
}

const WorkspaceName& LoadPlanner::pickWorkspace()
{
    double value = this->random.uniform() * this->totalWeight;
    for (const WorkspaceWeight& workspace : this->settings.workspaces) {
        if (value < workspace.weight)
            return workspace.name;
        value -= workspace.weight;
    }
    return this->settings.workspaces.back().name;
}

std::string LoadPlanner::prompt(const WorkspaceName& workspace, std::uint64_t number, bool isPlan)
{
    const std::uint64_t prefix = this->random.below(std::max<std::size_t>(1, this->settings.prefixesPerWorkspace));
    const std::string shared = filler(fmt::format("{}/{}", workspace, prefix), this->settings.prefixBytes);
    // Plans carry the records that they summarise.
    const std::size_t ownBytes = isPlan ? 2000 : 80;
    return shared + filler(fmt::format("{}-{}", this->settings.runId, number), ownBytes);
}

void LoadPlanner::fillChat(PlannedRequest& planned)
{
    const bool isPlan = planned.kind == RequestKind::Plan;
    planned.deadline = isPlan ? this->settings.planDeadline : this->settings.questionDeadline;
    const std::uint64_t limit = isPlan ? this->settings.planTokens : this->settings.questionTokens;
    // Lengths vary, so that sequences leave the batch at different times.
    planned.maxTokens = std::max<std::uint64_t>(1, limit / 2 + this->random.below(limit + 1));
    std::string content = this->prompt(planned.workspace, planned.number, isPlan);
    if (planned.kind == RequestKind::Poison)
        content += " " + this->settings.poisonMarker;
    // The emulated engine joins each message to one line "role: content".
    planned.promptKey = promptKey(this->settings.model, fmt::format("user: {}\n", content));
    json body { { "model", this->settings.model }, { "max_tokens", planned.maxTokens },
        { "messages", json::array({ { { "role", "user" }, { "content", content } } }) } };
    if (!isPlan)
        body["stream"] = true;
    HttpHeaders headers = commonHeaders(planned, isPlan ? "patient" : "interactive");
    headers.add("content-type", "application/json");
    headers.add("idempotency-key", planned.key.value());
    if (isPlan)
        headers.add("prefer", "respond-async");
    planned.request = { "POST", "/v1/chat/completions", std::move(headers), body.dump() };
}

void LoadPlanner::fillOrder(PlannedRequest& planned)
{
    planned.deadline = this->settings.orderDeadline;
    const json body { { "order", planned.number }, { "item", "torch-fuel" },
        { "quantity", 1 + this->random.below(9) } };
    HttpHeaders headers = commonHeaders(planned, "interactive");
    headers.add("content-type", "application/json");
    headers.add("idempotency-key", planned.key.value());
    planned.request = { "POST", this->settings.orderPath, std::move(headers), body.dump() };
    if (this->random.uniform() >= this->settings.duplicateShare)
        return;
    const auto longest = static_cast<std::uint64_t>(this->settings.longestDuplicateDelay.count());
    const Duration delay(static_cast<Duration::rep>(this->random.below(longest + 1)));
    const std::size_t entry = this->random.below(this->settings.entries);
    planned.duplicate = PlannedDuplicate { delay, entry };
}

void LoadPlanner::fillStatus(PlannedRequest& planned) const
{
    planned.deadline = this->settings.orderDeadline;
    const std::string path = fmt::format("{}/{}", this->settings.orderPath, planned.key);
    planned.key = {};
    planned.request = { "GET", path, commonHeaders(planned, "interactive"), "" };
}

} // namespace teaselshore
