#include "peers/internal/peerproof.h"
#include "peers/peermessage.h"
#include "peers/websockettransport.h"

#include "net/nettypes.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

template <typename Message, typename Group>
std::optional<Message> roundTrip(const Group& original)
{
    auto decoded = decodePeerMessage(encodePeerMessage(original));
    if (!decoded)
        return std::nullopt;
    auto* group = std::get_if<Group>(&*decoded);
    auto* message = group ? std::get_if<Message>(group) : nullptr;
    return message ? std::optional<Message>(*message) : std::nullopt;
}

const Member member { .name = "entry-1", .incarnation = 77, .state = MemberState::Suspect, .peerEndpoint = { .address = "127.0.0.1", .port = 9 }, .callerEndpoint = { .address = "::1", .port = 8 }, .failureDomain = "mixco" };

struct TransportPairFixture {
    asio::io_context context;
    std::vector<std::string> received;
    WebSocketTransport connectingTransport;
    WebSocketTransport listeningTransport;
    std::uint16_t port = 0;

    TransportPairFixture(const std::string& connectingKey, const std::string& listeningKey)
        : connectingTransport(context, { .name = "one", .key = connectingKey }, [this](const std::string& from, const std::string& payload) { received.push_back(from + ":" + payload); })
        , listeningTransport(context, { .name = "two", .key = listeningKey }, [this](const std::string& from, const std::string& payload) { received.push_back(from + ":" + payload); })
    {
        port = listeningTransport.listen("127.0.0.1", 0);
    }

    /// Runs until this many messages were received, for at most 2 seconds.
    void runUntil(std::size_t messageCount)
    {
        for (int i = 0; i < 400 && received.size() < messageCount; ++i)
            context.run_for(Milliseconds(5));
    }
};

}

Test(PeerMessage, everyMessageGroup_roundTripsThroughTheCodec)
{
    auto ping = roundTrip<Ping>(MembershipMessage(Ping { .sequence = 5, .updates = { member }, .revision = 9 }));
    cr_assert(ping.has_value());
    cr_expect(ping->updates.front() == member);
    cr_expect(ping->revision == 9);
    auto exchange = roundTrip<ViewExchange>(MembershipMessage(ViewExchange { .members = { member, member }, .reply = true }));
    cr_expect(exchange && exchange->members.size() == 2 && exchange->reply);
    PermitRequest request { .id = { .instance = ~0ULL, .sequence = 4 }, .organisation = "o", .service = "s", .weight = 2.5, .serviceClass = ServiceClass::Interactive, .promptTokens = 11, .maxTokens = 12, .prefixBlocks = { ~0ULL, 1 }, .maxWait = Seconds(3), .failureDomain = "d", .excludedEngines = { "e" } };
    auto submit = roundTrip<PermitSubmit>(PermitMessage(PermitSubmit { .model = "m", .request = request }));
    cr_assert(submit.has_value());
    cr_expect(submit->request.id == request.id && submit->request.prefixBlocks == request.prefixBlocks && submit->request.maxWait == request.maxWait && submit->request.excludedEngines == request.excludedEngines);
    auto decision = roundTrip<PermitDecision>(PermitMessage(PermitDecision { .action = Refusal { .id = request.id, .code = ErrorCode::Overloaded, .retryAfter = Seconds(2) } }));
    cr_assert(decision.has_value());
    cr_expect(std::get<Refusal>(decision->action).retryAfter == Seconds(2));
    auto revision = roundTrip<RevisionResponse>(ConfigurationMessage(RevisionResponse { .head = "h", .chunks = { { 3, "c" } } }));
    cr_expect(revision && revision->chunks.at(3) == "c");
}

Test(PeerMessage, truncatedOrInvalidBytes_areRejected)
{
    auto bytes = encodePeerMessage(MembershipMessage(Ping { .updates = { member } }));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        cr_expect_not(decodePeerMessage(bytes.substr(0, length)).has_value());
    cr_expect_not(decodePeerMessage("nonsense").has_value());
}

Test(PeerProof, forgedReplayedOrExpiredProof_isRejected)
{
    NonceCache usedNonces;
    auto proof = makeProof("key", "one");
    cr_expect(checkProof("other", "one", proof.header, usedNonces).empty());
    cr_expect(checkProof("key", "two", proof.header, usedNonces).empty());
    cr_expect(checkProof("key", "one", "5;n;" + proof.header.substr(proof.header.rfind(';') + 1), usedNonces).empty());
    cr_expect(checkProof("key", "one", proof.header, usedNonces) == proof.nonce);
    cr_expect(checkProof("key", "one", proof.header, usedNonces).empty(), "a replayed proof was accepted");
}

Test(WebSocketTransport, sameKey_messagesPassBothWaysOverOneConnection)
{
    TransportPairFixture f("shared-key", "shared-key");
    cr_assert(f.port != 0);
    cr_expect(f.connectingTransport.send("two", "127.0.0.1", f.port, "hello"));
    f.runUntil(1);
    cr_assert(f.received.size() == 1);
    cr_expect(f.received[0] == "one:hello");
    cr_expect(f.listeningTransport.send("one", "", 0, "back"));
    f.runUntil(2);
    cr_assert(f.received.size() == 2);
    cr_expect(f.received[1] == "two:back");
    cr_expect(f.connectingTransport.counters().connectionsOpened == 1);
}

Test(WebSocketTransport, wrongKey_isRejectedAndDeliversNothing)
{
    TransportPairFixture f("wrong-key", "right-key");
    f.connectingTransport.send("two", "127.0.0.1", f.port, "hello");
    for (int i = 0; i < 100 && f.listeningTransport.counters().connectionsRefused == 0; ++i)
        f.context.run_for(Milliseconds(5));
    cr_expect(f.listeningTransport.counters().connectionsRefused == 1);
    cr_expect(f.received.empty());
    cr_expect_not(f.listeningTransport.send("one", "", 0, "back"));
}
