// Case: an instance is stopped as planned, and streams that it took more than 3 s after SIGTERM are cut at its end.

#include "support.h"

using namespace review;

namespace {

struct Sent {
    std::string id;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
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
    // Three instances, one of them alone in its zone: while it stops, the platform goes on using it for this zone, since fewer than half
    // of the zone's instances are in rotation.
    auto first = deployment.newEntry("entry-1", "a");
    auto second = deployment.newEntry("entry-2", "b");
    auto third = deployment.newEntry("entry-3", "b");
    // Crowded engines of the site's model: a step of 18 ms (7 ms, 0.12 ms for each of 24 requests, 8 ms for a chunk of prompts), 4 tokens
    // an event, the first one within goal_ms (1,800). Every second stream is preempted once, waits for memory and is read in again.
    for (int i = 0; i < 3; ++i) {
        Endpoint endpoint { ownAddress(), freePort(ownAddress()) };
        deployment.processes.start({ support + "/engine", "--id", "model-" + std::to_string(i), "--service", "modelero", "--zone", i % 2 ? "b" : "a", "--listen", endpoint.text(), "--store", deployment.storeEndpoint.text(), "--record", deployment.recordPath, "--first-ms", "1700", "--gap-ms", "72", "--step-ms", "18", "--preempt-ms", "800" }, {}, deployment.folder + "/engines.log");
    }
    if (!deployment.startEntry(first, deployment.storeEndpoint) || !deployment.startEntry(second, deployment.storeEndpoint) || !deployment.startEntry(third, deployment.storeEndpoint))
        finish(deployment, 2);
    if (!deployment.waitUntilReady(first, 15000) || !deployment.waitUntilReady(second, 15000) || !deployment.waitUntilReady(third, 15000))
        finish(deployment, 2);
    sleepFor(4000);

    std::mutex mutex;
    std::vector<Sent> answers;
    std::vector<std::thread> callers;
    int lastNumber = 0;
    auto send = [&](int tokens) {
        auto id = "c" + std::to_string(++lastNumber);
        callers.emplace_back([&, id, tokens] {
            Sent sent { .id = id };
            int socket = connectTo(first.callers);
            if (socket < 0) {
                record.line("caller: no connection for " + id);
                return;
            }
            sendAll(socket, callerRequest("POST", "/draft/x", id, 39000, tokens, std::string(200, 'p')));
            sent.sentAt = now();
            record.line("caller: sent " + id + " to entry-1, at most " + std::to_string(tokens) + " tokens, X-Deadline-Ms 39000");
            Reader reader(socket);
            sent.answer = readAnswer(reader, now() + 30000);
            sent.endedAt = now();
            ::close(socket);
            auto events = std::count(sent.answer.body.begin(), sent.answer.body.end(), '\n') / 3;
            record.line("caller: " + id + " got " + sent.answer.text() + ", " + std::to_string(events) + " events, after " + std::to_string(sent.endedAt - sent.sentAt) + " ms");
            std::lock_guard lock(mutex);
            answers.push_back(std::move(sent));
        });
    };

    // The zone's callers: a short stream now and then, before the stop as well as during it.
    auto stopAt = now() + 1500;
    for (auto at = now(); at < stopAt; at += 300) {
        sleepUntil(at);
        send(40);
    }
    sleepUntil(stopAt);
    auto signalledAt = now();
    record.line(trouble ? "platform: SIGTERM to entry-1, SIGKILL follows after 8 s" : "platform: no SIGTERM in this run");
    if (trouble)
        deployment.processes.signal(first.pid, SIGTERM);
    const int tokens[] = { 40, 24, 80, 32 };
    int next = 0;
    for (auto at = signalledAt + 300; at < signalledAt + 5600; at += 75) {
        sleepUntil(at);
        send(tokens[next++ % 4]);
    }
    if (trouble) {
        sleepUntil(signalledAt + 8000);
        if (deployment.processes.ended(first.pid))
            record.line("platform: entry-1 has ended by itself");
        else
            deployment.processes.signal(first.pid, SIGKILL);
    }
    for (auto& caller : callers)
        caller.join();
    sleepFor(300);

    // The rule: the connection ended without a complete answer after the request was passed on. Not counted are those that the engine broke
    // off, be it at a deadline that it was given, those whose own deadline or timeout (39 s) was reached, and, as these engines are at work
    // until the end, those that were sent no later than 3 s after SIGTERM. What was refused or answered in full is no loss.
    std::set<std::string> cutByCaller;
    std::ifstream lines(deployment.recordPath);
    for (std::string line; std::getline(lines, line);) {
        auto mark = line.find(": c");
        auto end = line.find(" after ", mark == std::string::npos ? 0 : mark);
        if (mark != std::string::npos && end != std::string::npos && line.find("the caller's side closed the connection") != std::string::npos)
            cutByCaller.insert(line.substr(mark + 2, end - mark - 2));
    }
    int lost = 0;
    int served = 0;
    int refused = 0;
    int excused = 0;
    for (const auto& sent : answers) {
        served += sent.answer.status == 200 && sent.answer.complete ? 1 : 0;
        refused += sent.answer.status == 503 && sent.answer.complete ? 1 : 0;
        bool cut = sent.answer.status == 200 && !sent.answer.complete && !sent.answer.timedOut;
        bool late = sent.sentAt > signalledAt + 3000;
        if (!cut)
            continue;
        if (!late || !cutByCaller.contains(sent.id) || sent.endedAt - sent.sentAt >= 39000) {
            ++excused;
            continue;
        }
        ++lost;
        record.line("LOST: " + sent.id + " was sent " + std::to_string(sent.sentAt - signalledAt) + " ms after SIGTERM, passed on, and cut " + std::to_string(sent.endedAt - signalledAt) + " ms after it");
    }
    record.line("result: " + std::to_string(answers.size()) + " requests, " + std::to_string(served) + " served whole, " + std::to_string(refused) + " refused, " + std::to_string(excused) + " cut with an excuse, " + std::to_string(lost) + " lost");
    if (served == 0)
        finish(deployment, 2);
    finish(deployment, lost > 0 ? 1 : 0);
}
