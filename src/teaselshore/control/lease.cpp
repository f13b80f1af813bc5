#include "teaselshore/control/lease.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "teaselshore/base/assert.hpp"
#include "teaselshore/base/json_text.hpp"
#include "teaselshore/journal/owner_placement.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    /// Bits of a token below the era of the platform; enough for the revisions of 87 years at 400 writes a second.
    constexpr int epochBits = 40;

    /// Returns the least token of an era.
    std::uint64_t firstEpoch(std::uint64_t era) { return era << epochBits; }

    std::string leaseKey(const ServiceName& service) { return "leases/" + service.value(); }

} // namespace

std::string Lease::encode() const
{
    const Json value { { "holder", this->holder.value() }, { "epoch", this->epoch }, { "write", this->writeNumber },
        { "lengthMs", std::chrono::duration_cast<std::chrono::milliseconds>(this->duration).count() } };
    return toJsonText(value);
}

std::optional<Lease> Lease::decode(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        return Lease { NodeId(value.at("holder").get<std::string>()), value.at("epoch").get<std::uint64_t>(),
            value.at("write").get<std::uint64_t>(),
            toStatedTime(std::chrono::milliseconds(value.at("lengthMs").get<std::int64_t>())) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

LeaseHolder::LeaseHolder(NodeId self, ServiceName service, LeaseSettings settings)
    : self(std::move(self))
    , service(std::move(service))
    , settings(settings)
{
    TEASELSHORE_ASSERT(settings.margin < settings.duration, "the lease margin must be shorter than the lease");
    this->members.insert(this->self);
}

void LeaseHolder::setMembers(std::set<NodeId> alive)
{
    this->members = std::move(alive);
    this->members.insert(this->self);
}

bool LeaseHolder::shouldHold() const
{
    if (this->stopping)
        return false;
    if (this->contending)
        return *this->contending || (this->current && this->current->holder == this->self);
    const std::vector<NodeId> nodes(this->members.begin(), this->members.end());
    return rendezvousChoice(leaseKey(this->service), nodes) == this->self;
}

bool LeaseHolder::awaits(ObjectCallId id) const { return this->pending && this->pending->id == id; }

std::optional<std::uint64_t> LeaseHolder::fencingToken(Instant now) const
{
    if (!this->validUntil || now >= *this->validUntil)
        return std::nullopt;
    return this->heldEpoch;
}

std::vector<ObjectCommand> LeaseHolder::tick(Instant now, ObjectCallIds& ids)
{
    if (this->pending && now - this->pending->sentAt < this->settings.callTimeout)
        return {};
    // The result of an abandoned call is ignored. For a write, the next read shows whether it was applied.
    if (this->pending)
        this->abandonCall();
    if (this->stateKnown && this->current && this->current->holder == this->self)
        return this->tickAsHolder(now, ids);
    // Only the preferred node reads the lease, since reads by all nodes would exceed the object API's limits.
    if (!this->shouldHold() && this->unanswered.empty())
        return {};
    if (now >= this->nextRead)
        return this->read(now, ids);
    return this->stateKnown ? this->acquireIfDue(now, ids) : std::vector<ObjectCommand>();
}

std::vector<ObjectCommand> LeaseHolder::tickAsHolder(Instant now, ObjectCallIds& ids)
{
    if (!this->shouldHold()) {
        // This node must stop acting before another one can see the lease as free.
        this->validUntil.reset();
        return this->write({ NodeId(), this->ownEpoch(), ++this->writeNumber, this->settings.duration }, now, ids);
    }
    if (now < this->nextRenewal)
        return {};
    return this->write({ this->self, this->ownEpoch(), ++this->writeNumber, this->settings.duration }, now, ids);
}

std::vector<ObjectCommand> LeaseHolder::acquireIfDue(Instant now, ObjectCallIds& ids)
{
    if (!this->shouldHold())
        return {};
    const bool held = this->current && !this->current->holder.empty();
    // The holder measures from before its last write and this node from after it saw that write, so it waits longer.
    if (held && now - this->observedAt < this->current->duration)
        return {};
    return this->write({ this->self, this->nextEpoch(), ++this->writeNumber, this->settings.duration }, now, ids);
}

std::uint64_t LeaseHolder::nextEpoch() const
{
    const std::uint64_t next = this->current ? this->current->epoch + 1 : 1;
    if (eraOf(this->version) == 0)
        return next;
    // The stored epoch may be older than the last one of this era, since a late write of an earlier era can match a
    // revision by chance. Only one write can follow a revision, so that the revision makes the token unique.
    return std::max(next, firstEpoch(eraOf(this->version)) + revisionOf(this->version));
}

std::uint64_t LeaseHolder::ownEpoch() const
{
    return isOfEra(*this->current, this->version) ? this->current->epoch : this->nextEpoch();
}

bool LeaseHolder::isOfEra(const Lease& lease, ObjectVersion version)
{
    return lease.epoch >= firstEpoch(eraOf(version));
}

std::vector<ObjectCommand> LeaseHolder::read(Instant now, ObjectCallIds& ids)
{
    this->pending = Pending { CallKind::Read, ids.next(), now, {} };
    this->nextRead = now + this->settings.readEvery;
    return { ObjectRead { this->pending->id, leaseKey(this->service) } };
}

std::vector<ObjectCommand> LeaseHolder::write(const Lease& lease, Instant now, ObjectCallIds& ids)
{
    this->pending = Pending { CallKind::Write, ids.next(), now, lease };
    if (this->version == 0)
        return { ObjectCreate { this->pending->id, leaseKey(this->service), lease.encode() } };
    return { ObjectUpdate { this->pending->id, leaseKey(this->service), lease.encode(), this->version } };
}

void LeaseHolder::abandonCall()
{
    if (this->pending->kind == CallKind::Write)
        this->unanswered.push_back(*this->pending);
    this->pending.reset();
    this->stateKnown = false;
    this->nextRead = {};
}

std::vector<ObjectCommand> LeaseHolder::onResult(const ObjectResult& result, Instant now, ObjectCallIds& ids)
{
    if (!this->awaits(result.id))
        return {};
    const Pending call = *this->pending;
    this->pending.reset();
    if (call.kind == CallKind::Read)
        return this->onRead(result, now, ids);
    return this->onWritten(call, result, now, ids);
}

std::vector<ObjectCommand> LeaseHolder::onRead(const ObjectResult& result, Instant now, ObjectCallIds& ids)
{
    if (result.outcome == ObjectOutcome::NotFound && this->version == 0) {
        this->stateKnown = true;
        return this->acquireIfDue(now, ids);
    }
    if (result.outcome == ObjectOutcome::NotFound) {
        // The lease was first written after the copy was made.
        this->version = 0;
        this->stateKnown = true;
        this->unanswered.clear();
        this->observeCopy({ NodeId(), this->current ? this->current->epoch : 0, 0, this->settings.duration }, now);
        return {};
    }
    if (result.outcome != ObjectOutcome::Ok) {
        this->nextRead = now + this->settings.readEvery;
        return {};
    }
    const std::optional<Lease> lease = Lease::decode(result.value);
    if (!lease) {
        // A value that cannot be decoded is treated as a lease of an unknown holder and replaced after the full
        // duration.
        this->observe({ NodeId("unknown"), this->current ? this->current->epoch : 0, 0, this->settings.duration },
            result.version, now);
        return {};
    }
    this->observe(*lease, result.version, now);
    if (lease->holder == this->self && isOfEra(*lease, this->version))
        this->resolveUnanswered(*lease);
    return {};
}

std::vector<ObjectCommand> LeaseHolder::onWritten(
    const Pending& call, const ObjectResult& result, Instant now, ObjectCallIds& ids)
{
    switch (result.outcome) {
    case ObjectOutcome::Ok:
        this->observe(call.written, result.version, now);
        if (call.written.holder == this->self && this->version == result.version
            && isOfEra(call.written, this->version))
            this->extendValidity(call);
        return {};
    case ObjectOutcome::Unavailable:
        // The write was not applied: the lease stays valid until it expires, and a later tick retries the write.
        this->nextRenewal = now + this->settings.renewEvery / 4;
        this->nextRead = now + this->settings.readEvery;
        return {};
    default:
        // After a conflict or a lost response the object must be read before any other decision.
        this->unanswered.push_back(call);
        this->stateKnown = false;
        return this->read(now, ids);
    }
}

void LeaseHolder::observe(const Lease& lease, ObjectVersion seen, Instant now)
{
    this->stateKnown = true;
    if (seen <= this->version)
        return;
    this->version = seen;
    // Any other unanswered write was conditional on an older version and can no longer be applied.
    std::erase_if(this->unanswered, [&](const Pending& call) { return call.written != lease; });
    if (!isOfEra(lease, seen)) {
        this->observeCopy(lease, now);
        return;
    }
    this->current = lease;
    this->observedAt = now;
    if (lease.holder != this->self)
        this->validUntil.reset();
}

void LeaseHolder::observeCopy(const Lease& copy, Instant now)
{
    const bool isValid = this->validUntil && now < *this->validUntil;
    this->current = copy;
    this->observedAt = now;
    if (isValid) {
        // Nobody else can have acquired it before this one expires.
        this->current->holder = this->self;
        this->nextRenewal = now;
        return;
    }
    // A lease that was acquired after the copy was made may still be valid.
    this->current->holder = NodeId("unknown");
    this->validUntil.reset();
}

void LeaseHolder::resolveUnanswered(const Lease& lease)
{
    // The lease is valid from when the applied write was sent. This also resolves all earlier writes.
    const auto applied = std::find_if(this->unanswered.begin(), this->unanswered.end(),
        [&](const Pending& call) { return call.written.writeNumber == lease.writeNumber; });
    if (applied != this->unanswered.end())
        this->extendValidity(Pending(*applied));
}

void LeaseHolder::extendValidity(const Pending& call)
{
    this->heldEpoch = call.written.epoch;
    this->validUntil = call.sentAt + call.written.duration - this->settings.margin;
    this->nextRenewal = call.sentAt + this->settings.renewEvery;
    std::erase_if(this->unanswered,
        [&](const Pending& earlier) { return earlier.written.writeNumber <= call.written.writeNumber; });
}

} // namespace teaselshore
