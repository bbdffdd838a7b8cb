#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// Identity of a request's content: organisation, service and body.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(const std::string& organisation, const std::string& service, const std::string& body);

struct QuarantineOptions {
    /// Deaths of different targets after which a request is refused.
    int crashThreshold = 2;
    Clock::duration suspicionDuration = std::chrono::minutes(30);
    Clock::duration convictionDuration = std::chrono::hours(6);
    std::size_t maxRecords = 20000;
};

/// One request that was running when a target died.
struct CrashReport {
    Fingerprint fingerprint = 0;
    std::string target;
    /// The target's life, so that many reports of one death count once.
    std::string incarnation;

    friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

enum class Standing {
    Clear,
    Suspect,
    Convicted,
};

/// What is held against one request.
struct QuarantineEntry {
    Fingerprint fingerprint = 0;
    Standing standing = Standing::Clear;
    std::size_t deaths = 0;
};

/// Finds requests that kill the targets that run them. Everything running on a
/// dying target is suspected; only a suspect that was alone among suspects on
/// the next one is convicted, and whoever completes is cleared.
class Quarantine {
public:
    explicit Quarantine(QuarantineOptions);

    /// Notes a death; true if this is new, so that peers are to be told.
    bool onCrash(const CrashReport&, TimePoint now);

    /// The request ended well somewhere.
    bool onCompleted(Fingerprint, TimePoint now);

    /// Another instance convicted it; true if that is news.
    bool convict(Fingerprint, TimePoint now);

    /// An operator lets it run again.
    bool pardon(Fingerprint);

    Standing standing(Fingerprint, TimePoint now) const;
    std::vector<QuarantineEntry> entries(TimePoint now) const;

private:
    struct Record {
        /// Lives of targets that ended while this ran.
        std::set<std::string> deaths;
        TimePoint lastCrash;
    };

    bool hasOtherCandidate(const std::string& incarnationKey, Fingerprint) const;
    void removeExpired(TimePoint now);

    QuarantineOptions m_options;
    std::map<Fingerprint, Record> m_records;
    std::map<Fingerprint, TimePoint> m_convictedUntil;
    std::map<std::string, std::set<Fingerprint>> m_fingerprintsByIncarnation;
};

}
