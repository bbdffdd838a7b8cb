#pragma once

#include "dispatch/dispatcher.h"
#include "handover/itargetoperations.h"
#include "relay/livestream.h"
#include "routing/configurationgate.h"

namespace guavaspan {

/// Counts how moves ended.
class IHandoverObserver {
public:
    virtual ~IHandoverObserver() = default;
    virtual void onHandoverStep(HandoverPhase, HandoverResult) = 0;
};

/// Moves this instance's generations out of engines that leave.
class HandoverService {
public:
    HandoverService(asio::io_context&, Dispatcher&, LiveStreams&, ConfigurationGate&, TargetDirectory&, ITargetOperations&, IHandoverObserver&, std::string instance);

    void onTargetLeft(const TargetLeft&);

private:
    Awaitable<> evacuate(TargetLeft, EngineTraits);
    Awaitable<HandoverResult> perform(const HandoverStep&, const TargetLeft&, const EngineTraits&);
    Awaitable<HandoverResult> copy(std::shared_ptr<LiveStream>, const TargetEntry& destination, const TargetLeft&);
    Awaitable<HandoverResult> stop(std::shared_ptr<LiveStream>, const TargetEntry& destination, const TargetLeft&);
    Awaitable<> interruptIfSilent(std::shared_ptr<LiveStream>);
    Clock::duration startDelay(const std::string& target, const EngineTraits&) const;

    asio::io_context& m_io;
    Dispatcher& m_dispatcher;
    LiveStreams& m_streams;
    ConfigurationGate& m_gate;
    TargetDirectory& m_directory;
    ITargetOperations& m_operations;
    IHandoverObserver& m_observer;
    std::string m_instance;
};

/// Time that an engine's link takes to copy so many tokens within its failure domain.
Clock::duration copyTime(const EngineTraits&, double tokens);

}
