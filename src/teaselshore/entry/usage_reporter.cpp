#include "usage_reporter.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "teaselshore/base/json_text.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    /// Fraction of the time until a report is due after which it is sent without the counts of missing nodes.
    constexpr double collectFraction = 0.45;
    constexpr Duration retryDelay = std::chrono::milliseconds(400);
    /// Number of past windows that a new holder reports; earlier ones are past their due time.
    constexpr std::int64_t lookbackWindows = 3;
    /// Difference between the clocks of two hosts up to which a window that has not begun here has not been reported by
    /// the other one.
    constexpr Duration clockMargin = std::chrono::milliseconds(2500);

    std::string usageKey(std::int64_t window) { return "usage/" + std::to_string(window); }

    std::string encodeCounts(const WorkspaceCounts& counts)
    {
        Json value = Json::object();
        for (const auto& [workspace, count] : counts)
            value[workspace.value()] = count;
        return toJsonText(Json { { "counts", std::move(value) } });
    }

    std::optional<WorkspaceCounts> decodeCounts(const std::string& text)
    {
        const Json value = Json::parse(text, nullptr, false);
        if (!value.is_object() || !value.contains("counts"))
            return std::nullopt;
        try {
            WorkspaceCounts counts;
            for (const auto& [workspace, count] : value.at("counts").items())
                counts[WorkspaceName(workspace)] = count.get<std::uint64_t>();
            return counts;
        } catch (const Json::exception&) {
            return std::nullopt;
        }
    }

} // namespace

UsageReporter::UsageReporter(EntryState& state, ObjectCallIds& ids)
    : state(state)
    , ids(ids)
    , horizon(state, ids)
{
}

void UsageReporter::onPlatformRestored(Instant now)
{
    this->eraKnownSince = now;
    this->horizon.reset();
    // A create that awaits its answer may take effect in the new era, with counts for a window whose earlier counts are
    // lost. It must not be sent without the new horizon.
    for (auto& [number, window] : this->windows) {
        if (window.phase == Phase::Storing || window.phase == Phase::Reading)
            window.phase = Phase::Collecting;
    }
    this->objectCalls.clear();
}

void UsageReporter::onAcquired(Instant now)
{
    this->heldSince = now;
    std::erase_if(this->windows, [](const auto& entry) { return entry.second.phase != Phase::Done; });
    this->objectCalls.clear();
    this->cloudCalls.clear();
    this->horizon.reset();
}

std::int64_t UsageReporter::ownHorizon(Duration clockOffset) const
{
    // Nobody else has reported since this node acquired the lease, and what is lost was stored before the present era.
    const Instant since = std::min(*this->heldSince, this->eraKnownSince.value_or(*this->heldSince));
    std::int64_t first = this->state.usage.windowAt(since.time_since_epoch() + clockOffset + clockMargin);
    if (this->lastClosed)
        first = std::max(first, *this->lastClosed + 1);
    for (const auto& [number, window] : this->windows) {
        const bool mayBeReported
            = window.phase == Phase::Stored || window.phase == Phase::Sending || window.phase == Phase::Done;
        if (mayBeReported)
            first = std::max(first, number + 1);
    }
    return first;
}

void UsageReporter::onTick(const LiveReports& reports, std::optional<FencedHolder> holder, Instant now)
{
    const std::optional<Duration> wallClock = this->state.wallClockTime(now);
    if (!holder || !wallClock) {
        this->heldSince.reset();
        return;
    }
    const std::int64_t current = this->state.usage.windowAt(*wallClock);
    if (!this->heldSince)
        this->onAcquired(now);
    this->horizon.onTick(this->ownHorizon(*wallClock - now.time_since_epoch()),
        this->state.usage.windowAt(*wallClock + clockMargin) + 1, now);
    const std::int64_t first
        = std::max(this->lastClosed.value_or(current - lookbackWindows - 1) + 1, current - lookbackWindows);
    for (std::int64_t number = first; number < current; ++number)
        this->windows.try_emplace(number);
    for (auto& [number, window] : this->windows) {
        if (now >= window.nextAttempt)
            this->advance(number, window, reports, *holder, *wallClock);
    }
    while (!this->windows.empty()
        && (this->windows.begin()->second.phase == Phase::Done
            || this->windows.begin()->first < current - lookbackWindows)) {
        this->lastClosed = this->windows.begin()->first;
        this->windows.erase(this->windows.begin());
    }
}

void UsageReporter::advance(
    std::int64_t number, Window& window, const LiveReports& reports, const FencedHolder& holder, Duration wallClock)
{
    switch (window.phase) {
    case Phase::Collecting: {
        if (!this->horizon.firstWindow())
            return;
        if (number < *this->horizon.firstWindow()) {
            this->close(number, window);
            return;
        }
        const Duration sinceEnd = wallClock - (number + 1) * this->state.settings.host.usageWindow;
        const bool isOverdue = toSeconds(sinceEnd) > collectFraction * toSeconds(this->state.settings.host.usageDue);
        if (!this->isComplete(number, reports) && !isOverdue)
            return;
        window.counts = this->sum(number, reports);
        this->store(number, window);
        return;
    }
    case Phase::Stored:
        this->send(number, window, holder);
        return;
    case Phase::Storing:
    case Phase::Reading:
    case Phase::Sending:
    case Phase::Done:
        return;
    }
}

