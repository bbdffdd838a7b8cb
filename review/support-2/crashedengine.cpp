// Case: an engine is killed while it sends streams that end with their connection, and a cut stream reaches its caller as a whole one.

#include "support.h"

using namespace review;

namespace {

constexpr int engineCount = 6;

struct Sent {
    std::string id;
    std::int64_t events = 0;
    Answer answer;
};

}

int main(int count, char** arguments)
{
    bool trouble = argument(count, arguments, "trouble", "1") != "0";
    auto support = argument(count, arguments, "support");
    Deployment deployment(argument(count, arguments, "folder"), argument(count, arguments, "program"), argument(count, arguments, "record"));
    auto& record = deployment.record;
    if (!deployment.startStore())
        finish(deployment, 2);
    deployment.store.put("op/config", configuration(7).dump());
    // Half of the engines send one answer in twenty without a length.
    int lastEngine = 0;
    auto startEngine = [&](int place) {
        Endpoint endpoint { ownAddress(), freePort(ownAddress()) };
        return deployment.processes.start({ support + "/engine", "--id", "model-" + std::to_string(++lastEngine), "--service", "modelero", "--zone", place % 2 ? "b" : "a", "--listen", endpoint.text(), "--store", deployment.storeEndpoint.text(), "--record", deployment.recordPath, "--first-ms", "250", "--gap-ms", "60", "--unframed-share", place < engineCount / 2 ? "0.05" : "0" }, {}, deployment.folder + "/engines.log");
    };
    std::vector<pid_t> engines;
    for (int i = 0; i < engineCount; ++i)
        engines.push_back(startEngine(i));
    auto first = deployment.newEntry("entry-1", "a");
    auto second = deployment.newEntry("entry-2", "b");
    if (!deployment.startEntry(first, deployment.storeEndpoint) || !deployment.startEntry(second, deployment.storeEndpoint))
        finish(deployment, 2);
    if (!deployment.waitUntilReady(first, 15000) || !deployment.waitUntilReady(second, 15000))
        finish(deployment, 2);
    sleepFor(4000);

    std::mutex mutex;
    std::vector<Sent> answers;
    std::vector<std::thread> callers;
    constexpr int tokens = 320;
    constexpr int crashes = 10;
    std::atomic<bool> done = false;
    std::thread sender([&] {
        int number = 0;
        for (auto next = now(); !done; next += 50) {
            sleepUntil(next);
            callers.emplace_back([&, number] {
                Sent sent { .id = "c" + std::to_string(number) };
                const auto& entry = number % 2 ? second : first;
                int socket = connectTo(entry.callers);
                if (socket < 0)
                    return;
                sendAll(socket, callerRequest("POST", "/draft/x", sent.id, 39000, tokens, sent.id + std::string(200, 'p')));
                Reader reader(socket);
                sent.answer = readAnswer(reader, now() + 30000);
                ::close(socket);
                sent.events = std::count(sent.answer.body.begin(), sent.answer.body.end(), '\n') / 3;
                if (sent.events != tokens / 4)
                    record.line("caller: " + sent.id + " got " + sent.answer.text() + " from " + entry.name + ", " + std::to_string(sent.events) + " of " + std::to_string(tokens / 4) + " events");
                std::lock_guard lock(mutex);
                answers.push_back(std::move(sent));
            });
            ++number;
        }
    });
    sleepFor(6000);
    // One engine in six crashes, and is back 4.5 s later as a new incarnation; then the next one does.
    for (int crash = 0; crash < crashes; ++crash) {
        auto place = static_cast<std::size_t>(crash % (engineCount / 2));
        if (trouble) {
            record.line("engine at place " + std::to_string(place) + " crashes: SIGKILL to its process");
            deployment.processes.signal(engines[place], SIGKILL);
        }
        sleepFor(4500);
        if (trouble)
            engines[place] = startEngine(static_cast<int>(place));
        sleepFor(2500);
    }
    done = true;
    sender.join();
    for (auto& caller : callers)
        caller.join();

    // The rule: a stream that ends as complete has all its pieces. What is cut and shows it, or fails, breaks nothing.
    int falselyComplete = 0;
    int whole = 0;
    int cut = 0;
    for (const auto& sent : answers) {
        bool complete = sent.answer.status == 200 && sent.answer.complete;
        cut += sent.answer.status == 200 && !complete ? 1 : 0;
        whole += complete && sent.events == tokens / 4 ? 1 : 0;
        if (!complete || sent.events == tokens / 4)
            continue;
        ++falselyComplete;
        record.line("ORDER: " + sent.id + " ended as complete after " + std::to_string(sent.events) + " of " + std::to_string(tokens / 4) + " events");
    }
    record.line("result: " + std::to_string(answers.size()) + " streams, " + std::to_string(whole) + " whole, " + std::to_string(cut) + " cut, " + std::to_string(falselyComplete) + " cut but ended as complete");
    if (whole == 0)
        finish(deployment, 2);
    finish(deployment, falselyComplete > 0 ? 1 : 0);
}
