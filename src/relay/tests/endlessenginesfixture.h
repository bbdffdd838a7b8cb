#pragma once

#include "net/httpserver.h"
#include "net/tests/endlessserver.h"
#include "quarantine/tests/silentpromptguardtransport.h"
#include "quarantine/tests/trialsstub.h"
#include "relay/activerequests.h"
#include "relay/requesthandler.h"
#include "relay/tests/scriptedoperations.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <fstream>

namespace guavaspan {

inline const std::string sealedHeader = "HTTP/1.1 200 OK\r\nSeal: 1\r\nRequest: r1\r\n";

/// Requests and answers with the fewest headers.
class PlainWireFormat : public IWireFormat {
public:
    CallerRequest parseCallerRequest(const HttpRequest&) const override { return { .requestId = "r1", .maxOutputTokens = 100 }; }

    HttpRequest buildTargetRequest(const HttpRequest& original, const ForwardOptions&) const override
    {
        HttpRequest request { original.method(), original.target(), 11 };
        request.prepare_payload();
        return request;
    }

    HttpRequest buildPeerRequest(const HttpRequest& original, const PeerForwardOptions&) const override { return original; }

    TargetResponseHead parseResponseHead(const http::response_header<>& header) const override
    {
        return { .status = header.result_int(), .sealed = header.count("Seal") > 0, .requestId = std::string(header["Request"]) };
    }
};

/// A relay whose two engines answer without end, and a caller.
struct EndlessEnginesFixture {
    /// Deadline of every request.
    static constexpr auto timeLimit = Milliseconds(700);

    explicit EndlessEnginesFixture(const EndlessAnswer& answer)
        : engines { std::make_unique<EndlessServer>(answer), std::make_unique<EndlessServer>(answer) }
    {
        std::vector<Route> routes;
        routes.push_back({ .name = "idempotent", .host = "host", .pathPrefix = "/idempotent", .retrySafety = RetrySafety::Idempotent, .timeout = timeLimit, .latencyObjective = Milliseconds(50), .maxTargets = 2, .services = { { .service = "plain" } } });
        routes.push_back({ .name = "once", .host = "host", .pathPrefix = "/once", .timeout = timeLimit, .latencyObjective = Milliseconds(50), .services = { { .service = "plain" } } });
        routes.push_back({ .name = "stream", .host = "host", .pathPrefix = "/stream", .retrySafety = RetrySafety::Stream, .timeout = timeLimit, .latencyObjective = timeLimit, .services = { { .service = "writer" } } });
        configuration.adopt({ .version = 1, .routes = routes, .services = { { .name = "plain", .maxConnections = 8 }, { .name = "writer", .engine = EngineTraits { .slots = 4, .memoryTokens = 20000 } } } });
        for (std::size_t i = 0; i < engines.size(); ++i) {
            for (const char* service : { "plain", "writer" })
                directory.onEntryWritten(idOf(service, i), TargetEntry { .id = idOf(service, i), .service = service, .endpoint = engines[i]->endpoint(), .failureDomain = "north", .slots = 4, .startedAt = 1 }, Clock::now());
        }
    }

    static std::string idOf(const std::string& service, std::size_t number) { return service + "-" + std::to_string(number); }

    /// Returns all bytes that a caller receives until the relay closes the connection.
    std::string ask(const std::string& path)
    {
        std::string received;
        PeakMemory memory;
        auto startedAt = Clock::now();
        auto waitedBefore = waitForProcessor();
        asio::co_spawn(io, receiveAll(path, received), asio::detached);
        asio::co_spawn(io, measureDelay(), asio::detached);
        io.restart();
        while (!callerDone && Clock::now() - startedAt < EndlessServer::maxTime)
            io.run_for(Milliseconds(20));
        took = Clock::now() - startedAt;
        waited = waitForProcessor() - waitedBefore;
        // The relay learns a moment later that the caller has closed its connection.
        io.run_for(Milliseconds(100));
        memoryGrowth = memory.growth();
        report = {};
        for (auto& engine : engines) {
            auto engineReport = engine->waitUntilClosed();
            report.connections += engineReport.connections;
            report.bytesSent += engineReport.bytesSent;
            report.abandoned += engineReport.abandoned;
        }
        return received;
    }

    Awaitable<> receiveAll(std::string path, std::string& received)
    {
        callerDone = false;
        asio::ip::tcp::socket socket(io);
        co_await socket.async_connect({ asio::ip::make_address(relayEndpoint.address), relayEndpoint.port }, asTuple);
        auto request = "GET " + path + " HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asTuple);
        if (!callerReads)
            co_await sleepFor(timeLimit);
        std::array<char, 4096> chunk {};
        while (callerReads) {
            auto [error, count] = co_await socket.async_read_some(asio::buffer(chunk), asTuple);
            received.append(chunk.data(), count);
            if (error)
                break;
        }
        callerDone = true;
    }

