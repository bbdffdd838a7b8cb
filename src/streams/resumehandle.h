#pragma once

#include "streams/streamtypes.h"

#include <optional>
#include <string>

namespace guavaspan {

/// State that another instance needs to resume a stream.
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

/// Encrypts and authenticates resume handles, so that callers can hold them but not read or alter them.
class HandleSealer {
public:
    explicit HandleSealer(const std::string& key);

    std::string seal(const ResumeHandle&, const std::string& nonceSeed) const;
    std::optional<ResumeHandle> open(const std::string& sealedHandle) const;

private:
    std::string m_key;
};

/// Event id of a token: the sealed handle and the token's offset.
std::string eventIdOf(const std::string& sealedHandle, int offset);

struct EventId {
    std::string sealedHandle;
    int offset = 0;
};

std::optional<EventId> parseEventId(const std::string&);

}
