#include "claims/claimshard.h"

#include "common/hash.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    constexpr std::size_t digestLength = 32;

    /// Replaces a reply that is too large to store by a short notice.
    StoredReply storableReply(const StoredReply& reply)
    {
        if (reply.body.size() <= maxStoredReplyBytes)
            return reply;
        return { .status = reply.status, .contentType = "application/json", .body = R"({"detail":"it ran; the reply was too large to keep"})" };
    }

}

std::string ClaimShard::digestOf(const ClaimKey& key)
{
    json parts = { key.organisation, key.service, key.key };
    return sha256Hex(parts.dump(-1, ' ', false, json::error_handler_t::replace)).substr(0, digestLength);
}

std::size_t claimShardOf(const ClaimKey& key)
{
    return stableHash(key.key, stableHash(key.service, stableHash(key.organisation))) % claimShardCount;
}

ClaimVerdict ClaimShard::claim(const ClaimRequest& request)
{
    auto digest = digestOf(request.key);
    auto found = m_records.find(digest);
    if (found == m_records.end()) {
        m_records[digest] = ClaimRecord { .bodyDigest = request.bodyDigest, .nonce = request.nonce, .claimedAtMs = request.nowMs, .deadlineMs = request.deadlineMs };
        return ClaimGranted {};
    }
    const auto& record = found->second;
    if (record.bodyDigest != request.bodyDigest)
        return ClaimConflict {};
    if (record.state == ClaimState::Done)
        return ClaimReplayed { .reply = record.reply };
    if (record.state == ClaimState::Unknown)
        return ClaimOutcomeUnknown {};
    // The nonce of this attempt is stored if an earlier swap took effect but its answer was lost.
    if (record.nonce == request.nonce)
        return ClaimGranted {};
    if (record.deadlineMs < request.nowMs)
        return ClaimOutcomeUnknown {};
    return ClaimInProgress {};
}

bool ClaimShard::settle(const ClaimSettlement& settlement)
{
    auto found = m_records.find(digestOf(settlement.key));
    if (found == m_records.end())
        return false;
    auto& record = found->second;
    bool byOperator = settlement.nonce.empty();
    if (!byOperator && record.nonce != settlement.nonce)
        return false;
    if (!byOperator && record.state == ClaimState::Done)
        return false;
    if (settlement.outcome == Outcome::NotRun) {
        m_records.erase(found);
        return true;
    }
    record.state = settlement.outcome == Outcome::Ran ? ClaimState::Done : ClaimState::Unknown;
    record.reply = storableReply(settlement.reply);
    return true;
}

void ClaimShard::expire(std::int64_t nowMs, std::int64_t retentionMs)
{
    std::erase_if(m_records, [&](const auto& entry) { return entry.second.claimedAtMs + retentionMs < nowMs; });
}

const ClaimRecord* ClaimShard::find(const ClaimKey& key) const
{
    auto found = m_records.find(digestOf(key));
    return found == m_records.end() ? nullptr : &found->second;
}

std::string ClaimShard::encode() const
{
    json shard = json::object();
    for (const auto& [digest, record] : m_records) {
        json fields = { record.bodyDigest, record.nonce, static_cast<int>(record.state), record.claimedAtMs, record.deadlineMs };
        if (record.state == ClaimState::Done)
            fields.push_back({ record.reply.status, record.reply.contentType, record.reply.body });
        shard[digest] = fields;
    }
    return shard.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ClaimShard> ClaimShard::decode(const std::string& text)
{
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    try {
        ClaimShard shard;
        for (const auto& [digest, fields] : value.items()) {
            ClaimRecord record { .bodyDigest = fields.at(0), .nonce = fields.at(1), .state = static_cast<ClaimState>(fields.at(2).get<int>()), .claimedAtMs = fields.at(3), .deadlineMs = fields.at(4) };
            if (fields.size() > 5)
                record.reply = { .status = fields[5].at(0), .contentType = fields[5].at(1), .body = fields[5].at(2) };
            shard.m_records[digest] = std::move(record);
        }
        return shard;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