    /// Measures how late the event loop gets to a timer because of what it does. Time in which other threads have the processor does
    /// not count: the kernel lets a thread wait for seconds on a machine that is busy enough.
    Awaitable<> measureDelay()
    {
        constexpr auto interval = Milliseconds(5);
        while (!callerDone) {
            auto dueAt = Clock::now() + interval;
            auto waitedBefore = waitForProcessor();
            co_await sleepFor(interval);
            auto waited = waitForProcessor() - waitedBefore;
            longestDelay = std::max<Clock::duration>(longestDelay, Clock::now() - dueAt - waited);
        }
    }

    /// Time that this thread was ready to run and had no processor since it began; zero if the kernel does not tell.
    static std::chrono::nanoseconds waitForProcessor()
    {
        std::ifstream statistics("/proc/thread-self/schedstat");
        std::int64_t ran = 0;
        std::int64_t waited = 0;
        statistics >> ran >> waited;
        return std::chrono::nanoseconds(waited);
    }

    /// How long the request took, and how much of this the relay's thread had no processor; printed by assertions that depend on time.
    std::string timing() const
    {
        return fmt::format("took {:.2f} s, {:.2f} s of it without a processor", std::chrono::duration<double>(took).count(), std::chrono::duration<double>(waited).count());
    }

    /// Answers that the crash guard takes for possible crashes.
    std::uint64_t interruptedAnswers() const { return crashGuard.statistics().interruptedAnswers; }

    /// Share of recent requests to the engines that failed.
    double failureRate()
    {
        double rate = 0;
        for (const auto& engine : engines)
            rate = std::max(rate, dispatcher.outcomes().failureRate(toString(engine->endpoint()), Clock::now()));
        return rate;
    }

    std::array<std::unique_ptr<EndlessServer>, 2> engines;
    asio::io_context io;
    PlainWireFormat wireFormat;
    TargetDirectory directory;
    ActiveConfiguration configuration { Seconds(60) };
    FleetView fleet { "self", 1000 };
    Dispatcher dispatcher { io, directory, "north", Random(3) };
    FleetLink link { io, fleet };
    TargetLimits targetLimits { "self" };
    OutputEstimator outputEstimator;
    PlacementClient placement { io, "self", fleet, dispatcher, directory, targetLimits, outputEstimator, link };
    ScriptedOperations operations;
    LiveStreams streams;
    FleetCensus census { "self", Seconds(10) };
    RetryBudget retryBudget { { .ratio = 100 } };
    UsageLedger usage;
    CrashGuard crashGuard { [](const CrashGuardMessage&) {}, [](const CrashRecord&) {} };
    SilentPromptGuardTransport promptGuardTransport;
    TrialsStub trials;
    PromptGuard promptGuard { "self", promptGuardTransport, [](const PromptPartRecord&) {} };
    RelayMetrics metrics;
    Random random { 5 };
    RelayContext context { .io = io, .wireFormat = wireFormat, .configuration = configuration, .directory = directory, .dispatcher = dispatcher, .placement = placement, .operations = operations, .streams = streams, .retryBudget = retryBudget, .outputEstimator = outputEstimator, .usage = usage, .crashGuard = crashGuard, .promptGuard = promptGuard, .trials = trials, .census = census, .fleet = fleet, .failureDomain = "north", .metrics = metrics, .random = random, .targetLimits = targetLimits, .onTargetDraining = [](const TargetEntry&) {}, .activeRequests = std::make_shared<ActiveRequests>() };
    RequestHandler handler { context };
    HttpServer server { io, {}, [this](HttpExchange& exchange) { return handler.handle(exchange); } };
    Endpoint relayEndpoint = *server.listen({ .address = "127.0.0.1" });
    /// Otherwise the caller keeps its connection open until the deadline and reads nothing.
    bool callerReads = true;
    bool callerDone = false;
    Clock::duration longestDelay {};
    Clock::duration took {};
    std::chrono::nanoseconds waited {};
    std::uint64_t memoryGrowth = 0;
    EndlessServerReport report;
};

/// Answers that the relay breaks off because of what the engine sends, and not because the deadline passes.
inline std::vector<EndlessAnswer> malformedAnswers()
{
    auto answers = endlessAnswers(sealedHeader);
    std::erase_if(answers, [](const auto& answer) { return answer.pause.count() > 0 || answer.name.starts_with("body") || answer.name.ends_with("chunks") || answer.name.starts_with("small chunks"); });
    return answers;
}

inline bool isFailure(const std::string& received)
{
    return received.starts_with("HTTP/1.1 502") || received.starts_with("HTTP/1.1 504");
}

}
