#pragma once

#include "common/time.h"
#include "configuration/configurationrecord.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// Tells a peer which revision the sender now uses.
struct RevisionAnnouncement {
    std::int64_t revision = 0;
};

/// Asks a peer for the head and the chunks whose hashes differ from these.
struct RevisionRequest {
    std::vector<std::string> chunkHashes;
};

/// Head and the chunks that the requester lacks.
struct RevisionResponse {
    std::string head;
    std::map<std::size_t, std::string> chunks;
};

using ConfigurationMessage = std::variant<RevisionAnnouncement, RevisionRequest, RevisionResponse>;

/// A message and the name of the peer that receives it.
struct OutgoingConfigurationMessage {
    std::string to;
    ConfigurationMessage message;
};

/// Fetches newer configurations from peers, and announces new revisions to a few peers.
class ConfigurationPropagator {
public:
    /// Announces a revision that this instance now uses to its neighbours.
    void onAdopted(std::int64_t revision, const std::vector<std::string>& neighbours);

    /// Requests a revision that a peer announced or mentioned in another message, if it is newer than the local one.
    void onRevisionReported(const std::string& from, std::int64_t revision, const ConfigurationRecord& local, TimePoint now);
    /// Answers with the chunks that the peer lacks.
    void onRevisionRequest(const std::string& from, const RevisionRequest&, const ConfigurationRecord& local);

    /// Combines received and local chunks; nothing if the revision is not newer, or a chunk is missing or invalid.
    static std::optional<ConfigurationRecord> assemble(const RevisionResponse&, const ConfigurationRecord& local);

    /// Removes and returns the queued messages.
    std::vector<OutgoingConfigurationMessage> takeOutgoingMessages();

private:
    std::vector<OutgoingConfigurationMessage> m_outgoing;
    std::int64_t m_requestedRevision = 0;
    TimePoint m_requestedAt;
};

}
