#pragma once

#include "quarantine/quarantine.h"

#include <variant>

namespace guavaspan {

/// A request that had been suspected ended well.
struct CompletionReport {
    Fingerprint fingerprint = 0;

    friend bool operator==(const CompletionReport&, const CompletionReport&) = default;
};

/// To be refused everywhere; each receiver passes it on once.
struct ConvictionNotice {
    Fingerprint fingerprint = 0;

    friend bool operator==(const ConvictionNotice&, const ConvictionNotice&) = default;
};

/// To be let run again everywhere; each receiver passes it on once.
struct PardonNotice {
    Fingerprint fingerprint = 0;

    friend bool operator==(const PardonNotice&, const PardonNotice&) = default;
};

using QuarantineMessage = std::variant<CrashReport, CompletionReport, ConvictionNotice, PardonNotice>;

/// Carries quarantine messages between instances.
class IQuarantineTransport {
public:
    virtual ~IQuarantineTransport() = default;

    /// The instance that counts this request's deaths; empty if it is this one.
    virtual std::string quarantineOwnerOf(Fingerprint) const = 0;
    virtual void send(const std::string& instance, const QuarantineMessage&) = 0;
    virtual std::vector<std::string> randomPeers(std::size_t recordCrash) = 0;
};

/// Brings the deaths of one request together at one instance, and a conviction to all.
class QuarantineService {
public:
    QuarantineService(QuarantineOptions, IQuarantineTransport&);

    /// A target died while this request ran on it.
    void onCrash(const CrashReport&, TimePoint now);

    /// A request ended well that had met a death here.
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
