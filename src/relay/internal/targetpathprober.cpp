#include "relay/targetpathprober.h"

#include "common/log.h"
#include "net/eventloop.h"

#include <algorithm>
#include <boost/beast/core/tcp_stream.hpp>

namespace guavaspan {

namespace {

    constexpr auto updateInterval = Milliseconds(100);
    constexpr auto probeInterval = Milliseconds(500);
    constexpr auto connectTimeout = Milliseconds(400);

}

TargetPathProber::TargetPathProber(asio::io_context& io, Dispatcher& dispatcher, TargetDirectory& directory, Random random)
    : m_io(io)
    , m_dispatcher(dispatcher)
    , m_directory(directory)
    , m_random(random)
{
}

Awaitable<> TargetPathProber::run()
{
    auto nextProbeAt = Clock::now();
    while (true) {
        co_await sleepFor(updateInterval);
        // Listing all targets takes too long to be done ten times a second in a large fleet.
        if (!m_dispatcher.targetPath().inDoubt())
            continue;
        update();
        if (Clock::now() < nextProbeAt)
            continue;
        auto usable = m_directory.usableTargets();
        std::shuffle(usable.begin(), usable.end(), m_random);
        auto targets = m_dispatcher.targetPath().targetsToProbe(usable);
        if (targets.empty())
            continue;
        nextProbeAt = Clock::now() + probeInterval;
        for (const auto* target : targets)
            asio::co_spawn(m_io, probe(*target), reportFailedHandler);
    }
}

void TargetPathProber::update()
{
    auto& path = m_dispatcher.targetPath();
    auto usable = m_directory.usableTargets();
    for (const auto& service : path.update(usable)) {
        bool lost = path.isLost(service);
        m_dispatcher.forgetOutcomes(service);
        logEvent(lost ? LogLevel::Warning : LogLevel::Info, lost ? "target_path_lost" : "target_path_regained", { { "service", service }, { "targets", std::int64_t(m_directory.usableTargets(service).size()) } });
    }
}

Awaitable<> TargetPathProber::probe(TargetEntry target)
{
    // An evacuation may have begun since the target was chosen.
    if (m_directory.isEvacuated(target))
        co_return;
    beast::tcp_stream stream(m_io);
    boost::system::error_code error;
    asio::ip::tcp::endpoint remote { asio::ip::make_address(target.endpoint.address, error), target.endpoint.port };
    stream.expires_after(connectTimeout);
    auto [connectError] = co_await stream.async_connect(remote, asTuple);
    if (connectError)
        m_dispatcher.targetPath().onConnectFailed(target);
    else
        m_dispatcher.targetPath().onConnected(target);
}

}
