#include "app/commands.h"

#include "app/operatorclient.h"
#include "app/tables.h"
#include "explain/requestexplanation.h"
#include "instance/instance.h"
#include "platform/entrymain.h"

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace guavaspan {

namespace {

    namespace leaf = boost::leaf;

    constexpr const char* overview = R"(Usage: guavaspan COMMAND [OPTIONS]

Commands:
  serve --settings FILE        run an instance
  entry [--settings FILE]      run an entry instance on the deployment platform
  settings check FILE          check a settings file
  ticket submit FILE           submit a change ticket
  ticket show N | ticket list  show accepted tickets
  config show                  show the configuration in force
  status                       show an instance's state
  usage [--organisation NAME]  show recorded usage
  explain REQUEST_ID           show every decision made for a request
  explain REQUEST_ID --logs FILE...  the same from log files, one per instance
  claim show | claim settle    look up or settle a non-idempotent request
  pardon FINGERPRINT           let a quarantined request run again
  version                      print the version

Exit codes: 0 success, 1 failure, 2 usage error, 3 refused, 4 outcome unknown.
Each command has --help.
)";

    cxxopts::Options clientOptions(const std::string& name, const std::string& help)
    {
        cxxopts::Options options("guavaspan " + name, help);
        options.add_options()("instance", "Address of any instance", cxxopts::value<std::string>()->default_value("127.0.0.1:8080"))("key", "Operator's key; the default is the environment variable GUAVASPAN_KEY", cxxopts::value<std::string>()->default_value(""))("json", "Print JSON")("help", "Show this help");
        return options;
    }

    /// Prints the error of a wrong command line and returns its exit code.
    int usageError(const std::string& message)
    {
        std::cerr << message << "\n";
        return ExitUsage;
    }

    std::optional<InstanceAccess> accessFromOptions(const cxxopts::ParseResult& arguments)
    {
        auto endpoint = parseEndpoint(arguments["instance"].as<std::string>());
        if (!endpoint)
            return std::nullopt;
        auto key = arguments["key"].as<std::string>();
        const char* fromEnvironment = std::getenv("GUAVASPAN_KEY");
        if (key.empty() && fromEnvironment)
            key = fromEnvironment;
        return InstanceAccess { .endpoint = *endpoint, .key = key };
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            return std::nullopt;
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    int exitCodeOf(unsigned status, const std::string& body)
    {
        if (status < 300)
            return ExitSuccess;
        bool outcomeUnknown = body.find(R"("outcome":"unknown")") != std::string::npos;
        return outcomeUnknown ? ExitOutcomeUnknown : ExitRefused;
    }

    /// Prints an instance's response as JSON or as a table; returns the command's exit code.
    int printResponse(const Result<HttpResponse>& response, bool asJson)
    {
        if (!response) {
            std::cerr << describe(response.error()) << "\n";
            return response.error().outcome == Outcome::Unknown ? ExitOutcomeUnknown : ExitFailure;
        }
        const auto& body = response->body();
        std::cout << (asJson ? body + "\n" : formatTable(body));
        return exitCodeOf(response->result_int(), body);
    }

    using Arguments = std::vector<std::string>;

    cxxopts::ParseResult parseArguments(cxxopts::Options& options, const Arguments& arguments)
    {
        std::vector<const char*> pointers { "guavaspan" };
        for (const auto& argument : arguments)
            pointers.push_back(argument.c_str());
        return options.parse(static_cast<int>(pointers.size()), pointers.data());
    }

    int callAndPrint(const std::string& name, const std::string& help, const Arguments& arguments, const std::string& method, const std::string& target, const std::string& body = {})
    {
        auto options = clientOptions(name, help);
        options.allow_unrecognised_options();
        auto parsed = parseArguments(options, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return ExitSuccess;
        }
        auto access = accessFromOptions(parsed);
        if (!access)
            return usageError("--instance must be an IP address and port");
        return printResponse(callInstance(*access, method, target, body), parsed.count("json") > 0);
    }

    void printFaults(const SettingsFaults& faults)
    {
        for (const auto& fault : faults.faults)
            std::cerr << fmt::format("line {}: {} {}\n", fault.line, fault.location, fault.message);
    }

    int serveCommand(const Arguments& arguments)
    {
        cxxopts::Options options("guavaspan serve", "Run an instance.");
        options.add_options()("settings", "Settings file", cxxopts::value<std::string>())("help", "Show this help");
        auto parsed = parseArguments(options, arguments);
        if (parsed.count("help") > 0 || parsed.count("settings") == 0) {
            std::cout << options.help();
            return parsed.count("help") > 0 ? ExitSuccess : ExitUsage;
        }
        return leaf::try_handle_all(
            [&]() -> leaf::result<int> {
                BOOST_LEAF_AUTO(settings, loadSettings(parsed["settings"].as<std::string>()));
                Instance instance(std::move(settings));
                return instance.run();
            },
            [](const SettingsFaults& faults) {
                printFaults(faults);
                return static_cast<int>(ExitUsage);
            },
            [] { return static_cast<int>(ExitFailure); });
    }

    int entryCommand(const Arguments& arguments)
    {
        cxxopts::Options options("guavaspan entry", "Run an entry instance on the deployment platform.");
        options.add_options()("settings", "Settings file of the platform", cxxopts::value<std::string>()->default_value(platform::defaultSettingsPath()))("check", "Only check the settings")("usage", "Print the recorded usage of each organisation")("help", "Show this help");
        auto parsed = parseArguments(options, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return ExitSuccess;
        }
        auto path = parsed["settings"].as<std::string>();
        if (parsed.count("usage") > 0)
            return platform::printUsage(path);
        return parsed.count("check") > 0 ? platform::checkEntrySettings(path) : platform::runEntry(path);
    }

    int explainLogs(const std::string& requestId, const Arguments& files)
    {
        std::vector<InstanceLog> logs;
        for (const auto& path : files) {
            auto text = readFile(path);
            if (!text)
                return usageError(path + " cannot be opened");
            logs.push_back({ .instance = std::filesystem::path(path).stem().string(), .text = std::move(*text) });
        }
        auto explanation = explainRequest(requestId, logs);
        if (!explanation) {
            std::cerr << "no log line mentions " << requestId << "\n";
            return ExitFailure;
        }
        std::cout << toText(*explanation);
        return ExitSuccess;
    }

    int settingsCommand(const Arguments& arguments)
    {
        if (arguments.size() != 2 || arguments[0] != "check")
            return usageError("usage: guavaspan settings check FILE");
        return leaf::try_handle_all(
            [&]() -> leaf::result<int> {
                BOOST_LEAF_CHECK(loadSettings(arguments[1]));
                std::cout << "the settings are valid\n";
                return static_cast<int>(ExitSuccess);
            },
            [](const SettingsFaults& faults) {
                printFaults(faults);
                return static_cast<int>(ExitRefused);
            },
            [] { return static_cast<int>(ExitFailure); });
    }

    int ticketCommand(const Arguments& arguments)
    {
        const std::string usage = "usage: guavaspan ticket submit FILE | show N | list";
        if (arguments.empty())
            return usageError(usage);
        if (arguments[0] == "list")
            return callAndPrint("ticket list", "List recent tickets.", arguments, "GET", "/v1/tickets");
        if (arguments.size() < 2)
            return usageError(usage);
        if (arguments[0] == "show")
            return callAndPrint("ticket show N", "Show an accepted ticket.", arguments, "GET", "/v1/tickets/" + arguments[1]);
        if (arguments[0] != "submit")
            return usageError(usage);
        auto text = readFile(arguments[1]);
        if (!text && arguments[1] != "--help")
            return usageError(arguments[1] + " cannot be opened");
        return callAndPrint("ticket submit FILE", "Submit a change ticket.", arguments, "POST", "/v1/tickets", text.value_or(""));
    }

    int claimCommand(const Arguments& arguments)
    {
        const std::string usage = "usage: guavaspan claim show|settle --organisation O --service S --idempotency-key K [--outcome ran|not_run]";
        cxxopts::Options options("guavaspan claim", "Look up or settle a non-idempotent request.");
        options.add_options()("organisation", "Organisation", cxxopts::value<std::string>()->default_value(""))("service", "Service", cxxopts::value<std::string>()->default_value(""))("idempotency-key", "The caller's idempotency key", cxxopts::value<std::string>()->default_value(""))("outcome", "ran or not_run", cxxopts::value<std::string>()->default_value(""));
        options.allow_unrecognised_options();
        if (arguments.empty())
            return usageError(usage);
        auto parsed = parseArguments(options, arguments);
        auto option = [&](const char* name) { return parsed[name].as<std::string>(); };
        if (arguments[0] == "show")
            return callAndPrint("claim show", usage, arguments, "GET", fmt::format("/v1/claims?organisation={}&service={}&key={}", option("organisation"), option("service"), option("idempotency-key")));
        if (arguments[0] != "settle")
            return usageError(usage);
        return callAndPrint("claim settle", usage, arguments, "POST", "/v1/claims", settlementJson(option("organisation"), option("service"), option("idempotency-key"), option("outcome")));
    }

    int usageCommand(const Arguments& arguments)
    {
        cxxopts::Options options("guavaspan usage", "Show recorded usage.");
        options.add_options()("organisation", "Only this organisation", cxxopts::value<std::string>()->default_value(""));
        options.allow_unrecognised_options();
        auto organisation = parseArguments(options, arguments)["organisation"].as<std::string>();
        return callAndPrint("usage", "Show recorded usage; --organisation NAME limits it to one organisation.", arguments, "GET", organisation.empty() ? "/v1/usage" : "/v1/usage?organisation=" + organisation);
    }

}

int runCommand(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        std::cout << overview;
        return arguments.empty() ? ExitUsage : ExitSuccess;
    }
    Arguments commandArguments(arguments.begin() + 1, arguments.end());
    const auto& name = arguments[0];
    try {
        if (name == "serve")
            return serveCommand(commandArguments);
        if (name == "entry")
            return entryCommand(commandArguments);
        if (name == "settings")
            return settingsCommand(commandArguments);
        if (name == "ticket")
            return ticketCommand(commandArguments);
        if (name == "config")
            return callAndPrint("config show", "Show the configuration in force.", commandArguments, "GET", "/v1/configuration");
        if (name == "status")
            return callAndPrint("status", "Show an instance's state.", commandArguments, "GET", "/v1/status");
        if (name == "usage")
            return usageCommand(commandArguments);
        if (name == "claim")
            return claimCommand(commandArguments);
        if (name == "explain" && commandArguments.size() > 2 && commandArguments[1] == "--logs")
            return explainLogs(commandArguments[0], { commandArguments.begin() + 2, commandArguments.end() });
        if (name == "explain" && !commandArguments.empty())
            return callAndPrint("explain REQUEST_ID", "Show every decision made for a request.", commandArguments, "GET", "/v1/explain/" + commandArguments[0]);
        if (name == "pardon" && !commandArguments.empty())
            return callAndPrint("pardon FINGERPRINT", "Let a quarantined request run again.", commandArguments, "POST", "/v1/pardon/" + commandArguments[0]);
        if (name == "version") {
            std::cout << "guavaspan " << GUAVASPAN_VERSION << "\n";
            return ExitSuccess;
        }
    } catch (const std::exception& exception) {
        return usageError(exception.what());
    }
    std::cerr << "unknown command: " << name << "\n\n"
              << overview;
    return ExitUsage;
}

}
