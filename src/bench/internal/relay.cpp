#include "bench/relay.h"

#include "bench/internal/processusage.h"
#include "net/eventstreamreader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaspan::bench {

namespace {

    constexpr auto silenceLimit = Seconds(30);

    struct Measures {
        std::vector<double> firstTokens;
        std::vector<double> gaps;
        std::size_t tokens = 0;
        int failures = 0;
        int open = 0;
        double seconds = 0;
    };

    double quantile(std::vector<double>& values, double part)
    {
        if (values.empty())
            return 0;
        auto position = std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
        return values[position];
    }

    Awaitable<> oneStream(HttpCall call, Measures& measures)
    {
        EventStreamReader reader(co_await asio::this_coro::executor);
        auto started = Clock::now();
        auto status = co_await reader.open(std::move(call));
        TimePoint last {};
        bool failed = !status || *status != 200;
        while (!failed) {
            auto event = co_await reader.next(silenceLimit);
            if (!event || !*event) {
                failed = !event;
                break;
            }
            if ((*event)->data == "[DONE]")
                break;
            auto now = Clock::now();
            if (last == TimePoint {})
                measures.firstTokens.push_back(secondsBetween(started, now));
            else
                measures.gaps.push_back(secondsBetween(last, now));
            last = now;
            ++measures.tokens;
        }
        measures.failures += failed;
        --measures.open;
    }

    Awaitable<> allStreams(const RelayOptions& options, bool direct, Measures& measures, double& residentAtPeak)
    {
        auto context = co_await asio::this_coro::executor;
        measures.open = options.streams;
        auto started = Clock::now();
        for (int i = 0; i < options.streams; ++i) {
            nlohmann::json body { { "model", "relay" }, { "prompt", fmt::format("[[tokens={}]] {}", options.tokensPerStream, i) }, { "stream", true } };
            const auto& address = direct ? options.engines[static_cast<std::size_t>(i) % options.engines.size()] : options.instance;
            HttpCall call { .endpoint = *parseEndpoint(address), .method = "POST", .target = "/v1/completions", .body = body.dump(), .timeout = Seconds(10) };
            call.headers["Authorization"] = "Bearer " + options.callerKey;
            asio::co_spawn(context, oneStream(std::move(call), measures), asio::detached);
            co_await sleepFor(Milliseconds(2));
        }
        while (measures.open > 0) {
            residentAtPeak = std::max(residentAtPeak, usageOfProcess(options.instancePidFile).residentKib);
            co_await sleepFor(Milliseconds(50));
        }
        measures.seconds = secondsBetween(started, Clock::now());
    }

    Measures measure(const RelayOptions& options, bool direct, double& residentAtPeak)
    {
        asio::io_context context { 1 };
        Measures measures;
        asio::co_spawn(context, allStreams(options, direct, measures, residentAtPeak), asio::detached);
        context.run();
        return measures;
    }

    void print(const std::string& name, Measures& measures)
    {
        fmt::print("{:<10} {:>8} {:>8} {:>10.0f} {:>10.2f} {:>10.2f} {:>10.2f} {:>10.2f}\n", name, measures.firstTokens.size(), measures.failures, static_cast<double>(measures.tokens) / measures.seconds,
            1e3 * quantile(measures.firstTokens, 0.5), 1e3 * quantile(measures.firstTokens, 0.99), 1e3 * quantile(measures.gaps, 0.5), 1e3 * quantile(measures.gaps, 0.99));
    }

}

int runRelay(const RelayOptions& options)
{
    double ignored = 0;
    auto direct = measure(options, true, ignored);
    auto before = usageOfProcess(options.instancePidFile);
    double peak = 0;
    auto through = measure(options, false, peak);
    auto after = usageOfProcess(options.instancePidFile);
    fmt::print("{:<10} {:>8} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}\n", "path", "streams", "failed", "tokens/s", "ttft50 ms", "ttft99 ms", "gap50 ms", "gap99 ms");
    print("direct", direct);
    print("through", through);
    double processor = after.processorSeconds - before.processorSeconds;
    fmt::print("instance: {:.2f} s of processor time for {} tokens, {:.0f} tokens a second on one core\n", processor, through.tokens, static_cast<double>(through.tokens) / std::max(processor, 1e-3));
    fmt::print("instance: {:.0f} KiB resident idle, {:.0f} KiB at the peak, {:.1f} KiB a live stream\n", before.residentKib, peak, (peak - before.residentKib) / options.streams);
    return direct.failures + through.failures == 0 ? 0 : 1;
}

}
