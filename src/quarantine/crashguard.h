#pragma once

#include "quarantine/quarantineservice.h"
#include "targets/targetdirectory.h"

#include <deque>
#include <functional>

namespace guavaspan {

/// Recognises requests that crash the targets which run them, from requests that broke off and
/// from targets that vanished. Every instance hears of every crash, so each can refuse by itself.
class CrashGuard {
public:
    /// Tells all peers.
    using Teller = std::function<void(const QuarantineMessage&)>;

    explicit CrashGuard(Teller);

    /// No whole answer came from the target, and it may have run the request.
    void onBrokenOff(Fingerprint, const TargetEntry&, TimePoint now);
    void onTargetLeft(const TargetUnavailable&);

    /// The request got its whole answer.
    void onCompleted(Fingerprint, TimePoint now);

    void onPeerNews(const QuarantineMessage&, TimePoint now);

    bool refuses(Fingerprint, TimePoint now) const;

private:
    struct BrokenOff {
        Fingerprint request = 0;
        std::string target;
        std::int64_t startedAt = 0;
        TimePoint at;
    };
    void forgetOld(TimePoint now);
    void onDeath(const BrokenOff&, TimePoint now);
    bool note(const DeathReport&, TimePoint now);
    void judge(Fingerprint, const std::string& target, TimePoint now);

    Teller m_tell;
    Quarantine m_quarantine;
    /// Lately broken off, until it is known whether their targets crashed.
    std::deque<BrokenOff> m_brokenOff;
    std::map<Fingerprint, TimePoint> m_lastDeath;
};

}
