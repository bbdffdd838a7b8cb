#include "quarantine/quarantineservice.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

namespace guavaspan {

namespace {

    constexpr std::size_t spreadFanout = 4;

}

QuarantineService::QuarantineService(QuarantineOptions options, IQuarantineTransport& transport)
    : m_quarantine(options)
    , m_transport(transport)
{
}

void QuarantineService::spread(const QuarantineMessage& message)
{
    for (const auto& peer : m_transport.somePeers(spreadFanout))
        m_transport.send(peer, message);
}

void QuarantineService::count(const DeathReport& report, TimePoint now)
{
    m_quarantine.onDeath(report, now);
    if (m_quarantine.standing(report.fingerprint, now) != Standing::Convicted)
        return;
    if (!m_quarantine.convict(report.fingerprint, now))
        return;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(report.fingerprint) }, { "target", report.target } });
    spread(ConvictionNews { .fingerprint = report.fingerprint });
}

void QuarantineService::onDeath(const DeathReport& report, TimePoint now)
{
    auto counter = m_transport.counterOf(report.fingerprint);
    if (counter.empty())
        count(report, now);
    else
        m_transport.send(counter, report);
}

void QuarantineService::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    auto counter = m_transport.counterOf(fingerprint);
    if (counter.empty())
        m_quarantine.onCompleted(fingerprint, now);
    else
        m_transport.send(counter, CompletionReport { .fingerprint = fingerprint });
}

bool QuarantineService::refuses(Fingerprint fingerprint, TimePoint now) const
{
    return m_quarantine.standing(fingerprint, now) == Standing::Convicted;
}

bool QuarantineService::pardon(Fingerprint fingerprint, TimePoint)
{
    bool known = m_quarantine.pardon(fingerprint);
    spread(PardonNews { .fingerprint = fingerprint });
    return known;
}

void QuarantineService::onMessage(const QuarantineMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const DeathReport& each) { count(each, now); },
                   [&](const CompletionReport& each) { m_quarantine.onCompleted(each.fingerprint, now); },
                   [&](const ConvictionNews& each) {
                       if (m_quarantine.convict(each.fingerprint, now))
                           spread(each);
                   },
                   [&](const PardonNews& each) {
                       if (m_quarantine.pardon(each.fingerprint))
                           spread(each);
                   },
               },
        message);
}

}
