#include "quarantine/quarantineservice.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

namespace guavaspan {

namespace {

    constexpr std::size_t gossipFanout = 4;

}

QuarantineService::QuarantineService(QuarantineOptions options, IQuarantineTransport& transport)
    : m_quarantine(options)
    , m_transport(transport)
{
}

void QuarantineService::gossip(const QuarantineMessage& message)
{
    for (const auto& peer : m_transport.randomPeers(gossipFanout))
        m_transport.send(peer, message);
}

void QuarantineService::recordCrash(const CrashReport& report, TimePoint now)
{
    m_quarantine.onCrash(report, now);
    if (m_quarantine.standing(report.fingerprint, now) != Standing::Convicted)
        return;
    if (!m_quarantine.convict(report.fingerprint, now))
        return;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target } });
    gossip(ConvictionNotice { .fingerprint = report.fingerprint });
}

void QuarantineService::onCrash(const CrashReport& report, TimePoint now)
{
    auto owner = m_transport.quarantineOwnerOf(report.fingerprint);
    if (owner.empty())
        recordCrash(report, now);
    else
        m_transport.send(owner, report);
}

void QuarantineService::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    auto owner = m_transport.quarantineOwnerOf(fingerprint);
    if (owner.empty())
        m_quarantine.onCompleted(fingerprint, now);
    else
        m_transport.send(owner, CompletionReport { .fingerprint = fingerprint });
}

bool QuarantineService::refuses(Fingerprint fingerprint, TimePoint now) const
{
    return m_quarantine.standing(fingerprint, now) == Standing::Convicted;
}

bool QuarantineService::pardon(Fingerprint fingerprint, TimePoint)
{
    bool known = m_quarantine.pardon(fingerprint);
    gossip(PardonNotice { .fingerprint = fingerprint });
    return known;
}

void QuarantineService::onMessage(const QuarantineMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const CrashReport& each) { recordCrash(each, now); },
                   [&](const CompletionReport& each) { m_quarantine.onCompleted(each.fingerprint, now); },
                   [&](const ConvictionNotice& each) {
                       if (m_quarantine.convict(each.fingerprint, now))
                           gossip(each);
                   },
                   [&](const PardonNotice& each) {
                       if (m_quarantine.pardon(each.fingerprint))
                           gossip(each);
                   },
               },
        message);
}

}
