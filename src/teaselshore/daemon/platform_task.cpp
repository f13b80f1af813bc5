#include "teaselshore/daemon/platform_task.hpp"

#include <thread>
#include <type_traits>
#include <utility>

#include <fmt/format.h>

#include "object_outcome.hpp"
#include "teaselshore/base/log.hpp"
#include "teaselshore/http/event_loop.hpp"
#include "teaselshore/platform/object_watcher.hpp"
#include "teaselshore/platform/platform_client.hpp"

namespace teaselshore {

namespace {

    constexpr std::string_view configurationKey = "configuration";
    /// Roles of hosts in the platform's list.
    constexpr std::string_view entryRole = "entry";
    /// Notices of hosts that stopped longer ago than this are history.
    constexpr Duration oldNotice = std::chrono::seconds(30);

    ObjectResult failedResult(ObjectCallId id, const PlatformError& error)
    {
        ObjectResult result;
        result.id = id;
        result.outcome = outcomeOf(error.kind);
        result.version = error.currentVersion.value_or(0);
        return result;
    }

    PlatformClientSettings clientSettings(const DaemonSettings& settings)
    {
        PlatformClientSettings client;
        client.authority = formatSocketAddress(settings.platform);
        // The journal keeps its own rate; the client's limit leaves room for the slot map and for leases.
        const double journalShare = settings.journal.writesPerSecond / settings.journal.maxOwners;
        client.budget.writesPerSecond = journalShare * 2 + settings.platformBudget.callsPerSecond / 4;
        client.budget.writeBurst = settings.platformBudget.burst;
        client.budget.readsPerSecond = settings.platformBudget.callsPerSecond;
        client.budget.readBurst = settings.platformBudget.burst;
        return client;
    }

} // namespace

struct PlatformTask::Impl {
    Impl(const DaemonSettings& settings, std::function<void(NodeEvent)> emit)
        : loop(EventLoop::create())
        , client(PlatformClient::create(*loop, clientSettings(settings)))
        , emit(std::move(emit))
    {
    }

    void execute(const ObjectCreate& command);
    void execute(const ObjectUpdate& command);
    void execute(const ObjectRead& command);
    void execute(const ObjectList& command);
    void execute(const ObjectDelete& command);
    void onVersion(ObjectCallId id, const PlatformResult<std::uint64_t>& result);
    void watch(bool enabled);
    void onHosts(const std::vector<CloudHost>& hosts);
    void onNotices(const std::vector<CloudNotice>& notices);

