#include "bench/relay.h"

#include "bench/internal/processusage.h"
#include "net/eventstreamreader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::bench {

namespace {

    constexpr auto eventTimeout = Seconds(30);

    struct StreamStats {
        std::vector<double> firstTokenSeconds;
        std::vector<double> gapSeconds;
        std::size_t tokens = 0;
        int failures = 0;
        int openStreams = 0;
        double elapsedSeconds = 0;
    };

    double quantile(std::vector<double>& values, double fraction)
    {
        if (values.empty())
            return 0;
        auto position = std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
        return values[position];
    }

    Awaitable<> runStream(HttpCall call, StreamStats& stats)
    {
        EventStreamReader reader(co_await asio::this_coro::executor);
        auto started = Clock::now();
        auto status = co_await reader.open(std::move(call));
        TimePoint lastTokenAt {};
        bool failed = !status || *status != 200;
        while (!failed) {
            auto event = co_await reader.next(eventTimeout);
            if (!event || !*event) {
                failed = !event;
                break;
            }
            if ((*event)->data == "[DONE]")
                break;
            auto now = Clock::now();
            if (lastTokenAt == TimePoint {})
                stats.firstTokenSeconds.push_back(secondsBetween(started, now));
            else
                stats.gapSeconds.push_back(secondsBetween(lastTokenAt, now));
            lastTokenAt = now;
            ++stats.tokens;
        }
        stats.failures += failed;
        --stats.openStreams;
    }

    Awaitable<> runStreams(const RelayOptions& options, bool bypassInstance, StreamStats& stats, double& peakResidentKib)
    {
        auto context = co_await asio::this_coro::executor;
        stats.openStreams = options.streams;
        auto started = Clock::now();
        for (int i = 0; i < options.streams; ++i) {
            nlohmann::json body { { "model", "relay" }, { "prompt", fmt::format("[[tokens={}]] {}", options.tokensPerStream, i) }, { "stream", true } };
            const auto& address = bypassInstance ? options.engines[static_cast<std::size_t>(i) % options.engines.size()] : options.instance;
            HttpCall call { .endpoint = *parseEndpoint(address), .method = "POST", .target = "/v1/completions", .body = body.dump(), .timeout = Seconds(10) };
            call.headers["Authorization"] = "Bearer " + options.callerKey;
            asio::co_spawn(context, runStream(std::move(call), stats), asio::detached);
            co_await sleepFor(Milliseconds(2));
        }
        while (stats.openStreams > 0) {
            peakResidentKib = std::max(peakResidentKib, readProcessUsage(options.instancePidFile).residentKib);
            co_await sleepFor(Milliseconds(50));
        }
        stats.elapsedSeconds = secondsBetween(started, Clock::now());
    }

    StreamStats measureStreams(const RelayOptions& options, bool bypassInstance, double& peakResidentKib)
    {
        asio::io_context context { 1 };
        StreamStats stats;
        asio::co_spawn(context, runStreams(options, bypassInstance, stats, peakResidentKib), asio::detached);
        context.run();
        return stats;
    }

    void printRow(const std::string& name, StreamStats& stats)
    {
        fmt::print("{:<10} {:>8} {:>8} {:>10.0f} {:>10.2f} {:>10.2f} {:>10.2f} {:>10.2f}\n", name, stats.firstTokenSeconds.size(), stats.failures, static_cast<double>(stats.tokens) / stats.elapsedSeconds,
            1e3 * quantile(stats.firstTokenSeconds, 0.5), 1e3 * quantile(stats.firstTokenSeconds, 0.99), 1e3 * quantile(stats.gapSeconds, 0.5), 1e3 * quantile(stats.gapSeconds, 0.99));
    }

}

int runRelay(const RelayOptions& options)
{
    double ignoredPeak = 0;
    auto directStats = measureStreams(options, true, ignoredPeak);
    auto usageBefore = readProcessUsage(options.instancePidFile);
    double peakResidentKib = 0;
    auto relayedStats = measureStreams(options, false, peakResidentKib);
    auto usageAfter = readProcessUsage(options.instancePidFile);
    fmt::print("{:<10} {:>8} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}\n", "path", "streams", "failed", "tokens/s", "ttft50 ms", "ttft99 ms", "gap50 ms", "gap99 ms");
    printRow("direct", directStats);
    printRow("through", relayedStats);
    double usedProcessorSeconds = usageAfter.processorSeconds - usageBefore.processorSeconds;
    fmt::print("instance: {:.2f} s of processor time for {} tokens, {:.0f} tokens a second on one core\n", usedProcessorSeconds, relayedStats.tokens, static_cast<double>(relayedStats.tokens) / std::max(usedProcessorSeconds, 1e-3));
    fmt::print("instance: {:.0f} KiB resident idle, {:.0f} KiB at the peak, {:.1f} KiB per open stream\n", usageBefore.residentKib, peakResidentKib, (peakResidentKib - usageBefore.residentKib) / options.streams);
    return directStats.failures + relayedStats.failures == 0 ? 0 : 1;
}

}
