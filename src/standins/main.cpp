#include "common/log.h"
#include "net/logflusher.h"
#include "standins/engineserver.h"
#include "standins/plainserver.h"
#include "standins/platformserver.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <memory>

using namespace guavaspan;
using namespace guavaspan::standins;

namespace {

/// Prints "NAME ADDRESS" on one line for scripts to parse; logs an error if listening failed.
bool reportAddress(const std::string& name, const Result<Endpoint>& bound)
{
    if (!bound) {
        logEvent(LogLevel::Error, "listen_failed", { { "name", name }, { "detail", bound.error().detail } });
        return false;
    }
    std::cout << name << ' ' << toString(*bound) << std::endl;
    return true;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("guavaspan-standins", "Simulated platform services and targets, for tests and the demo.");
    options.add_options()("platform", "Run the key-value service and the instance list")("engines", "Number of model engines", cxxopts::value<int>()->default_value("0"))("plain", "Number of plain services", cxxopts::value<int>()->default_value("0"))("memory-blocks", "Memory of each engine in blocks of 16 tokens", cxxopts::value<int>()->default_value("3000"))("step-base-ms", "Time of an empty batching step", cxxopts::value<double>()->default_value("18"))("step-sequence-us", "Step time added by each sequence", cxxopts::value<double>()->default_value("80"))("port", "First port; 0 lets the kernel choose", cxxopts::value<int>()->default_value("0"))("seed", "Seed of the output lengths", cxxopts::value<std::uint64_t>()->default_value("1"))("probe-port", "Print a free port and exit")("help", "Show this help");
    auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }

    asio::io_context context { 1 };
    if (arguments.count("probe-port") > 0) {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        std::cout << acceptor.local_endpoint().port() << std::endl;
        return 0;
    }
    auto port = static_cast<std::uint16_t>(arguments["port"].as<int>());
    auto nextEndpoint = [&] {
        Endpoint endpoint { .address = "127.0.0.1", .port = port };
        if (port != 0)
            ++port;
        return endpoint;
    };
    bool allListening = true;
    std::unique_ptr<PlatformServer> platform;
    if (arguments.count("platform") > 0) {
        platform = std::make_unique<PlatformServer>(context);
        allListening = reportAddress("platform", platform->listen(nextEndpoint()));
    }
    std::vector<std::unique_ptr<EngineServer>> engineServers;
    for (int i = 0; allListening && i < arguments["engines"].as<int>(); ++i) {
        EngineServerOptions engineOptions { .seed = arguments["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i) };
        engineOptions.profile.memoryBlocks = arguments["memory-blocks"].as<int>();
        engineOptions.profile.stepBaseSeconds = arguments["step-base-ms"].as<double>() / 1e3;
        engineOptions.profile.perSequenceSeconds = arguments["step-sequence-us"].as<double>() / 1e6;
        engineServers.push_back(std::make_unique<EngineServer>(context, engineOptions));
        allListening = reportAddress(fmt::format("engine-{}", i + 1), engineServers.back()->listen(nextEndpoint()));
    }
    std::vector<std::unique_ptr<PlainServer>> plainServers;
    for (int i = 0; allListening && i < arguments["plain"].as<int>(); ++i) {
        plainServers.push_back(std::make_unique<PlainServer>(context));
        allListening = reportAddress(fmt::format("plain-{}", i + 1), plainServers.back()->listen(nextEndpoint()));
    }
    if (!allListening)
        return 1;
    std::cout << "ready" << std::endl;

    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    asio::co_spawn(context, flushLogPeriodically(), asio::detached);
    context.run();
    return 0;
}
