// Case: a stream without a length outlasts its route's timeout, its engine stops at the deadline that it was given, and the caller gets the
// part as a whole stream.

#include "support.h"

using namespace review;

namespace {

constexpr int tokens = 480;
constexpr int newTimeoutMs = 6000;

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
        return 2;
    deployment.store.put("op/config", configuration(7).dump());
    // Half of the engines send one answer in twenty without a length.
    for (int i = 0; i < 6; ++i) {
        Endpoint endpoint { ownAddress(), freePort(ownAddress()) };
        deployment.processes.start({ support + "/engine", "--id", "model-" + std::to_string(i), "--service", "modelero", "--zone", i % 2 ? "b" : "a", "--listen", endpoint.text(), "--store", deployment.storeEndpoint.text(), "--record", deployment.recordPath, "--first-ms", "250", "--gap-ms", "60", "--unframed-share", i < 3 ? "0.05" : "0" }, {}, deployment.folder + "/engines.log");
    }
    std::vector<Entry> entries { deployment.newEntry("entry-1", "a"), deployment.newEntry("entry-2", "b") };
    for (auto& entry : entries) {
        if (!deployment.startEntry(entry, deployment.storeEndpoint))
            return 2;
    }
    for (const auto& entry : entries) {
        if (!deployment.waitUntilReady(entry, 15000))
            finish(deployment, 2);
    }
    sleepFor(3000);
    if (trouble) {
        auto changed = configuration(8);
        changed["routes"][0]["timeout_ms"] = newTimeoutMs;
        deployment.store.put("op/config", changed.dump());
        record.line("operator: version 8, timeout_ms of the streams is " + std::to_string(newTimeoutMs));
    }
    sleepFor(3000);

    std::mutex mutex;
    std::vector<Sent> answers;
    std::vector<std::thread> callers;
    for (int i = 0; i < 360; ++i) {
        callers.emplace_back([&, i] {
            Sent sent { .id = "c" + std::to_string(i) };
            const auto& entry = entries[static_cast<std::size_t>(i) % 2];
            int socket = connectTo(entry.callers);
            sendAll(socket, callerRequest("POST", "/draft/x", sent.id, 39000, tokens, sent.id + std::string(200, 'p')));
            auto sentAt = now();
            Reader reader(socket);
            sent.answer = readAnswer(reader, now() + 30000);
            ::close(socket);
            sent.events = std::count(sent.answer.body.begin(), sent.answer.body.end(), '\n') / 3;
            if (sent.events != tokens / 4 && sent.answer.complete)
                record.line("caller: " + sent.id + " got " + sent.answer.text() + " from " + entry.name + ", " + std::to_string(sent.events) + " of " + std::to_string(tokens / 4) + " events, after " + std::to_string(now() - sentAt) + " ms, X-Deadline-Ms 39000");
            std::lock_guard lock(mutex);
            answers.push_back(std::move(sent));
        });
        sleepFor(60);
    }
    for (auto& caller : callers)
        caller.join();

    // The rule: a stream that ends as complete has all its pieces. One that is cut at its timeout, and shows it, breaks nothing.
    int falselyComplete = 0;
    int whole = 0;
    int cut = 0;
    for (const auto& sent : answers) {
        bool complete = sent.answer.status == 200 && sent.answer.complete;
        cut += sent.answer.status == 200 && !sent.answer.complete ? 1 : 0;
        whole += complete && sent.events == tokens / 4 ? 1 : 0;
        if (!complete || sent.events == tokens / 4)
            continue;
        ++falselyComplete;
        record.line("ORDER: " + sent.id + " ended as complete after " + std::to_string(sent.events) + " of " + std::to_string(tokens / 4) + " events");
    }
    record.line("result: " + std::to_string(answers.size()) + " streams, " + std::to_string(whole) + " whole, " + std::to_string(cut) + " cut, " + std::to_string(falselyComplete) + " cut but ended as complete");
    if (whole + cut + falselyComplete == 0)
        finish(deployment, 2);
    finish(deployment, falselyComplete > 0 ? 1 : 0);
}
