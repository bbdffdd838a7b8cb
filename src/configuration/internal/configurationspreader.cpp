#include "configuration/configurationspreader.h"

#include <utility>

namespace guavaspan {

namespace {

    // Until then the peer that was asked first may still answer.
    constexpr auto patience = Milliseconds(300);

}

void ConfigurationSpreader::onAdopted(std::int64_t revision, const std::vector<std::string>& neighbours)
{
    for (const auto& neighbour : neighbours)
        m_sends.push_back({ .to = neighbour, .message = RevisionAnnounced { .revision = revision } });
}

void ConfigurationSpreader::onRevisionSeen(const std::string& from, std::int64_t revision, const ConfigurationRecord& own, TimePoint now)
{
    if (revision <= own.head.revision)
        return;
    bool asked = revision <= m_wanted && m_wantedAt + patience > now;
    if (asked)
        return;
    m_wanted = revision;
    m_wantedAt = now;
    RevisionWanted wanted;
    wanted.chunkHashes.assign(own.head.chunkHashes.begin(), own.head.chunkHashes.end());
    m_sends.push_back({ .to = from, .message = std::move(wanted) });
}

void ConfigurationSpreader::onWanted(const std::string& from, const RevisionWanted& wanted, const ConfigurationRecord& own)
{
    if (wanted.chunkHashes.size() != configurationChunkCount)
        return;
    RevisionSent sent { .head = encodeHead(own.head) };
    for (std::size_t i = 0; i < configurationChunkCount; ++i) {
        if (wanted.chunkHashes[i] != own.head.chunkHashes[i])
            sent.chunks[i] = encodeChunk(own.chunks[i]);
    }
    m_sends.push_back({ .to = from, .message = std::move(sent) });
}

std::optional<ConfigurationRecord> ConfigurationSpreader::assemble(const RevisionSent& sent, const ConfigurationRecord& own)
{
    auto head = decodeHead(sent.head);
    if (!head || head->revision <= own.head.revision)
        return std::nullopt;
    ConfigurationRecord record = own;
    record.head = std::move(*head);
    for (std::size_t i = 0; i < configurationChunkCount; ++i) {
        const auto& hash = record.head.chunkHashes[i];
        if (hash == own.head.chunkHashes[i])
            continue;
        auto found = sent.chunks.find(i);
        bool matches = found != sent.chunks.end() && chunkHash(found->second) == hash;
        auto chunk = matches ? decodeChunk(found->second) : std::nullopt;
        if (!chunk)
            return std::nullopt;
        record.chunks[i] = std::move(*chunk);
    }
    return record;
}

std::vector<ConfigurationSend> ConfigurationSpreader::takeSends()
{
    return std::exchange(m_sends, {});
}

}
