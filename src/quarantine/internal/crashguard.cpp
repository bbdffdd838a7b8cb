#include "quarantine/crashguard.h"

#include "common/hash.h"
#include "common/log.h"
#include "common/overloaded.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// The entry of a crashed target lapses some seconds after it, and a restarted one shows sooner.
    constexpr auto evidenceTime = Seconds(8);
    /// Targets that crash together do so of another cause: their crashes count as one.
    constexpr auto incidentTime = Seconds(1);
    /// Crashes after which a request is refused. Many callers may want the same, and it then runs on
    /// several targets at any moment, so two may be chance.
    constexpr int crashesToConvict = 3;

}

CrashGuard::CrashGuard(Teller tell)
    : m_tell(std::move(tell))
    , m_quarantine(QuarantineOptions { .deathsToConvict = crashesToConvict })
{
}

void CrashGuard::forgetOld(TimePoint now)
{
    std::erase_if(m_brokenOff, [&](const BrokenOff& each) { return each.at + evidenceTime < now; });
    std::erase_if(m_lastDeath, [&](const auto& each) { return each.second + incidentTime < now; });
}

bool CrashGuard::note(const DeathReport& report, TimePoint now)
{
    forgetOld(now);
    return m_lastDeath.emplace(report.fingerprint, now).second && m_quarantine.onDeath(report, now);
}

void CrashGuard::onDeath(const BrokenOff& broken, TimePoint now)
{
    DeathReport report { .fingerprint = broken.request, .target = broken.target, .incarnation = std::to_string(broken.startedAt) };
    if (!note(report, now))
        return;
    logEvent(LogLevel::Info, "request_suspected", { { "fingerprint", hexOf(broken.request) }, { "target", broken.target } });
    m_tell(report);
    judge(broken.request, broken.target, now);
}

void CrashGuard::judge(Fingerprint request, const std::string& target, TimePoint now)
{
    if (m_quarantine.standing(request, now) != Standing::Convicted || !m_quarantine.convict(request, now))
        return;
    logEvent(LogLevel::Warning, "request_convicted", { { "fingerprint", hexOf(request) }, { "target", target } });
    m_tell(ConvictionNews { .fingerprint = request });
}

void CrashGuard::onBrokenOff(Fingerprint request, const TargetEntry& target, TimePoint now)
{
    forgetOld(now);
    m_brokenOff.push_back({ .request = request, .target = target.id, .startedAt = target.startedAt, .at = now });
}

/// A target that announced its leave, or whose entry went first, ends its runs without having crashed.
void CrashGuard::onTargetLeft(const TargetUnavailable& left)
{
    if (left.reason != UnavailableReason::EntryRemoved && left.reason != UnavailableReason::Restarted)
        return;
    forgetOld(left.at);
    auto there = [&](const BrokenOff& each) { return each.target == left.entry.id && each.startedAt == left.entry.startedAt; };
    std::vector<BrokenOff> victims;
    std::copy_if(m_brokenOff.begin(), m_brokenOff.end(), std::back_inserter(victims), there);
    std::erase_if(m_brokenOff, there);
    for (const auto& each : victims)
        onDeath(each, left.at);
}

void CrashGuard::onCompleted(Fingerprint request, TimePoint now)
{
    if (m_quarantine.onCompleted(request, now))
        m_tell(CompletionReport { .fingerprint = request });
}

void CrashGuard::onPeerNews(const QuarantineMessage& message, TimePoint now)
{
    std::visit(Overloaded {
                   [&](const DeathReport& each) {
                       if (note(each, now))
                           judge(each.fingerprint, each.target, now);
                   },
                   [&](const CompletionReport& each) { m_quarantine.onCompleted(each.fingerprint, now); },
                   [&](const ConvictionNews& each) { m_quarantine.convict(each.fingerprint, now); },
                   [&](const PardonNews& each) { m_quarantine.pardon(each.fingerprint); },
               },
        message);
}

bool CrashGuard::refuses(Fingerprint request, TimePoint now) const
{
    return m_quarantine.standing(request, now) == Standing::Convicted;
}

}
