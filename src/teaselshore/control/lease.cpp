#include "teaselshore/control/lease.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "teaselshore/base/fingerprint.hpp"

namespace teaselshore {

namespace {

    using Json = nlohmann::json;

    /// Writes without an answer that are remembered; older ones have been overtaken by later versions.
    constexpr std::size_t maxUnanswered = 8;

    std::string leaseKey(const ServiceName& service) { return "leases/" + service.value(); }

} // namespace

std::string Lease::encode() const
{
    return Json {
        { "holder", this->holder.value() }, { "epoch", this->epoch }, { "writeNumber", this->writeNumber },
        { "lengthMicros", this->length.count() }
    }.dump();
}

std::optional<Lease> Lease::decode(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return Lease { NodeId(json.at("holder").get<std::string>()), json.at("epoch").get<std::uint64_t>(),
            json.at("writeNumber").get<std::uint64_t>(), Duration(json.at("lengthMicros").get<Duration::rep>()) };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

LeaseHolder::LeaseHolder(NodeId self, ServiceName service, LeaseSettings settings)
    : self(std::move(self))
    , service(std::move(service))
    , settings(settings)
{
}

void LeaseHolder::setMembers(std::set<NodeId> alive) { this->members = std::move(alive); }

std::vector<ObjectCommand> LeaseHolder::tick(Instant now, ObjectCallIds& ids)
{
    if (this->pending && now - this->pending->sentAt >= this->settings.callPatience) {
        if (this->pending->kind == Call::Write)
            this->unanswered.push_back(*this->pending);
        this->pending.reset();
        this->known = false;
        this->nextRead = now;
    }
    if (this->pending)
        return {};
    if (this->validUntil && now >= *this->validUntil)
        this->dropHeld();
    const bool wanted = !this->stopping && this->preferred();
    if (!this->validUntil && !wanted)
        return {};
    if (!this->known)
        return now >= this->nextRead ? this->read(now, ids) : std::vector<ObjectCommand> {};
    if (this->validUntil) {
        Lease next = *this->current;
        if (!wanted) {
            // The lease ends here before the others learn of it.
            this->dropHeld();
            next.holder = NodeId();
            return this->write(std::move(next), now, ids);
        }
        if (now < this->nextRenewal)
            return {};
        return this->write(std::move(next), now, ids);
    }
    const bool free = !this->current || this->current->holder.empty()
        || now - this->observedAt >= this->current->length + this->settings.margin;
    if (free)
        return this->write(
            Lease { this->self, this->current ? this->current->epoch + 1 : 1, 0, this->settings.length }, now, ids);
    return now >= this->nextRead ? this->read(now, ids) : std::vector<ObjectCommand> {};
}

bool LeaseHolder::awaits(ObjectCallId id) const { return this->pending && this->pending->id == id; }

std::vector<ObjectCommand> LeaseHolder::onResult(const ObjectResult& result, Instant now, ObjectCallIds& ids)
{
    if (!this->awaits(result.id))
        return {};
    const Pending call = *std::exchange(this->pending, std::nullopt);
    return call.kind == Call::Read ? this->onRead(result, now, ids) : this->onWritten(call, result, now, ids);
}

std::optional<std::uint64_t> LeaseHolder::fencingToken(Instant now) const
{
    if (!this->validUntil || now >= *this->validUntil - this->settings.margin)
        return std::nullopt;
    return this->heldEpoch;
}

bool LeaseHolder::preferred() const
{
    const auto weight = [this](const NodeId& node) { return fingerprint({ node.value(), this->service.value() }); };
    return std::all_of(this->members.begin(), this->members.end(),
        [&](const NodeId& node) { return std::pair(weight(node), node) <= std::pair(weight(this->self), this->self); });
}

std::vector<ObjectCommand> LeaseHolder::read(Instant now, ObjectCallIds& ids)
{
    this->pending = Pending { Call::Read, ids.next(), now, {} };
    this->nextRead = now + this->settings.readEvery;
    return { ObjectRead { this->pending->id, leaseKey(this->service) } };
}

std::vector<ObjectCommand> LeaseHolder::write(Lease lease, Instant now, ObjectCallIds& ids)
{
    lease.writeNumber = ++this->writeNumber;
    this->pending = Pending { Call::Write, ids.next(), now, lease };
    if (this->version == 0)
        return { ObjectCreate { this->pending->id, leaseKey(this->service), lease.encode() } };
    return { ObjectUpdate { this->pending->id, leaseKey(this->service), lease.encode(), this->version } };
}

std::vector<ObjectCommand> LeaseHolder::onRead(const ObjectResult& result, Instant now, ObjectCallIds&)
{
    if (result.outcome == ObjectOutcome::NotFound) {
        this->known = true;
        this->version = 0;
        this->current.reset();
        this->dropHeld();
        return {};
    }
    const auto lease = result.outcome == ObjectOutcome::Ok ? Lease::decode(result.value) : std::nullopt;
    if (!lease)
        return {};
    this->observe(*lease, result.version, now);
    // Only a write of this process proves that it holds the lease; the write's time decides how long.
    const auto own = std::find_if(
        this->unanswered.begin(), this->unanswered.end(), [&](const Pending& call) { return call.written == *lease; });
    if (own != this->unanswered.end())
        this->adopt(*lease, own->sentAt);
    else if (this->validUntil && lease->epoch != this->heldEpoch)
        this->dropHeld();
    return {};
}

std::vector<ObjectCommand> LeaseHolder::onWritten(
    const Pending& call, const ObjectResult& result, Instant now, ObjectCallIds& ids)
{
    if (result.outcome == ObjectOutcome::Ok) {
        this->observe(call.written, result.version, now);
        this->adopt(call.written, call.sentAt);
        return {};
    }
    if (result.outcome == ObjectOutcome::Unavailable) {
        this->known = false;
        this->nextRead = now + this->settings.readEvery;
        return {};
    }
    if (result.outcome == ObjectOutcome::Unknown)
        this->unanswered.push_back(call);
    this->known = false;
    return this->read(now, ids);
}

void LeaseHolder::observe(const Lease& lease, ObjectVersion seen, Instant now)
{
    this->known = true;
    if (this->current == lease && this->version == seen)
        return;
    this->current = lease;
    this->version = seen;
    this->observedAt = now;
}

void LeaseHolder::adopt(const Lease& lease, Instant sentAt)
{
    if (this->unanswered.size() > maxUnanswered)
        this->unanswered.erase(this->unanswered.begin());
    if (lease.holder != this->self)
        return;
    this->heldEpoch = lease.epoch;
    this->validUntil = sentAt + lease.length;
    this->nextRenewal = sentAt + this->settings.renewEvery;
}

void LeaseHolder::dropHeld() { this->validUntil.reset(); }

} // namespace teaselshore
