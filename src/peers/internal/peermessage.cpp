#include "peers/peermessage.h"

#include "common/overloaded.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    enum class Kind {
        Membership,
        Permit,
        Configuration,
        Quarantine,
    };

    json toJson(const Member& member)
    {
        return json::array({ member.name, member.incarnation, member.life, static_cast<int>(member.state), toString(member.peerEndpoint), toString(member.callerEndpoint), member.failureDomain });
    }

    Member memberFrom(const json& fields)
    {
        Member member { .name = fields.at(0), .incarnation = fields.at(1), .life = fields.at(2), .state = static_cast<MemberState>(fields.at(3).get<int>()), .failureDomain = fields.at(6) };
        member.peerEndpoint = parseEndpoint(fields.at(4).get<std::string>()).value_or(Endpoint {});
        member.callerEndpoint = parseEndpoint(fields.at(5).get<std::string>()).value_or(Endpoint {});
        return member;
    }

    json toJson(const std::vector<Member>& members)
    {
        json list = json::array();
        for (const auto& member : members)
            list.push_back(toJson(member));
        return list;
    }

    std::vector<Member> membersFrom(const json& list)
    {
        std::vector<Member> members;
        for (const auto& item : list)
            members.push_back(memberFrom(item));
        return members;
    }

    json toJson(const PermitId& id)
    {
        return json::array({ id.instance, id.sequence });
    }

    PermitId idFrom(const json& fields)
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

    PermitRequest requestFrom(const json& fields)
    {
        PermitRequest request;
        request.id = idFrom(fields.at(0));
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
                              [](const Grant& each) { return json::array({ 0, toJson(each.id), each.engine, each.priority, static_cast<int>(each.reason), each.overflowRisk, each.expectedCachedTokens }); },
                              [](const Refusal& each) { return json::array({ 1, toJson(each.id), static_cast<int>(each.code), milliseconds(each.retryAfter) }); },
                              [](const SetPriority& each) { return json::array({ 2, toJson(each.id), each.priority }); },
                          },
            action);
    }

    SchedulingAction actionFrom(const json& fields)
    {
        auto id = idFrom(fields.at(1));
        switch (fields.at(0).get<int>()) {
        case 0:
            return Grant { .id = id, .engine = fields.at(2), .priority = fields.at(3), .reason = static_cast<GrantReason>(fields.at(4).get<int>()), .overflowRisk = fields.at(5), .expectedCachedTokens = fields.at(6) };
        case 1:
            return Refusal { .id = id, .code = static_cast<ErrorCode>(fields.at(2).get<int>()), .retryAfter = Milliseconds(fields.at(3).get<std::int64_t>()) };
        default:
            return SetPriority { .id = id, .priority = fields.at(2) };
        }
    }

    json fieldsOf(const MembershipMessage& message)
    {
        return std::visit(Overloaded {
                              [](const Ping& each) { return json::array({ each.sequence, toJson(each.updates), each.revision }); },
                              [](const Ack& each) { return json::array({ each.sequence, toJson(each.updates), each.revision }); },
                              [](const PingRequest& each) { return json::array({ each.sequence, each.target }); },
                              [](const IndirectAck& each) { return json::array({ each.sequence, each.target }); },
                              [](const Gossip& each) { return json::array({ toJson(each.updates) }); },
                              [](const ViewDigest& each) { return json::array({ each.digest }); },
                              [](const ViewExchange& each) { return json::array({ toJson(each.members), each.reply }); },
                          },
            message);
    }

    MembershipMessage membershipFrom(std::size_t type, const json& f)
    {
        switch (type) {
        case 0:
            return Ping { .sequence = f.at(0), .updates = membersFrom(f.at(1)), .revision = f.at(2) };
        case 1:
            return Ack { .sequence = f.at(0), .updates = membersFrom(f.at(1)), .revision = f.at(2) };
        case 2:
            return PingRequest { .sequence = f.at(0), .target = f.at(1) };
        case 3:
            return IndirectAck { .sequence = f.at(0), .target = f.at(1) };
        case 4:
            return Gossip { .updates = membersFrom(f.at(0)) };
        case 5:
            return ViewDigest { .digest = f.at(0) };
        default:
            return ViewExchange { .members = membersFrom(f.at(0)), .reply = f.at(1) };
        }
    }

    json fieldsOf(const PermitMessage& message)
    {
        return std::visit(Overloaded {
                              [](const PermitSubmit& each) { return json::array({ each.model, toJson(each.request) }); },
                              [](const PermitWithdraw& each) { return json::array({ each.model, toJson(each.id) }); },
                              [](const PermitProgress& each) { return json::array({ each.model, toJson(each.id), each.produced, each.preempted }); },
                              [](const PermitFinish& each) { return json::array({ each.model, toJson(each.id), each.produced, static_cast<int>(each.outcome) }); },
                              [](const PermitAdopt& each) { return json::array({ each.model, toJson(each.request), each.engine, each.produced }); },
                              [](const PermitDecision& each) { return json::array({ toJson(each.action) }); },
                              [](const PermitRenewal& each) {
                                  json held = json::array();
                                  for (const auto& [sequence, produced] : each.permits)
                                      held.push_back(json::array({ sequence, produced }));
                                  return json::array({ each.model, each.instance, held });
                              },
                              [](const PermitsUnknown& each) { return json::array({ each.sequences }); },
                          },
            message);
    }

    PermitMessage permitFrom(std::size_t type, const json& f)
    {
        switch (type) {
        case 0:
            return PermitSubmit { .model = f.at(0), .request = requestFrom(f.at(1)) };
        case 1:
            return PermitWithdraw { .model = f.at(0), .id = idFrom(f.at(1)) };
        case 2:
            return PermitProgress { .model = f.at(0), .id = idFrom(f.at(1)), .produced = f.at(2), .preempted = f.at(3) };
        case 3:
            return PermitFinish { .model = f.at(0), .id = idFrom(f.at(1)), .produced = f.at(2), .outcome = static_cast<GenerationOutcome>(f.at(3).get<int>()) };
        case 4:
            return PermitAdopt { .model = f.at(0), .request = requestFrom(f.at(1)), .engine = f.at(2), .produced = f.at(3) };
        case 5:
            return PermitDecision { .action = actionFrom(f.at(0)) };
        case 6: {
            PermitRenewal held { .model = f.at(0), .instance = f.at(1) };
            for (const auto& item : f.at(2))
                held.permits.emplace_back(item.at(0).get<std::uint64_t>(), item.at(1).get<int>());
            return held;
        }
        default:
            return PermitsUnknown { .sequences = f.at(0).get<std::vector<std::uint64_t>>() };
        }
    }

    json fieldsOf(const ConfigurationMessage& message)
    {
        return std::visit(Overloaded {
                              [](const RevisionAnnouncement& each) { return json::array({ each.revision }); },
                              [](const RevisionRequest& each) { return json::array({ each.chunkHashes }); },
                              [](const RevisionResponse& each) {
                                  json chunks = json::array();
                                  for (const auto& [index, chunk] : each.chunks)
                                      chunks.push_back(json::array({ index, chunk }));
                                  return json::array({ each.head, chunks });
                              },
                          },
            message);
    }

    ConfigurationMessage configurationFrom(std::size_t type, const json& f)
    {
        if (type == 0)
            return RevisionAnnouncement { .revision = f.at(0) };
        if (type == 1)
            return RevisionRequest { .chunkHashes = f.at(0).get<std::vector<std::string>>() };
        RevisionResponse sent { .head = f.at(0) };
        for (const auto& item : f.at(1))
            sent.chunks[item.at(0).get<std::size_t>()] = item.at(1).get<std::string>();
        return sent;
    }

    json fieldsOf(const QuarantineMessage& message)
    {
        return std::visit(Overloaded {
                              [](const CrashReport& each) { return json::array({ each.fingerprint, each.target, each.incarnation }); },
                              [](const auto& each) { return json::array({ each.fingerprint }); },
                          },
            message);
    }

    QuarantineMessage quarantineFrom(std::size_t type, const json& f)
    {
        Fingerprint fingerprint = f.at(0);
        switch (type) {
        case 0:
            return CrashReport { .fingerprint = fingerprint, .target = f.at(1), .incarnation = f.at(2) };
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
    auto fields = std::visit([](const auto& each) { return json::array({ each.index(), fieldsOf(each) }); }, message);
    auto bytes = json::to_cbor(json::array({ message.index(), fields[0], fields[1] }));
    return { bytes.begin(), bytes.end() };
}

std::optional<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    auto body = json::from_cbor(bytes, true, false);
    if (!body.is_array() || body.size() != 3)
        return std::nullopt;
    try {
        auto type = body[1].get<std::size_t>();
        switch (static_cast<Kind>(body[0].get<int>())) {
        case Kind::Membership:
            return membershipFrom(type, body[2]);
        case Kind::Permit:
            return permitFrom(type, body[2]);
        case Kind::Configuration:
            return configurationFrom(type, body[2]);
        case Kind::Quarantine:
            return quarantineFrom(type, body[2]);
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

}
