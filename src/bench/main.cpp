#include "bench/decisions.h"

#include <cxxopts.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    cxxopts::Options options("guavaspan-bench", "Measurements; the first argument names one of: decisions.");
    options.add_options()("what", "Measurement", cxxopts::value<std::string>()->default_value("decisions"))("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))("seconds", "Length of a run in virtual seconds", cxxopts::value<double>()->default_value("180"))("csv", "File for the figures", cxxopts::value<std::string>()->default_value(""))("only", "Only scenarios whose name contains this", cxxopts::value<std::string>()->default_value(""))("sweep", "Measure the granter over a range of accepted risks")("help", "Show this help");
    options.parse_positional({ "what" });
    auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    auto what = arguments["what"].as<std::string>();
    if (what == "decisions")
        return guavaspan::bench::runDecisions({ .seed = arguments["seed"].as<std::uint64_t>(), .seconds = arguments["seconds"].as<double>(), .csvPath = arguments["csv"].as<std::string>(), .only = arguments["only"].as<std::string>(), .sweep = arguments.count("sweep") > 0 });
    std::cerr << "unknown measurement: " << what << "\n";
    return 2;
}
