#pragma once

#include "common/time.h"
#include "configuration/configurationrecord.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// The sender has adopted this revision.
struct RevisionAnnounced {
    std::int64_t revision = 0;
};

/// Please send what differs from these chunks.
struct RevisionWanted {
    std::vector<std::string> chunkHashes;
};

/// Head and the chunks that the receiver did not have.
struct RevisionSent {
    std::string head;
    std::map<std::size_t, std::string> chunks;
};

using ConfigurationMessage = std::variant<RevisionAnnounced, RevisionWanted, RevisionSent>;

struct ConfigurationSend {
    std::string to;
    ConfigurationMessage message;
};

/// Brings a newer configuration from whoever has it, and tells a few others.
class ConfigurationSpreader {
public:
    /// This instance holds the revision now; `neighbours` are told.
    void onAdopted(std::int64_t revision, const std::vector<std::string>& neighbours);

    /// A peer named a revision, in an announcement or in passing.
    void onRevisionSeen(const std::string& from, std::int64_t revision, const ConfigurationRecord& own, TimePoint now);
    void onWanted(const std::string& from, const RevisionWanted&, const ConfigurationRecord& own);

    /// The record that a message and our own chunks make together, if it is whole.
    static std::optional<ConfigurationRecord> assemble(const RevisionSent&, const ConfigurationRecord& own);

    std::vector<ConfigurationSend> takeSends();

private:
    std::vector<ConfigurationSend> m_sends;
    std::int64_t m_wanted = 0;
    TimePoint m_wantedAt;
};

}
