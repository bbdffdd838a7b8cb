#pragma once

#include "common/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace guavaspan {

/// Hash that equal requests share.
using Fingerprint = std::uint64_t;

/// Fingerprint of a request; `resource` is the service or the path that it names.
Fingerprint fingerprintOf(const std::string& organisation, const std::string& resource, const std::string& body);

struct QuarantineOptions {
    /// Number of crashed target incarnations after which a request can be convicted.
    int crashThreshold = 2;
    Clock::duration suspicionDuration = std::chrono::minutes(30);
    Clock::duration convictionDuration = std::chrono::hours(6);
    std::size_t maxRecords = 20000;
};

/// Reports a request that was running on a target when it crashed.
struct CrashReport {
    Fingerprint fingerprint = 0;
    std::string target;
    /// Incarnation of the target, so that several reports of one crash count once.
    std::string incarnation;

    friend auto operator<=>(const CrashReport&, const CrashReport&) = default;
};

/// Whether a request is blamed for crashes of targets.
enum class Standing {
    Clear,
    /// It was running when a target crashed.
    Suspect,
    /// It is taken to be the cause of the crashes and is refused.
    Convicted,
};

/// Standing of a request and the number of crashes during which it was running.
struct QuarantineEntry {
    Fingerprint fingerprint = 0;
    Standing standing = Standing::Clear;
    std::size_t deaths = 0;
};

/// Detects requests that crash the targets that run them. Every request that is running on a
/// target when it crashes becomes a suspect. A suspect is convicted once its crashes reach the
/// threshold and at least one of them cannot be explained by another request that also reached the threshold.
/// A request that completes is cleared.
class Quarantine {
public:
    explicit Quarantine(QuarantineOptions);

    /// Records a crash. True if it was not recorded before, so that peers have to be notified.
    bool onCrash(const CrashReport&, TimePoint now);

    /// Clears the record of a request that completed on any target. True if there was one.
    bool onCompleted(Fingerprint, TimePoint now);

    /// Convicts the request or extends its conviction. True if it was not convicted before.
    bool convict(Fingerprint, TimePoint now);

    /// Clears the record and the conviction of a request on behalf of an operator. True if there was either.
    bool pardon(Fingerprint);

    Standing standing(Fingerprint, TimePoint now) const;
    std::vector<QuarantineEntry> entries(TimePoint now) const;

private:
    struct Record {
        /// Target incarnations that crashed while the request was running on them.
        std::set<std::string> crashedIncarnations;
        TimePoint lastCrash;
    };

    bool mayHaveOtherCause(const std::string& incarnationKey, Fingerprint) const;
    void removeExpired(TimePoint now);

    QuarantineOptions m_options;
    std::map<Fingerprint, Record> m_records;
    std::map<Fingerprint, TimePoint> m_convictedUntil;
    std::map<std::string, std::set<Fingerprint>> m_fingerprintsByIncarnation;
};

}
