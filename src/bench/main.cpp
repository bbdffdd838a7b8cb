#include "bench/costs.h"
#include "bench/decisions.h"
#include "bench/fleetexperiment.h"
#include "bench/promises.h"
#include "bench/relay.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace guavaspan::bench;

namespace {

int decisionsCommand(const cxxopts::ParseResult& arguments)
{
    DecisionsOptions options { .seed = arguments["seed"].as<std::uint64_t>() };
    options.seconds = arguments["seconds"].as<double>();
    options.csvPath = arguments["csv"].as<std::string>();
    options.scenarioFilter = arguments["only"].as<std::string>();
    options.riskSweep = arguments.count("sweep") > 0;
    return runDecisions(options);
}

int promisesCommand(const cxxopts::ParseResult& arguments)
{
    auto stringList = [&](const char* name) { return arguments[name].as<std::vector<std::string>>(); };
    PromisesOptions options { .instances = stringList("instances"), .instancePidFiles = stringList("instance-pids"), .engines = stringList("engines"), .enginePidFiles = stringList("engine-pids") };
    options.platformAddress = arguments["platform"].as<std::string>();
    options.plainServiceAddress = arguments["plain"].as<std::string>();
    options.callerKey = arguments["caller-key"].as<std::string>();
    options.operatorKey = arguments["operator-key"].as<std::string>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    options.seconds = arguments["seconds"].as<double>();
    options.faultFilter = arguments["faults"].as<std::string>();
    return runPromises(options) == 0 ? 0 : 1;
}

int relayCommand(const cxxopts::ParseResult& arguments)
{
    RelayOptions options { .engines = arguments["engines"].as<std::vector<std::string>>() };
    options.instance = arguments["instances"].as<std::vector<std::string>>().front();
    options.instancePidFile = arguments["instance-pids"].as<std::vector<std::string>>().front();
    options.callerKey = arguments["caller-key"].as<std::string>();
    options.streams = arguments["streams"].as<int>();
    options.tokensPerStream = arguments["tokens"].as<int>();
    return runRelay(options);
}

}

int main(int argc, char** argv)
{
    using Strings = std::vector<std::string>;
    cxxopts::Options options("guavaspan-bench", "Runs the measurement that the first argument names: decisions, fleet, promises, relay or costs.");
    auto add = options.add_options();
    add("what", "Measurement to run", cxxopts::value<std::string>()->default_value("decisions"));
    add("seed", "Random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seconds", "Length of a run; virtual seconds for decisions", cxxopts::value<double>()->default_value("180"));
    add("csv", "CSV file for the results", cxxopts::value<std::string>()->default_value(""));
    add("only", "Run only scenarios whose name contains this text", cxxopts::value<std::string>()->default_value(""));
    add("sweep", "Measure the pool scheduler over a range of overflow risk limits");
    add("instances", "Addresses of the instances", cxxopts::value<Strings>()->default_value(""));
    add("instance-pids", "Files that hold the instances' process ids", cxxopts::value<Strings>()->default_value(""));
    add("engines", "Addresses of the engines", cxxopts::value<Strings>()->default_value(""));
    add("engine-pids", "Files that hold the engines' process ids", cxxopts::value<Strings>()->default_value(""));
    add("platform", "Address of the platform stand-in", cxxopts::value<std::string>()->default_value(""));
    add("plain", "Address of the plain service stand-in", cxxopts::value<std::string>()->default_value(""));
    add("caller-key", "API key of the calling organisation", cxxopts::value<std::string>()->default_value(""));
    add("operator-key", "API key of the operator", cxxopts::value<std::string>()->default_value(""));
    add("streams", "Number of concurrent streams", cxxopts::value<int>()->default_value("300"));
    add("tokens", "Tokens per stream", cxxopts::value<int>()->default_value("400"));
    add("faults", "Faults to inject: all, none, or a part of their names", cxxopts::value<std::string>()->default_value("all"));
    add("help", "Show this help");
    options.parse_positional({ "what" });
    auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    auto measurement = arguments["what"].as<std::string>();
    if (measurement == "costs")
        return runCosts();
    if (measurement == "fleet")
        return runFleet();
    if (measurement == "decisions")
        return decisionsCommand(arguments);
    if (measurement == "relay")
        return relayCommand(arguments);
    if (measurement == "promises")
        return promisesCommand(arguments);
    std::cerr << "unknown measurement: " << measurement << "\n";
    return 2;
}