bool UsageReporter::isComplete(std::int64_t number, const LiveReports& reports) const
{
    return std::all_of(
        reports.begin(), reports.end(), [number](const NodeReport& report) { return report.completeWindow >= number; });
}

WorkspaceCounts UsageReporter::sum(std::int64_t number, const LiveReports& reports) const
{
    WorkspaceCounts counts;
    // Workspaces without requests are reported as well.
    if (this->state.table) {
        for (const EntryWorkspace& workspace : this->state.table->configuration().workspaces)
            counts[workspace.name] = 0;
    }
    for (const NodeReport& report : reports) {
        const auto found = report.usage.find(number);
        if (found == report.usage.end())
            continue;
        for (const auto& [workspace, count] : found->second)
            counts[workspace] += count;
    }
    return counts;
}

void UsageReporter::store(std::int64_t number, Window& window)
{
    window.phase = Phase::Storing;
    const ObjectCallId id = this->ids.next();
    this->objectCalls.emplace(id, number);
    this->state.commands.emplace_back(
        CallObjectApi { ObjectCreate { id, usageKey(number), encodeCounts(window.counts) } });
}

void UsageReporter::read(std::int64_t number, Window& window)
{
    window.phase = Phase::Reading;
    const ObjectCallId id = this->ids.next();
    this->objectCalls.emplace(id, number);
    this->state.commands.emplace_back(CallObjectApi { ObjectRead { id, usageKey(number) } });
}

void UsageReporter::onObjectResult(const ObjectResult& result, Instant now)
{
    if (this->horizon.awaits(result.id)) {
        this->horizon.onObjectResult(result, now);
        return;
    }
    const auto call = this->objectCalls.extract(result.id);
    const auto found = this->windows.find(call.mapped());
    if (found == this->windows.end())
        return;
    Window& window = found->second;
    if (window.phase == Phase::Storing) {
        if (result.outcome == ObjectOutcome::Ok) {
            this->onStored("counts of a window stored", found->first, window, result.version);
        } else if (result.outcome == ObjectOutcome::Unavailable) {
            window.phase = Phase::Collecting;
            window.nextAttempt = now + retryDelay;
        } else {
            // Stored by an earlier holder, or by a previous attempt of this call whose answer was lost.
            this->read(found->first, window);
        }
        return;
    }
    const std::optional<WorkspaceCounts> stored
        = result.outcome == ObjectOutcome::Ok ? decodeCounts(result.value) : std::nullopt;
    if (stored) {
        window.counts = *stored;
        this->onStored("stored counts of a window read", found->first, window, result.version);
        return;
    }
    window.phase = Phase::Collecting;
    window.nextAttempt = now + retryDelay;
}

void UsageReporter::onStored(const char* message, std::int64_t number, Window& window, ObjectVersion version)
{
    window.phase = Phase::Stored;
    this->state.log(
        LogLevel::Info, message, { { "window", std::to_string(number) }, { "era", std::to_string(eraOf(version)) } });
}

void UsageReporter::close(std::int64_t number, Window& window)
{
    window.phase = Phase::Done;
    ++this->state.statistics.unreportedWindows;
    this->state.log(LogLevel::Warning,
        "usage of a window not reported: it may have been before the platform was restored",
        { { "window", std::to_string(number) } });
}

void UsageReporter::send(std::int64_t number, Window& window, const FencedHolder& holder)
{
    window.phase = Phase::Sending;
    const std::uint64_t call = this->ids.next();
    this->cloudCalls.emplace(call, number);
    this->state.log(LogLevel::Info, "usage of a window reported",
        { { "window", std::to_string(number) }, { "fencingToken", std::to_string(holder.fencingToken) },
            { "counts", encodeCounts(window.counts) } });
    this->state.commands.emplace_back(SendUsage { call, { holder, number, window.counts } });
}

bool UsageReporter::onCloudResult(const CloudCallEnded& result, Instant now)
{
    const auto call = this->cloudCalls.extract(result.call);
    const auto found = this->windows.find(call.mapped());
    if (found == this->windows.end())
        return true;
    Window& window = found->second;
    if (result.outcome == ObjectOutcome::Ok) {
        window.phase = Phase::Done;
        return true;
    }
    // The retry is idempotent: it sends the same stored counts.
    window.phase = Phase::Stored;
    window.nextAttempt = now + retryDelay;
    return result.outcome != ObjectOutcome::Conflict;
}

} // namespace teaselshore
