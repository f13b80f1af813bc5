#include "wire_conversions.hpp"

namespace teaselshore {

namespace {

    wire::MemberState toWire(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return wire::MEMBER_ALIVE;
        case MemberState::Suspect:
            return wire::MEMBER_SUSPECT;
        case MemberState::Dead:
            return wire::MEMBER_DEAD;
        case MemberState::Left:
            return wire::MEMBER_LEFT;
        }
        return wire::MEMBER_ALIVE;
    }

    std::optional<MemberState> fromWire(wire::MemberState state)
    {
        switch (state) {
        case wire::MEMBER_ALIVE:
            return MemberState::Alive;
        case wire::MEMBER_SUSPECT:
            return MemberState::Suspect;
        case wire::MEMBER_DEAD:
            return MemberState::Dead;
        case wire::MEMBER_LEFT:
            return MemberState::Left;
        default:
            return std::nullopt;
        }
    }

    void fill(const Member& member, wire::Member& result)
    {
        result.set_id(member.id.value());
        result.set_zone(member.zone.value());
        result.set_region(member.region.value());
        result.set_address(member.address);
        result.set_incarnation(member.incarnation);
        result.set_state(toWire(member.state));
    }

    std::optional<Member> fromWire(const wire::Member& member)
    {
        const std::optional<MemberState> state = fromWire(member.state());
        if (!state || member.id().empty())
            return std::nullopt;
        return Member { NodeId(member.id()), AvailabilityZone(member.zone()), Region(member.region()), member.address(),
            member.incarnation(), *state };
    }

    template <typename WireMessage> void fillUpdates(const std::vector<Member>& updates, WireMessage& result)
    {
        for (const Member& update : updates)
            fill(update, *result.add_updates());
    }

    template <typename WireMessage> std::optional<std::vector<Member>> updatesFromWire(const WireMessage& message)
    {
        std::vector<Member> updates;
        updates.reserve(static_cast<std::size_t>(message.updates_size()));
        for (const wire::Member& update : message.updates()) {
            std::optional<Member> member = fromWire(update);
            if (!member)
                return std::nullopt;
            updates.push_back(*std::move(member));
        }
        return updates;
    }

    void fill(const Ping& ping, wire::Envelope& envelope)
    {
        wire::Ping& result = *envelope.mutable_ping();
        result.set_sequence(ping.sequence);
        fill(ping.sender, *result.mutable_sender());
        result.set_wants_members(ping.wantsMembers);
        result.set_digest(ping.digest);
        fillUpdates(ping.updates, result);
    }

    void fill(const PingRequest& request, wire::Envelope& envelope)
    {
        wire::PingRequest& result = *envelope.mutable_ping_request();
        result.set_sequence(request.sequence);
        fill(request.sender, *result.mutable_sender());
        result.set_target(request.target.value());
        result.set_target_address(request.targetAddress);
        fillUpdates(request.updates, result);
    }

    void fill(const Ack& ack, wire::Envelope& envelope)
    {
        wire::Ack& result = *envelope.mutable_ack();
        result.set_sequence(ack.sequence);
        fill(ack.responder, *result.mutable_responder());
        result.set_digest(ack.digest);
        result.set_complete(ack.complete);
        fillUpdates(ack.updates, result);
    }

    std::optional<MembershipMessage> fromWire(const wire::Ping& ping)
    {
        std::optional<Member> sender = fromWire(ping.sender());
        std::optional<std::vector<Member>> updates = updatesFromWire(ping);
        if (!sender || !updates)
            return std::nullopt;
        return Ping { ping.sequence(), *std::move(sender), ping.wants_members(), ping.digest(), *std::move(updates) };
    }

    std::optional<MembershipMessage> fromWire(const wire::PingRequest& request)
    {
        std::optional<Member> sender = fromWire(request.sender());
        std::optional<std::vector<Member>> updates = updatesFromWire(request);
        if (!sender || !updates)
            return std::nullopt;
        return PingRequest { request.sequence(), *std::move(sender), NodeId(request.target()), request.target_address(),
            *std::move(updates) };
    }

    std::optional<MembershipMessage> fromWire(const wire::Ack& ack)
    {
        std::optional<Member> responder = fromWire(ack.responder());
        std::optional<std::vector<Member>> updates = updatesFromWire(ack);
        if (!responder || !updates)
            return std::nullopt;
        return Ack { ack.sequence(), *std::move(responder), ack.digest(), ack.complete(), *std::move(updates) };
    }

} // namespace

void toWire(const MembershipMessage& message, wire::Envelope& envelope)
{
    std::visit([&](const auto& content) { fill(content, envelope); }, message);
}

std::optional<MembershipMessage> membershipFromWire(const wire::Envelope& envelope)
{
    switch (envelope.message_case()) {
    case wire::Envelope::kPing:
        return fromWire(envelope.ping());
    case wire::Envelope::kPingRequest:
        return fromWire(envelope.ping_request());
    case wire::Envelope::kAck:
        return fromWire(envelope.ack());
    default:
        return std::nullopt;
    }
}

} // namespace teaselshore
