#pragma once

#include "quarantine/crashguard.h"

#include <memory>
#include <set>

namespace guavaspan {

/// Two instances that exchange quarantine messages.
struct GuardFixture {
    TimePoint now { Seconds(100) };
    CrashGuard localGuard;
    CrashGuard peerGuard;

    GuardFixture()
        : localGuard([this](const CrashGuardMessage& message) { peerGuard.onPeerMessage(message, now); }, [](const CrashRecord&) {})
        , peerGuard([this](const CrashGuardMessage& message) { localGuard.onPeerMessage(message, now); }, [](const CrashRecord&) {})
    {
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// Sends the request, on trial if it needs one, to an engine whose connection breaks.
    void interrupt(Fingerprint request, int number, Milliseconds runTime = Milliseconds(20)) { interrupt(request, number, runTime, localGuard.needsTrial(request)); }

    void interrupt(Fingerprint request, int number, Milliseconds runTime, bool onTrial)
    {
        localGuard.onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = now - runTime, .lastHeardAt = now - runTime, .onTrial = onTrial }, now);
    }

    static bool refuses(const CrashGuard& guard, Fingerprint request, TimePoint now) { return guard.retryDelayIfRefused(request, now).has_value(); }

    void crash(int number, const std::vector<Fingerprint>& running)
    {
        for (auto request : running)
            interrupt(request, number);
        now += Seconds(3);
        for (auto* guard : { &localGuard, &peerGuard })
            guard->onTargetUnavailable({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }
};

/// Two instances with a shared store, to whose engines one request is sent.
struct FleetFixture {
    static constexpr Fingerprint request = 7;

    TimePoint now { Seconds(100) };
    bool connected = true;
    bool storeReachable = true;
    std::set<CrashRecord> stored;
    std::vector<std::unique_ptr<CrashGuard>> guards;

    FleetFixture()
    {
        for (std::size_t instance : { 0, 1 }) {
            guards.emplace_back();
            restart(instance);
        }
    }

    void restart(std::size_t instance)
    {
        guards[instance] = std::make_unique<CrashGuard>([this, instance](const CrashGuardMessage& message) {
            auto& peer = guards[1 - instance];
            if (connected && peer)
                peer->onPeerMessage(message, now); }, [this](const CrashRecord& record) {
            if (storeReachable)
                stored.insert(record); });
        for (const auto& record : stored)
            guards[instance]->onStoredRecord(record, now);
    }

    static TargetEntry engine(int number) { return { .id = "engine-" + std::to_string(number), .startedAt = 1 }; }

    /// Sends the request, on trial if it needs one, to an engine whose connection breaks after 20 ms.
    void interrupt(std::size_t instance, int number)
    {
        auto sentAt = now;
        bool onTrial = guards[instance]->needsTrial(request);
        now += Milliseconds(20);
        guards[instance]->onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .onTrial = onTrial }, now);
    }

    /// Sends the request to an engine that becomes silent; its caller leaves after 2 s.
    void abandon(std::size_t instance, int number)
    {
        auto sentAt = now;
        bool onTrial = guards[instance]->needsTrial(request);
        now += Seconds(2);
        guards[instance]->onUnanswered({ .fingerprint = request, .target = engine(number), .sentAt = sentAt, .lastHeardAt = sentAt, .abandoned = true, .onTrial = onTrial }, now);
    }

    void removeEntry(int number)
    {
        for (auto& guard : guards)
            guard->onTargetUnavailable({ .entry = engine(number), .reason = UnavailableReason::EntryRemoved, .at = now });
    }

    void crash(std::size_t instance, int number)
    {
        interrupt(instance, number);
        now += Seconds(3);
        removeEntry(number);
    }

    void tick(Clock::duration duration)
    {
        now += duration;
        for (auto& guard : guards)
            guard->onTick(now);
    }

    bool refuses(std::size_t instance) { return guards[instance]->retryDelayIfRefused(request, now).has_value(); }
};

}
