#include "teaselshore/emulators/object_store.hpp"

#include <algorithm>

namespace teaselshore {

namespace {

    /// Tenth of a second: short enough that a burst does not hide a caller above its average rate.
    constexpr double burstSeconds = 0.1;

    double burstOf(double perSecond) { return std::max(1.0, perSecond * burstSeconds); }

    bool isWrite(const ObjectCall& request)
    {
        return std::holds_alternative<CreateObject>(request) || std::holds_alternative<ReplaceObject>(request)
            || std::holds_alternative<RemoveObject>(request);
    }

    /// The order of ObjectCallKind is that of the alternatives of ObjectCall.
    static_assert(std::variant_size_v<ObjectCall> == objectCallKinds);

} // namespace

ObjectStore::ObjectStore(ObjectStoreSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , writeLimit(settings.writesPerSecond, burstOf(settings.writesPerSecond))
    , readLimit(settings.readsPerSecond, burstOf(settings.readsPerSecond))
{
}

std::vector<ObjectDelivery> ObjectStore::onCall(ObjectCallId call, const ObjectCall& request, Instant now)
{
    this->endExpiredFaults(now);
    this->counters.calls.at(request.index()).count(now);
    (isWrite(request) ? this->counters.writes : this->counters.reads).count(now);

    if (this->activeFaults.down)
        return { this->deliveryWhileDown(call) };
    if (!this->admit(request, now)) {
        ++this->counters.rateLimited;
        return { { call, ObjectOutcome::Answered, this->activeFaults.latency, { ObjectStatus::RateLimited } } };
    }

    ObjectAnswer answer = std::visit([this](const auto& concrete) { return this->apply(concrete); }, request);
    if (answer.status == ObjectStatus::Conflict)
        ++this->counters.conflicts;
    const auto* watch = std::get_if<WatchObject>(&request);
    if (watch != nullptr && answer.status == ObjectStatus::NotChanged) {
        const Duration timeout = std::clamp(watch->timeout, Duration::zero(), this->settings.maxWatch);
        this->watches[call] = { watch->key, watch->after, now + timeout };
        return {};
    }

    ObjectDelivery delivery { call, ObjectOutcome::Answered, this->activeFaults.latency, std::move(answer) };
    const bool tookEffect = isWrite(request) && delivery.answer.status == ObjectStatus::Ok;
    if (tookEffect && this->random.uniform() < this->activeFaults.loseAnswers) {
        ++this->counters.answersLost;
        delivery.outcome = ObjectOutcome::ConnectionClosed;
    }
    std::vector<ObjectDelivery> deliveries { std::move(delivery) };
    if (tookEffect)
        this->completeWatches(deliveries);
    return deliveries;
}

void ObjectStore::onCallerGone(ObjectCallId call) { this->watches.erase(call); }

std::vector<ObjectDelivery> ObjectStore::onFaults(const ObjectFaults& faults, Instant now)
{
    this->activeFaults = faults;
    this->endExpiredFaults(now);
    std::vector<ObjectDelivery> deliveries;
    if (!this->activeFaults.down)
        return deliveries;
    for (const auto& [call, watch] : this->watches)
        deliveries.push_back({ call, ObjectOutcome::ConnectionClosed, Duration::zero(), {} });
    this->watches.clear();
    return deliveries;
}

std::vector<ObjectDelivery> ObjectStore::onTick(Instant now)
{
    this->endExpiredFaults(now);
    std::vector<ObjectDelivery> deliveries;
    for (auto position = this->watches.begin(); position != this->watches.end();) {
        if (position->second.deadline > now) {
            ++position;
            continue;
        }
        ObjectAnswer answer = this->current(position->second.key, ObjectStatus::NotChanged);
        answer.value.clear();
        deliveries.push_back(
            { position->first, ObjectOutcome::Answered, this->activeFaults.latency, std::move(answer) });
        position = this->watches.erase(position);
    }
    return deliveries;
}

std::optional<Instant> ObjectStore::nextTick() const
{
    std::optional<Instant> next = this->activeFaults.until;
    for (const auto& [call, watch] : this->watches)
        next = next ? std::min(*next, watch.deadline) : watch.deadline;
    return next;
}

ObjectAnswer ObjectStore::apply(const ReadObject& request) const
{
    return this->current(request.key, ObjectStatus::Ok);
}

ObjectAnswer ObjectStore::apply(const CreateObject& request)
{
    if (request.value.size() > this->settings.maxValueBytes)
        return { ObjectStatus::TooLarge };
    if (this->objects.contains(request.key))
        return this->current(request.key, ObjectStatus::Conflict);
    return this->store(request.key, request.value);
}

ObjectAnswer ObjectStore::apply(const ReplaceObject& request)
{
    if (request.value.size() > this->settings.maxValueBytes)
        return { ObjectStatus::TooLarge };
    const auto found = this->objects.find(request.key);
    const std::uint64_t version = found == this->objects.end() ? 0 : found->second.version;
    if (request.version && *request.version != version)
        return { ObjectStatus::Conflict, version };
    return this->store(request.key, request.value);
}

ObjectAnswer ObjectStore::apply(const RemoveObject& request)
{
    const auto found = this->objects.find(request.key);
    if (found == this->objects.end())
        return { ObjectStatus::NotFound };
    if (request.version && *request.version != found->second.version)
        return { ObjectStatus::Conflict, found->second.version };
    this->objects.erase(found);
    return { ObjectStatus::Ok };
}

ObjectAnswer ObjectStore::apply(const ListObjects& request) const
{
    ObjectAnswer answer;
    answer.listing.emplace();
    for (auto position = this->objects.lower_bound(request.prefix); position != this->objects.end(); ++position) {
        if (!position->first.starts_with(request.prefix))
            break;
        answer.listing->push_back({ position->first, position->second.version });
    }
    return answer;
}

ObjectAnswer ObjectStore::apply(const WatchObject& request) const
{
    const auto found = this->objects.find(request.key);
    if (found == this->objects.end() || found->second.version <= request.after)
        return { ObjectStatus::NotChanged };
    return { ObjectStatus::Ok, found->second.version, found->second.value };
}

ObjectAnswer ObjectStore::store(const std::string& key, const std::string& value)
{
    this->objects[key] = { value, ++this->lastVersion };
    return { ObjectStatus::Ok, this->lastVersion };
}

ObjectAnswer ObjectStore::current(const std::string& key, ObjectStatus status) const
{
    const auto found = this->objects.find(key);
    if (found == this->objects.end())
        return { status == ObjectStatus::Ok ? ObjectStatus::NotFound : status };
    const bool withValue = status == ObjectStatus::Ok;
    return { status, found->second.version, withValue ? found->second.value : std::string() };
}

ObjectDelivery ObjectStore::deliveryWhileDown(ObjectCallId call)
{
    ++this->counters.refusedWhileDown;
    switch (this->activeFaults.downMode) {
    case DownMode::Close:
        return { call, ObjectOutcome::ConnectionClosed };
    case DownMode::Hang:
        return { call, ObjectOutcome::Hangs };
    case DownMode::Refuse:
        break;
    }
    return { call, ObjectOutcome::Answered, this->activeFaults.latency, { ObjectStatus::Unavailable } };
}

bool ObjectStore::admit(const ObjectCall& request, Instant now)
{
    return isWrite(request) ? this->writeLimit.tryTake(now) : this->readLimit.tryTake(now);
}

void ObjectStore::endExpiredFaults(Instant now)
{
    if (this->activeFaults.until && *this->activeFaults.until <= now)
        this->activeFaults = {};
}

void ObjectStore::completeWatches(std::vector<ObjectDelivery>& deliveries)
{
    for (auto position = this->watches.begin(); position != this->watches.end();) {
        ObjectAnswer answer = this->apply(WatchObject { position->second.key, position->second.after });
        if (answer.status == ObjectStatus::NotChanged) {
            ++position;
            continue;
        }
        deliveries.push_back(
            { position->first, ObjectOutcome::Answered, this->activeFaults.latency, std::move(answer) });
        position = this->watches.erase(position);
    }
}

} // namespace teaselshore
