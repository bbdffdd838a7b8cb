#pragma once

#include "net/nettypes.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// What is believed about an instance; a later value overrides an earlier one
/// of the same incarnation.
enum class MemberState {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// One life of one instance and what is believed about it.
struct Member {
    std::string name;
    std::int64_t incarnation = 0;
    /// Stays the same while the process lives; a refutation raises only the incarnation.
    std::int64_t processIncarnation = 0;
    MemberState state = MemberState::Alive;
    Endpoint peerEndpoint;
    Endpoint callerEndpoint;
    std::string failureDomain;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Is the receiver there? Carries news.
struct Ping {
    std::uint64_t sequence = 0;
    std::vector<Member> updates;
    std::int64_t revision = 0;
};

struct Ack {
    std::uint64_t sequence = 0;
    std::vector<Member> updates;
    std::int64_t revision = 0;
};

/// Please ping the target for me and pass its answer on.
struct PingRequest {
    std::uint64_t sequence = 0;
    std::string instance;
};

struct IndirectAck {
    std::uint64_t sequence = 0;
    std::string instance;
};

/// News sent at once, without waiting for the next ping.
struct Gossip {
    std::vector<Member> updates;
};

/// A hash of the sender's view; a receiver with another one sends its whole view.
struct ViewDigest {
    std::uint64_t digest = 0;
};

/// The sender's whole view; `reply` asks for the receiver's.
struct ViewExchange {
    std::vector<Member> members;
    bool reply = false;
};

using MembershipMessage = std::variant<Ping, Ack, PingRequest, IndirectAck, Gossip, ViewDigest, ViewExchange>;

/// A message to be sent to a member.
struct OutgoingMembershipMessage {
    std::string to;
    Endpoint endpoint;
    MembershipMessage message;
};

std::string_view toString(MemberState);

}
