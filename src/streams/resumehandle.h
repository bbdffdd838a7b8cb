#pragma once

#include "streams/streamtypes.h"

#include <optional>
#include <string>

namespace guavaspan {

/// What another instance needs to go on with a stream.
struct ResumeHandle {
    GenerationIdentity identity;
    std::string organisation;
    std::string service;
    std::string model;
    std::string requestId;
    int promptTokens = 0;
    bool chat = false;

    friend bool operator==(const ResumeHandle&, const ResumeHandle&) = default;
};

/// Seals handles so that callers can carry but neither read nor alter them.
class HandleSealer {
public:
    explicit HandleSealer(const std::string& key);

    std::string seal(const ResumeHandle&, const std::string& nonceSeed) const;
    std::optional<ResumeHandle> open(const std::string& sealedHandle) const;

private:
    std::string m_key;
};

/// Event id of one token: the sealed handle and the token's offset.
std::string eventIdOf(const std::string& sealedHandle, int offset);

struct EventId {
    std::string sealedHandle;
    int offset = 0;
};

std::optional<EventId> parseEventId(const std::string&);

}
