#include "peers/peermessage.h"

#include "common/cbor.h"
#include "common/overloaded.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    /// Indexes of the alternatives of PeerMessage.
    enum class MessageGroup {
        Membership,
        Permit,
        Configuration,
        Quarantine,
    };

    json toJson(const Member& member)
    {
        return json::array({ member.name, member.incarnation, member.processIncarnation, static_cast<int>(member.state), toString(member.peerEndpoint), toString(member.callerEndpoint), member.failureDomain });
    }

    Member parseMember(const json& fields)
    {
        Member member { .name = fields.at(0), .incarnation = fields.at(1), .processIncarnation = fields.at(2), .state = static_cast<MemberState>(fields.at(3).get<int>()), .failureDomain = fields.at(6) };
        member.peerEndpoint = parseEndpoint(fields.at(4).get<std::string>()).value_or(Endpoint {});
        member.callerEndpoint = parseEndpoint(fields.at(5).get<std::string>()).value_or(Endpoint {});
        return member;
    }

    json toJson(const std::vector<Member>& members)
    {
        json array = json::array();
        for (const auto& member : members)
            array.push_back(toJson(member));
        return array;
    }

    std::vector<Member> parseMembers(const json& array)
    {
        std::vector<Member> members;
        for (const auto& element : array)
            members.push_back(parseMember(element));
        return members;
    }

    json toJson(const PermitId& id)
    {
        return json::array({ id.instance, id.sequence });
    }

    PermitId parsePermitId(const json& fields)
    {
        return { .instance = fields.at(0), .sequence = fields.at(1) };
    }

    std::int64_t milliseconds(Clock::duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

    json toJson(const PermitRequest& request)
    {
        return json::array({ toJson(request.id), request.organisation, request.service, request.weight, static_cast<int>(request.serviceClass), request.promptTokens, request.maxTokens, request.prefixBlocks, milliseconds(request.maxWait), request.failureDomain, request.excludedEngines });
    }

    PermitRequest parsePermitRequest(const json& fields)
    {
        PermitRequest request;
        request.id = parsePermitId(fields.at(0));
        request.organisation = fields.at(1);
        request.service = fields.at(2);
        request.weight = fields.at(3);
        request.serviceClass = static_cast<ServiceClass>(fields.at(4).get<int>());
        request.promptTokens = fields.at(5);
        request.maxTokens = fields.at(6);
        request.prefixBlocks = fields.at(7).get<std::vector<std::uint64_t>>();
        request.maxWait = Milliseconds(fields.at(8).get<std::int64_t>());
        request.failureDomain = fields.at(9);
        request.excludedEngines = fields.at(10).get<std::vector<std::string>>();
        return request;
    }

    json toJson(const SchedulingAction& action)
    {
        return std::visit(Overloaded {
                              [](const Grant& grant) { return json::array({ 0, toJson(grant.id), grant.engine, grant.priority, static_cast<int>(grant.reason), grant.overflowRisk, grant.expectedCachedTokens }); },
                              [](const Refusal& refusal) { return json::array({ 1, toJson(refusal.id), static_cast<int>(refusal.code), milliseconds(refusal.retryAfter) }); },
                              [](const SetPriority& setPriority) { return json::array({ 2, toJson(setPriority.id), setPriority.priority }); },
                          },
            action);
    }

    SchedulingAction parseSchedulingAction(const json& fields)
    {
        auto id = parsePermitId(fields.at(1));
        switch (fields.at(0).get<int>()) {
        case 0:
            return Grant { .id = id, .engine = fields.at(2), .priority = fields.at(3), .reason = static_cast<GrantReason>(fields.at(4).get<int>()), .overflowRisk = fields.at(5), .expectedCachedTokens = fields.at(6) };
        case 1:
            return Refusal { .id = id, .code = static_cast<ErrorCode>(fields.at(2).get<int>()), .retryAfter = Milliseconds(fields.at(3).get<std::int64_t>()) };
        default:
            return SetPriority { .id = id, .priority = fields.at(2) };
        }
    }

    json fieldsToJson(const MembershipMessage& message)
    {
        return std::visit(Overloaded {
                              [](const Ping& ping) { return json::array({ ping.sequence, toJson(ping.updates), ping.revision }); },
                              [](const Ack& ack) { return json::array({ ack.sequence, toJson(ack.updates), ack.revision }); },
                              [](const PingRequest& request) { return json::array({ request.sequence, request.instance }); },
                              [](const IndirectAck& ack) { return json::array({ ack.sequence, ack.instance }); },
                              [](const Gossip& gossip) { return json::array({ toJson(gossip.updates) }); },
                              [](const ViewDigest& digest) { return json::array({ digest.digest }); },
                              [](const ViewExchange& exchange) { return json::array({ toJson(exchange.members), exchange.reply }); },
                          },
            message);
    }

    MembershipMessage parseMembershipMessage(std::size_t type, const json& fields)
    {
        switch (type) {
        case 0:
            return Ping { .sequence = fields.at(0), .updates = parseMembers(fields.at(1)), .revision = fields.at(2) };
        case 1:
            return Ack { .sequence = fields.at(0), .updates = parseMembers(fields.at(1)), .revision = fields.at(2) };
        case 2:
            return PingRequest { .sequence = fields.at(0), .instance = fields.at(1) };
        case 3:
            return IndirectAck { .sequence = fields.at(0), .instance = fields.at(1) };
        case 4:
            return Gossip { .updates = parseMembers(fields.at(0)) };
        case 5:
            return ViewDigest { .digest = fields.at(0) };
        default:
            return ViewExchange { .members = parseMembers(fields.at(0)), .reply = fields.at(1) };
        }
    }

    json fieldsToJson(const PermitMessage& message)
    {
        return std::visit(Overloaded {
                              [](const PermitSubmit& submit) { return json::array({ submit.model, toJson(submit.request) }); },
                              [](const PermitWithdraw& withdraw) { return json::array({ withdraw.model, toJson(withdraw.id) }); },
                              [](const PermitProgress& progress) { return json::array({ progress.model, toJson(progress.id), progress.producedTokens, progress.preempted }); },
                              [](const PermitFinish& finish) { return json::array({ finish.model, toJson(finish.id), finish.producedTokens, static_cast<int>(finish.outcome) }); },
                              [](const PermitAdopt& adopt) { return json::array({ adopt.model, toJson(adopt.request), adopt.engine, adopt.producedTokens }); },
                              [](const PermitDecision& decision) { return json::array({ toJson(decision.action) }); },
                              [](const PermitRenewal& renewal) {
                                  json permits = json::array();
                                  for (const auto& [sequence, producedTokens] : renewal.permits)
                                      permits.push_back(json::array({ sequence, producedTokens }));
                                  return json::array({ renewal.model, renewal.instance, permits });
                              },
                              [](const PermitsUnknown& unknown) { return json::array({ unknown.sequences }); },
                          },
            message);
    }

    PermitMessage parsePermitMessage(std::size_t type, const json& fields)
    {
        switch (type) {
        case 0:
            return PermitSubmit { .model = fields.at(0), .request = parsePermitRequest(fields.at(1)) };
        case 1:
            return PermitWithdraw { .model = fields.at(0), .id = parsePermitId(fields.at(1)) };
        case 2:
            return PermitProgress { .model = fields.at(0), .id = parsePermitId(fields.at(1)), .producedTokens = fields.at(2), .preempted = fields.at(3) };
        case 3:
            return PermitFinish { .model = fields.at(0), .id = parsePermitId(fields.at(1)), .producedTokens = fields.at(2), .outcome = static_cast<GenerationOutcome>(fields.at(3).get<int>()) };
        case 4:
            return PermitAdopt { .model = fields.at(0), .request = parsePermitRequest(fields.at(1)), .engine = fields.at(2), .producedTokens = fields.at(3) };
        case 5:
            return PermitDecision { .action = parseSchedulingAction(fields.at(0)) };
        case 6: {
            PermitRenewal renewal { .model = fields.at(0), .instance = fields.at(1) };
            for (const auto& element : fields.at(2))
                renewal.permits.emplace_back(element.at(0).get<std::uint64_t>(), element.at(1).get<int>());
            return renewal;
        }
        default:
            return PermitsUnknown { .sequences = fields.at(0).get<std::vector<std::uint64_t>>() };
        }
    }

    json fieldsToJson(const ConfigurationMessage& message)
    {
        return std::visit(Overloaded {
                              [](const RevisionAnnouncement& announcement) { return json::array({ announcement.revision }); },
                              [](const RevisionRequest& request) { return json::array({ request.chunkHashes }); },
                              [](const RevisionResponse& response) {
                                  json chunks = json::array();
                                  for (const auto& [index, chunk] : response.chunks)
                                      chunks.push_back(json::array({ index, chunk }));
                                  return json::array({ response.head, chunks });
                              },
                          },
            message);
    }

    ConfigurationMessage parseConfigurationMessage(std::size_t type, const json& fields)
    {
        if (type == 0)
            return RevisionAnnouncement { .revision = fields.at(0) };
        if (type == 1)
            return RevisionRequest { .chunkHashes = fields.at(0).get<std::vector<std::string>>() };
        RevisionResponse response { .head = fields.at(0) };
        for (const auto& element : fields.at(1))
            response.chunks[element.at(0).get<std::size_t>()] = element.at(1).get<std::string>();
        return response;
    }

    json fieldsToJson(const QuarantineMessage& message)
    {
        return std::visit(Overloaded {
                              [](const CrashReport& report) { return json::array({ report.fingerprint, report.target, report.incarnation }); },
                              [](const auto& report) { return json::array({ report.fingerprint }); },
                          },
            message);
    }

    QuarantineMessage parseQuarantineMessage(std::size_t type, const json& fields)
    {
        Fingerprint fingerprint = fields.at(0);
        switch (type) {
        case 0:
            return CrashReport { .fingerprint = fingerprint, .target = fields.at(1), .incarnation = fields.at(2) };
        case 1:
            return CompletionReport { .fingerprint = fingerprint };
        case 2:
            return ConvictionNotice { .fingerprint = fingerprint };
        default:
            return PardonNotice { .fingerprint = fingerprint };
        }
    }

}

std::string encodePeerMessage(const PeerMessage& message)
{
    auto fields = std::visit([](const auto& group) { return json::array({ group.index(), fieldsToJson(group) }); }, message);
    auto bytes = json::to_cbor(json::array({ message.index(), fields[0], fields[1] }));
    return { bytes.begin(), bytes.end() };
}

std::optional<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    auto document = parseCbor(bytes);
    if (!document || !document->is_array() || document->size() != 3)
        return std::nullopt;
    const auto& body = *document;
    try {
        auto type = body[1].get<std::size_t>();
        switch (static_cast<MessageGroup>(body[0].get<int>())) {
        case MessageGroup::Membership:
            return parseMembershipMessage(type, body[2]);
        case MessageGroup::Permit:
            return parsePermitMessage(type, body[2]);
        case MessageGroup::Configuration:
            return parseConfigurationMessage(type, body[2]);
        case MessageGroup::Quarantine:
            return parseQuarantineMessage(type, body[2]);
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

}