    std::unique_ptr<EventLoop> loop;
    std::unique_ptr<PlatformClient> client;
    std::unique_ptr<ObjectWatcher> watcher;
    std::function<void(NodeEvent)> emit;
    std::uint64_t lastNotice = 0;
    std::thread thread;
};

std::unique_ptr<PlatformTask> PlatformTask::start(const DaemonSettings& settings, std::function<void(NodeEvent)> emit)
{
    auto impl = std::make_unique<Impl>(settings, std::move(emit));
    impl->thread = std::thread([state = impl.get()] { state->loop->run(); });
    return std::unique_ptr<PlatformTask>(new PlatformTask(std::move(impl)));
}

PlatformTask::PlatformTask(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PlatformTask::~PlatformTask() { this->stop(); }

void PlatformTask::stop()
{
    if (!this->impl->thread.joinable())
        return;
    this->impl->loop->stop();
    this->impl->thread.join();
}

void PlatformTask::call(ObjectCommand command)
{
    this->impl->loop->post([state = this->impl.get(), command = std::move(command)] {
        std::visit([state](const auto& content) { state->execute(content); }, command);
    });
}

void PlatformTask::watchConfiguration(bool enabled)
{
    this->impl->loop->post([state = this->impl.get(), enabled] { state->watch(enabled); });
}

void PlatformTask::readHostList()
{
    this->impl->loop->post([state = this->impl.get()] {
        state->client->readHosts([state](PlatformResult<std::vector<CloudHost>> result) {
            if (const auto* hosts = std::get_if<std::vector<CloudHost>>(&result))
                state->onHosts(*hosts);
        });
    });
}

void PlatformTask::readNotices()
{
    this->impl->loop->post([state = this->impl.get()] {
        state->client->readNotices(state->lastNotice, [state](PlatformResult<std::vector<CloudNotice>> result) {
            if (const auto* notices = std::get_if<std::vector<CloudNotice>>(&result))
                state->onNotices(*notices);
        });
    });
}

void PlatformTask::Impl::execute(const ObjectCreate& command)
{
    this->client->createObject(command.key, command.value,
        [this, id = command.id](const PlatformResult<std::uint64_t>& result) { this->onVersion(id, result); });
}

void PlatformTask::Impl::execute(const ObjectUpdate& command)
{
    this->client->updateObject(command.key, command.value, command.expected,
        [this, id = command.id](const PlatformResult<std::uint64_t>& result) { this->onVersion(id, result); });
}

void PlatformTask::Impl::onVersion(ObjectCallId id, const PlatformResult<std::uint64_t>& result)
{
    if (const auto* error = std::get_if<PlatformError>(&result)) {
        this->emit(failedResult(id, *error));
        return;
    }
    this->emit(ObjectResult { id, ObjectOutcome::Ok, {}, std::get<std::uint64_t>(result), {} });
}

void PlatformTask::Impl::execute(const ObjectRead& command)
{
    this->client->readObject(command.key, [this, id = command.id](PlatformResult<StoredObject> result) {
        if (const auto* error = std::get_if<PlatformError>(&result)) {
            this->emit(failedResult(id, *error));
            return;
        }
        auto& object = std::get<StoredObject>(result);
        this->emit(ObjectResult { id, ObjectOutcome::Ok, std::move(object.value), object.version, {} });
    });
}

void PlatformTask::Impl::execute(const ObjectList& command)
{
    this->client->listObjects(
        command.prefix, [this, id = command.id](PlatformResult<std::vector<ListedObject>> result) {
            if (const auto* error = std::get_if<PlatformError>(&result)) {
                this->emit(failedResult(id, *error));
                return;
            }
            ObjectResult listed { id, ObjectOutcome::Ok, {}, 0, {} };
            for (const ListedObject& object : std::get<std::vector<ListedObject>>(result))
                listed.entries.push_back({ object.key, object.version });
            this->emit(std::move(listed));
        });
}

void PlatformTask::Impl::execute(const ObjectDelete& command)
{
    this->client->deleteObject(
        command.key, command.expected, [this, id = command.id](PlatformResult<std::monostate> result) {
            if (const auto* error = std::get_if<PlatformError>(&result))
                this->emit(failedResult(id, *error));
            else
                this->emit(ObjectResult { id, ObjectOutcome::Ok, {}, 0, {} });
        });
}

void PlatformTask::Impl::watch(bool enabled)
{
    if (!enabled) {
        this->watcher.reset();
        return;
    }
    ObjectWatcherHandlers handlers;
    handlers.onChange = [this](const StoredObject& object) {
        this->emit(ConfigurationRead { object.version, object.value });
    };
    handlers.onError = [](const PlatformError& error) {
        logLine(LogLevel::Debug, "watch of the configuration failed", { { "reason", error.detail } });
    };
    const auto seed = static_cast<std::uint64_t>(this->loop->now().time_since_epoch().count());
    this->watcher = std::make_unique<ObjectWatcher>(*this->loop, *this->client, std::string(configurationKey), 0,
        ObjectWatcherSettings {}, std::move(handlers), RandomSource(seed));
}

void PlatformTask::Impl::onHosts(const std::vector<CloudHost>& hosts)
{
    HostListRead read;
    for (const CloudHost& host : hosts) {
        const bool departing = host.state == CloudHostState::Departing;
        if (host.role == entryRole)
            read.entryHosts.push_back({ host.address, departing });
        else
            read.upstreams.entries.push_back({ UpstreamId(host.id), departing });
    }
    this->emit(std::move(read));
}

void PlatformTask::Impl::onNotices(const std::vector<CloudNotice>& notices)
{
    NoticesRead read;
    for (const CloudNotice& notice : notices) {
        this->lastNotice = std::max(this->lastNotice, notice.number);
        if (notice.remaining > -oldNotice)
            read.notices.push_back({ notice.host, std::max(notice.remaining, Duration::zero()) });
    }
    if (!read.notices.empty())
        this->emit(std::move(read));
}

} // namespace teaselshore
