#include "configuration/configurationpropagator.h"

#include <utility>

namespace guavaspan {

namespace {

    // Until then no other peer is asked for the same revision, since the first one may still answer.
    constexpr auto requestTimeout = Milliseconds(300);

}

void ConfigurationPropagator::onAdopted(std::int64_t revision, const std::vector<std::string>& neighbours)
{
    for (const auto& neighbour : neighbours)
        m_outgoing.push_back({ .to = neighbour, .message = RevisionAnnouncement { .revision = revision } });
}

void ConfigurationPropagator::onRevisionReported(const std::string& from, std::int64_t revision, const ConfigurationRecord& local, TimePoint now)
{
    if (revision <= local.head.revision)
        return;
    bool requestPending = revision <= m_requestedRevision && m_requestedAt + requestTimeout > now;
    if (requestPending)
        return;
    m_requestedRevision = revision;
    m_requestedAt = now;
    RevisionRequest request;
    request.chunkHashes.assign(local.head.chunkHashes.begin(), local.head.chunkHashes.end());
    m_outgoing.push_back({ .to = from, .message = std::move(request) });
}

void ConfigurationPropagator::onRevisionRequest(const std::string& from, const RevisionRequest& request, const ConfigurationRecord& local)
{
    if (request.chunkHashes.size() != configurationChunkCount)
        return;
    RevisionResponse response { .head = encodeHead(local.head) };
    for (std::size_t i = 0; i < configurationChunkCount; ++i) {
        if (request.chunkHashes[i] != local.head.chunkHashes[i])
            response.chunks[i] = encodeChunk(local.chunks[i]);
    }
    m_outgoing.push_back({ .to = from, .message = std::move(response) });
}

std::optional<ConfigurationRecord> ConfigurationPropagator::assemble(const RevisionResponse& response, const ConfigurationRecord& local)
{
    auto head = decodeHead(response.head);
    if (!head || head->revision <= local.head.revision)
        return std::nullopt;
    ConfigurationRecord record = local;
    record.head = std::move(*head);
    for (std::size_t i = 0; i < configurationChunkCount; ++i) {
        const auto& hash = record.head.chunkHashes[i];
        if (hash == local.head.chunkHashes[i])
            continue;
        auto found = response.chunks.find(i);
        bool hashMatches = found != response.chunks.end() && chunkHash(found->second) == hash;
        auto chunk = hashMatches ? decodeChunk(found->second) : std::nullopt;
        if (!chunk)
            return std::nullopt;
        record.chunks[i] = std::move(*chunk);
    }
    return record;
}

std::vector<OutgoingConfigurationMessage> ConfigurationPropagator::takeOutgoingMessages()
{
    return std::exchange(m_outgoing, {});
}

}
