#pragma once

#include "net/nettypes.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// State of an instance in a membership view; a later enumerator overrides an earlier one of the
/// same incarnation.
enum class MemberState {
    Alive,
    Leaving,
    Suspect,
    Dead,
};

/// An instance and its state in a membership view.
struct Member {
    std::string name;
    std::int64_t incarnation = 0;
    /// Incarnation at process start; a refutation raises only `incarnation`.
    std::int64_t processIncarnation = 0;
    MemberState state = MemberState::Alive;
    Endpoint peerEndpoint;
    Endpoint callerEndpoint;
    std::string failureDomain;

    friend bool operator==(const Member&, const Member&) = default;
};

/// Checks whether the receiver is reachable; carries membership updates.
struct Ping {
    std::uint64_t sequence = 0;
    std::vector<Member> updates;
    /// Revision of the configuration that the sender has adopted.
    std::int64_t revision = 0;
};

/// Answers a ping.
struct Ack {
    std::uint64_t sequence = 0;
    std::vector<Member> updates;
    /// Revision of the configuration that the sender has adopted.
    std::int64_t revision = 0;
};

/// Requests that the receiver ping an instance and report its answer with an IndirectAck.
struct PingRequest {
    std::uint64_t sequence = 0;
    std::string instance;
};

/// Reports that the instance named in a PingRequest answered.
struct IndirectAck {
    std::uint64_t sequence = 0;
    std::string instance;
};

/// Membership updates that are sent immediately instead of with the next ping.
struct Gossip {
    std::vector<Member> updates;
};

/// Hash of the sender's membership view; a receiver whose hash differs sends its complete view.
struct ViewDigest {
    std::uint64_t digest = 0;
};

/// The sender's complete membership view; `reply` requests the receiver's view in return.
struct ViewExchange {
    std::vector<Member> members;
    bool reply = false;
};

using MembershipMessage = std::variant<Ping, Ack, PingRequest, IndirectAck, Gossip, ViewDigest, ViewExchange>;

/// A message that the user of Membership must send.
struct OutgoingMembershipMessage {
    std::string to;
    Endpoint endpoint;
    MembershipMessage message;
};

std::string_view toString(MemberState);

}
