#pragma once

#include "common/time.h"
#include "configuration/configurationrecord.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// The sender has adopted this revision.
struct RevisionAnnouncement {
    std::int64_t revision = 0;
};

/// Please send what differs from these chunks.
struct RevisionRequest {
    std::vector<std::string> chunkHashes;
};

/// Head and the chunks that the receiver did not have.
struct RevisionResponse {
    std::string head;
    std::map<std::size_t, std::string> chunks;
};

using ConfigurationMessage = std::variant<RevisionAnnouncement, RevisionRequest, RevisionResponse>;

struct OutgoingConfigurationMessage {
    std::string to;
    ConfigurationMessage message;
};

/// Brings a newer configuration from whoever has it, and tells a few others.
class ConfigurationPropagator {
public:
    /// This instance holds the revision now; `neighbours` are told.
    void onAdopted(std::int64_t revision, const std::vector<std::string>& neighbours);

    /// A peer named a revision, in an announcement or in passing.
    void onRevisionReported(const std::string& from, std::int64_t revision, const ConfigurationRecord& local, TimePoint now);
    void onRevisionRequest(const std::string& from, const RevisionRequest&, const ConfigurationRecord& local);

    /// The record that a message and our own chunks make together, if it is whole.
    static std::optional<ConfigurationRecord> assemble(const RevisionResponse&, const ConfigurationRecord& local);

    std::vector<OutgoingConfigurationMessage> takeSends();

private:
    std::vector<OutgoingConfigurationMessage> m_outgoing;
    std::int64_t m_requestedRevision = 0;
    TimePoint m_requestedAt;
};

}
