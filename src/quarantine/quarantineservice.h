#pragma once

#include "quarantine/quarantine.h"

#include <variant>

namespace guavaspan {

/// Reports that a suspect request completed.
struct CompletionReport {
    Fingerprint fingerprint = 0;
    /// Time from the sending of the request to this report.
    Milliseconds sentAgo { 0 };

    friend bool operator==(const CompletionReport&, const CompletionReport&) = default;
};

/// Asks all instances to refuse a request. A receiver forwards it only the first time.
struct ConvictionNotice {
    Fingerprint fingerprint = 0;

    friend auto operator<=>(const ConvictionNotice&, const ConvictionNotice&) = default;
};

/// Asks all instances to admit a request again. A receiver forwards it only if the request was
/// suspect or convicted there.
struct PardonNotice {
    Fingerprint fingerprint = 0;

    friend bool operator==(const PardonNotice&, const PardonNotice&) = default;
};

using QuarantineMessage = std::variant<CrashReport, CompletionReport, ConvictionNotice, PardonNotice>;

/// Carries quarantine messages between instances.
class IQuarantineTransport {
public:
    virtual ~IQuarantineTransport() = default;

    /// Returns the instance that counts the crashes of this request; empty if it is the local one.
    virtual std::string quarantineOwnerOf(Fingerprint) const = 0;
    virtual void send(const std::string& instance, const QuarantineMessage&) = 0;
    virtual std::vector<std::string> randomPeers(std::size_t count) = 0;
};

/// Collects the crash reports of a request at the instance that owns it and distributes convictions
/// to all instances.
class QuarantineService {
public:
    QuarantineService(QuarantineOptions, IQuarantineTransport&);

    /// Reports that a target crashed while it was running this request.
    void onCrash(const CrashReport&, TimePoint now);

    /// Reports the completion of a request that this instance reported a crash for.
    void onCompleted(Fingerprint, TimePoint now);
    bool refuses(Fingerprint, TimePoint now) const;
    bool pardon(Fingerprint, TimePoint now);
    void onMessage(const QuarantineMessage&, TimePoint now);
    std::vector<QuarantineEntry> entries(TimePoint now) const { return m_quarantine.entries(now); }

private:
    void recordCrash(const CrashReport&, TimePoint now);
    void gossip(const QuarantineMessage&);

    Quarantine m_quarantine;
    IQuarantineTransport& m_transport;
};

}
