#include "common/log.h"
#include "net/logflusher.h"
#include "soak/budgetcheck.h"
#include "soak/engine.h"
#include "soak/soak.h"
#include "soak/stopcheck.h"
#include "standins/metadataserver.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

using namespace guavaspan;
using namespace guavaspan::soak;

namespace {

constexpr int usageErrorExitCode = 2;

/// Below 1 because engines deliberately fail one plain request in twenty and lose one response in forty.
constexpr double minServedShareAfterFaults = 0.85;

int runStore(const cxxopts::ParseResult& arguments)
{
    asio::io_context io { 1 };
    standins::MetadataServer store(io);
    if (!store.listen(*parseEndpoint(arguments["listen"].as<std::string>())))
        return 1;
    io.run();
    return 0;
}

int runEngine(const cxxopts::ParseResult& arguments)
{
    auto endpointArgument = [&](const char* name) { return *parseEndpoint(arguments[name].as<std::string>()); };
    asio::io_context io { 1 };
    Engine engine(io, { .id = arguments["id"].as<std::string>(), .service = arguments["service"].as<std::string>(), .failureDomain = arguments["zone"].as<std::string>(), .listenEndpoint = endpointArgument("listen"), .advertisedEndpoint = endpointArgument("announced"), .storeEndpoint = endpointArgument("store"), .recordPath = arguments["records"].as<std::string>(), .generates = arguments.count("generates") > 0, .requestLimit = arguments["limit"].as<double>(), .brittle = arguments.count("brittle") > 0, .seed = arguments["seed"].as<std::uint64_t>() });
    if (!engine.start())
        return 1;
    io.run();
    return 0;
}

int runSoak(const cxxopts::ParseResult& arguments)
{
    SoakOptions options { .seed = arguments["seed"].as<std::uint64_t>(), .faultSeconds = arguments["seconds"].as<double>(), .instances = arguments["instances"].as<int>(), .engines = arguments["engines"].as<int>(), .callers = arguments["callers"].as<int>(), .faults = arguments["faults"].as<std::string>(), .crashingRequests = arguments.count("crashing-requests") > 0, .crashingCallers = arguments["crashing-callers"].as<int>(), .crashDelay = Milliseconds(arguments["crash-delay"].as<int>()), .crashesAfterAnswers = arguments.count("crashes-after-answers") > 0, .popularRequests = arguments["popular-requests"].as<int>(), .crashingPrompts = arguments.count("crashing-prompts") > 0, .brittleEngines = arguments.count("brittle-engines") > 0, .pausingEngines = arguments.count("pausing-engines") > 0, .statedLimits = arguments.count("stated-limits") > 0, .rolling = arguments.count("rolling") > 0, .repeatedSignals = arguments.count("repeated-signals") > 0, .frozenStops = arguments.count("frozen-stops") > 0, .silentStore = arguments.count("silent-store") > 0, .restoredStore = arguments.count("restored-store") > 0, .evacuations = arguments.count("evacuations") > 0, .oddEntries = arguments.count("odd-entries") > 0, .greyEngines = arguments.count("grey-engines") > 0, .lastingStreams = arguments.count("lasting-streams") > 0, .variedCallers = arguments.count("varied-callers") > 0, .program = arguments["program"].as<std::string>(), .previousProgram = arguments["previous-program"].as<std::string>(), .soakProgram = std::filesystem::canonical("/proc/self/exe"), .folder = arguments["folder"].as<std::string>() };
    for (const auto& program : { options.program, options.previousProgram }) {
        if (program.empty() || std::filesystem::exists(program))
            continue;
        std::cerr << "program " << program << " does not exist\n";
        return usageErrorExitCode;
    }
    if (options.folder.empty())
        options.folder = fmt::format("{}/guavaspan-soak-{}-{}", std::filesystem::temp_directory_path().string(), options.seed, soakNow());
    if (std::filesystem::exists(options.folder)) {
        std::cerr << "--folder " << options.folder << " exists; records of an earlier run would be read as this run's\n";
        return usageErrorExitCode;
    }
    Soak soak(options);
    auto violations = soak.run();
    double servedShare = servedShareAfterFaults(soak.record());
    if (servedShare < minServedShareAfterFaults)
        violations.push_back({ .guarantee = "callers are served again after the last fault", .evidence = fmt::format("{:.2f} of valid requests were served", servedShare) });
    for (const auto& violation : violations)
        std::cout << "violation: " << violation.guarantee << ": " << violation.evidence << "\n";
    std::cout << fmt::format("seed {}: {} attempts, {} engine records, {:.3f} served after the last fault, {} violations\n", options.seed, soak.record().attempts.size(), soak.record().engineRecords.size(), servedShare, violations.size());
    for (const auto& [name, count] : soak.faultCounts())
        std::cout << "  " << count << " x " << name << "\n";
    std::map<CutReason, int> cutCounts;
    std::ofstream cutOutput(options.folder + "/cut_responses");
    for (const auto& cut : findCutResponses(soak.record())) {
        ++cutCounts[cut.reason];
        cutOutput << describe(cut) << "\n";
    }
    for (const auto& [reason, count] : cutCounts)
        std::cout << fmt::format("  {} x response cut around a stop: {}\n", count, toString(reason));
    for (bool streams : { true, false }) {
        auto use = worstRetryUse(soak.record(), streams);
        if (use.repeats > 0)
            std::cout << fmt::format("  at most {} of {:.0f} allowed repeats of {}, {} of them resumed generations\n", use.repeats, use.allowed, streams ? "streams" : "plain requests", use.resumes);
    }
    if (violations.empty())
        std::filesystem::remove_all(options.folder);
    else
        std::cout << "logs and records: " << options.folder << "\n";
    return violations.empty() ? 0 : 1;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("guavaspan-soak", "Runs the entry service's real processes under faults and checks its guarantees.\nUsage: guavaspan-soak run [options]; it starts the store and engine processes itself.");
    options.add_options()("verb", "run, store or engine", cxxopts::value<std::string>()->default_value("run"))("seed", "Seed of faults and requests", cxxopts::value<std::uint64_t>()->default_value("1"))("seconds", "Seconds of fault injection; 20 more seconds without faults follow", cxxopts::value<double>()->default_value("20"))("instances", "Number of instances of the entry service", cxxopts::value<int>()->default_value("4"))("engines", "Number of engines; a third of them serve plain requests", cxxopts::value<int>()->default_value("6"))("callers", "Number of concurrent callers", cxxopts::value<int>()->default_value("24"))("faults", "all, planned or none", cxxopts::value<std::string>()->default_value("all"))("crashing-requests", "Some callers send requests that crash engines")("crashing-callers", "Callers that send requests that crash engines, at the same time", cxxopts::value<int>()->default_value("2"))("crash-delay", "Milliseconds from the begin of the execution to the crash", cxxopts::value<int>()->default_value("0"))("crashes-after-answers", "Requests that crash engines are answered for two seconds before")("popular-requests", "Number of look-ups that several callers send alike", cxxopts::value<int>()->default_value("0"))("crashing-prompts", "Some callers send requests that crash engines by a part of their prompts")("brittle-engines", "Engines of plain requests end if they reject too many, and say so")("pausing-engines", "Engines fall silent for a second at times")("stated-limits", "Engines state limits of their requests from time to time")("rolling", "Instances are restarted in series that overlap")("repeated-signals", "Stopping instances get more stop signals")("frozen-stops", "Some instances stand still around their stops")("silent-store", "The store is silent during some stops")("restored-store", "The store comes back from copies that are some seconds old")("evacuations", "Failure domains are evacuated for some seconds at a time")("odd-entries", "Another writer leaves odd entries among those of the engines")("grey-engines", "Engines of plain requests fail or refuse many of them at times")("lasting-streams", "Some streams last up to ten seconds")("varied-callers", "Some callers are slow, idle, or send on after the end of a connection was announced")("limit", "Requests per second that an engine states as its limit", cxxopts::value<double>()->default_value("0"))("program", "Path of the guavaspan program", cxxopts::value<std::string>()->default_value("build/release/src/guavaspan"))("previous-program", "Path of an earlier build of the program, which instances run until their first restart", cxxopts::value<std::string>()->default_value(""))("folder", "Folder for logs and records", cxxopts::value<std::string>()->default_value(""))("listen", "Address that a store or an engine listens on", cxxopts::value<std::string>()->default_value(""))("announced", "Address that an engine publishes", cxxopts::value<std::string>()->default_value(""))("store", "Address of the store for an engine", cxxopts::value<std::string>()->default_value(""))("id", "Id of an engine", cxxopts::value<std::string>()->default_value(""))("service", "Service of an engine", cxxopts::value<std::string>()->default_value(""))("zone", "Failure domain of an engine", cxxopts::value<std::string>()->default_value(""))("records", "File for the records of an engine", cxxopts::value<std::string>()->default_value(""))("brittle", "The engine ends if it rejects too many requests in a second")("generates", "The engine answers with event streams")("plain", "The engine answers with plain responses")("help", "Show this help");
    options.parse_positional("verb");
    try {
        auto arguments = options.parse(argc, argv);
        auto verb = arguments["verb"].as<std::string>();
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (verb == "store")
            return runStore(arguments);
        if (verb == "engine")
            return runEngine(arguments);
        if (verb == "run")
            return runSoak(arguments);
        std::cerr << "unknown verb " << verb << "\n";
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
    }
    return usageErrorExitCode;
}
