// Case: a request that crashes the engines that run it comes again with the same path, caller and body, and with another query.

#include "support.h"

using namespace review;

namespace {

constexpr int engineCount = 6;
constexpr std::int64_t contactMs = 3000;
constexpr std::size_t allowedRetries = 3;

}

int main(int count, char** arguments)
{
    bool trouble = argument(count, arguments, "trouble", "1") != "0";
    // For comparison: the query stays the same too.
    bool sameQuery = std::getenv("SAME_QUERY") != nullptr;
    auto support = argument(count, arguments, "support");
    Deployment deployment(argument(count, arguments, "folder"), argument(count, arguments, "program"), argument(count, arguments, "record"));
    auto& record = deployment.record;
    if (!deployment.startStore())
        return 2;
    deployment.store.put("op/config", configuration(7).dump());
    std::vector<Entry> entries { deployment.newEntry("entry-1", "a"), deployment.newEntry("entry-2", "b") };
    for (auto& entry : entries) {
        if (!deployment.startEntry(entry, deployment.storeEndpoint))
            return 2;
    }
    int lastEngine = 0;
    auto startEngine = [&] {
        Endpoint endpoint { ownAddress(), freePort(ownAddress()) };
        return deployment.processes.start({ support + "/engine", "--id", "shop-" + std::to_string(++lastEngine), "--service", "taller", "--zone", lastEngine % 2 ? "a" : "b", "--listen", endpoint.text(), "--store", deployment.storeEndpoint.text(), "--record", deployment.recordPath }, {}, deployment.folder + "/engines.log");
    };
    std::vector<pid_t> engines;
    for (int i = 0; i < engineCount; ++i)
        engines.push_back(startEngine());
    for (const auto& entry : entries) {
        if (!deployment.waitUntilReady(entry, 15000))
            finish(deployment, 2);
    }
    sleepFor(4000);

    // An engine that has crashed is back after some seconds, as a new incarnation with a new id.
    std::atomic<bool> done = false;
    std::thread keeper([&] {
        std::vector<std::int64_t> backAt(engineCount, 0);
        while (!done) {
            for (std::size_t i = 0; i < engines.size(); ++i) {
                if (backAt[i] == 0 && deployment.processes.ended(engines[i]))
                    backAt[i] = now() + 3000;
                if (backAt[i] != 0 && now() >= backAt[i]) {
                    engines[i] = startEngine();
                    backAt[i] = 0;
                }
            }
            sleepFor(20);
        }
    });
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    auto order = [&](const Entry& entry, const std::string& path, const std::string& id, const std::string& body) {
        int socket = connectTo(entry.callers);
        if (socket < 0)
            return Answer {};
        sendAll(socket, callerRequest("POST", path, id, 1500, 0, body));
        Reader reader(socket);
        auto answer = readAnswer(reader, now() + 3000);
        ::close(socket);
        return answer;
    };
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back([&, number] {
            int request = 0;
            for (auto next = now() + number * 30; !done; next += 200) {
                sleepUntil(next);
                auto id = "c" + std::to_string(number) + "-" + std::to_string(++request);
                auto answer = order(entries[static_cast<std::size_t>(number) % 2], "/release/x", id, id + std::string(100, 'p'));
                ++sent;
                if (answer.status == 200 && answer.complete) {
                    ++served;
                } else {
                    ++failed;
                    record.line("caller: " + id + " got " + answer.text());
                }
            }
        });
    }
    auto start = now();
    const std::string body = "the same order each time " + std::string(100, 'd');
    for (int attempt = 1; attempt <= 10; ++attempt) {
        sleepUntil(start + 2000 * attempt);
        if (!trouble)
            continue;
        auto id = "deadly-" + std::to_string(attempt);
        auto answer = order(entries[static_cast<std::size_t>(attempt) % 2], std::string("/release/deadly") + (sameQuery ? "?try=1" : "?try=" + std::to_string(attempt)), id, body);
        record.line("caller: " + id + " got " + answer.text());
    }
    done = true;
    for (auto& caller : callers)
        caller.join();
    keeper.join();

    // The rule: no more than three retries reach engines later than contact_ms after the request has crashed the third.
    std::ifstream lines(deployment.recordPath);
    std::vector<std::pair<std::int64_t, std::string>> runs;
    for (std::string line; std::getline(lines, line);) {
        auto mark = line.find(": runs deadly-");
        if (mark != std::string::npos)
            runs.emplace_back(record.start() + static_cast<std::int64_t>(1000 * std::atof(line.c_str())), line.substr(11));
    }
    std::vector<std::string> late;
    for (std::size_t i = 3; i < runs.size(); ++i) {
        if (runs[i].first > runs[2].first + contactMs)
            late.push_back(runs[i].second + ", " + std::to_string(runs[i].first - runs[2].first) + " ms after the third crash");
    }
    bool broken = late.size() > allowedRetries;
    for (const auto& text : late)
        record.line((broken ? "BUDGET: " : "allowed: ") + text);
    record.line("result: the request crashed " + std::to_string(runs.size()) + " engines, " + std::to_string(late.size()) + " of them later than contact_ms after the third; " + std::to_string(sent) + " other orders, " + std::to_string(failed) + " of them not served");
    finish(deployment, served == 0 ? 2 : (broken ? 1 : 0));
}
