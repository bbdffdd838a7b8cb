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
struct ConvictionNews {
    Fingerprint fingerprint = 0;

    friend bool operator==(const ConvictionNews&, const ConvictionNews&) = default;
};

/// To be let run again everywhere; each receiver passes it on once.
struct PardonNews {
    Fingerprint fingerprint = 0;

    friend bool operator==(const PardonNews&, const PardonNews&) = default;
};

using QuarantineMessage = std::variant<DeathReport, CompletionReport, ConvictionNews, PardonNews>;

/// Carries quarantine messages between instances.
class IQuarantineTransport {
public:
    virtual ~IQuarantineTransport() = default;

    /// The instance that counts this request's deaths; empty if it is this one.
    virtual std::string counterOf(Fingerprint) const = 0;
    virtual void send(const std::string& instance, const QuarantineMessage&) = 0;
    virtual std::vector<std::string> somePeers(std::size_t count) = 0;
};

/// Brings the deaths of one request together at one instance, and a conviction to all.
class QuarantineService {
public:
    QuarantineService(QuarantineOptions, IQuarantineTransport&);

    /// A target died while this request ran on it.
    void onDeath(const DeathReport&, TimePoint now);

    /// A request ended well that had met a death here.
    void onCompleted(Fingerprint, TimePoint now);
    bool refuses(Fingerprint, TimePoint now) const;
    bool pardon(Fingerprint, TimePoint now);
    void onMessage(const QuarantineMessage&, TimePoint now);
    std::vector<QuarantineEntry> entries(TimePoint now) const { return m_quarantine.entries(now); }

private:
    void count(const DeathReport&, TimePoint now);
    void spread(const QuarantineMessage&);

    Quarantine m_quarantine;
    IQuarantineTransport& m_transport;
};

}
