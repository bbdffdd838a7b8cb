// Case: an engine has said that it leaves and has removed its entry; a heartbeat that the store executes late brings the entry back, and
// the engine gets requests again.

#include "support.h"

using namespace review;

namespace {

constexpr std::int64_t drainMs = 2000;
constexpr int leaves = 4;

struct Engine {
    std::string id;
    pid_t pid = 0;
    std::int64_t removedAt = 0;

    std::string key() const { return "servers/" + id; }
};

struct Sent {
    std::string entry;
    std::int64_t at = 0;
    std::string end;
};

}

int main(int count, char** arguments)
{
    bool trouble = argument(count, arguments, "trouble", "1") != "0";
    auto support = argument(count, arguments, "support");
    Deployment deployment(argument(count, arguments, "folder"), argument(count, arguments, "program"), argument(count, arguments, "record"));
    auto& record = deployment.record;
    auto& store = deployment.store;
    store.onEntry = [&](const std::string& key, const json& entry, bool late) {
        if (late)
            record.line("store: executes the write of " + key + ", state ready, sequence " + std::to_string(entry.at("sequence").get<std::int64_t>()) + ", late");
    };
    if (!deployment.startStore())
        return 2;
    store.put("op/config", configuration(7).dump());
    std::vector<Entry> entries { deployment.newEntry("entry-1", "a"), deployment.newEntry("entry-2", "b") };
    for (auto& entry : entries) {
        if (!deployment.startEntry(entry, deployment.storeEndpoint))
            return 2;
    }
    int lastEngine = 0;
    // The engines write their entries themselves, every 1,200 ms.
    auto startEngine = [&] {
        Engine engine { .id = "shop-" + std::to_string(++lastEngine) };
        Endpoint endpoint { ownAddress(), freePort(ownAddress()) };
        engine.pid = deployment.processes.start({ support + "/engine", "--id", engine.id, "--service", "taller", "--zone", "a", "--listen", endpoint.text(), "--store", deployment.storeEndpoint.text(), "--record", deployment.recordPath }, {}, deployment.folder + "/engines.log");
        return engine;
    };
    std::deque<Engine> engines;
    for (int i = 0; i < 3; ++i)
        engines.push_back(startEngine());
    for (const auto& entry : entries) {
        if (!deployment.waitUntilReady(entry, 15000))
            finish(deployment, 2);
    }
    sleepFor(4000);

    std::mutex mutex;
    std::map<std::string, Sent> sent;
    // When a machine first passed on an answer in which the engine says that it leaves, by engine and machine.
    std::map<std::pair<std::string, std::string>, std::int64_t> saidToLeave;
    std::atomic<bool> done = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < 8; ++number) {
        callers.emplace_back([&, number] {
            int request = 0;
            const auto& entry = entries[number % 4 == 3 ? 1 : 0];
            for (auto next = now() + number * 25; !done; next += 200) {
                sleepUntil(next);
                auto id = "c" + std::to_string(number) + "-" + std::to_string(++request);
                int socket = connectTo(entry.callers);
                if (socket < 0)
                    continue;
                {
                    std::lock_guard lock(mutex);
                    sent[id] = { .entry = entry.name, .at = now(), .end = "" };
                }
                sendAll(socket, callerRequest("POST", "/release/x", id, 1500, 0, std::string(100, 'p')));
                Reader reader(socket);
                auto answer = readAnswer(reader, now() + 3000);
                ::close(socket);
                served += answer.status == 200 && answer.complete ? 1 : 0;
                std::lock_guard lock(mutex);
                sent[id].end = answer.text();
                auto seal = answer.headers.find("x-response-seal");
                if (answer.headers["server-leaving"] == "1" && seal != answer.headers.end()) {
                    auto engine = seal->second.substr(std::string("seal-").size());
                    if (saidToLeave.emplace(std::pair(engine, entry.name), now()).second)
                        record.line("caller: " + entry.name + " passes on an answer in which " + engine + " says that it leaves");
                }
            }
        });
    }

    // The engines are replaced one after the other: the new one starts first.
    std::vector<Engine> left;
    for (int leave = 0; leave < leaves; ++leave) {
        engines.push_back(startEngine());
        sleepFor(3000);
        auto engine = engines.front();
        engines.pop_front();
        auto leavesAt = now() + 3200;
        if (trouble) {
            auto lostAt = store.loseNextEntry(engine.key(), 5800);
            if (lostAt == 0)
                finish(deployment, 2);
            record.line("store: no answer to a heartbeat of " + engine.id + ", executed 5.8 s later");
            leavesAt = lostAt + 3200;
        }
        sleepUntil(leavesAt);
        record.line("engine " + engine.id + ": leaves, and says so in its answers");
        deployment.processes.signal(engine.pid, SIGUSR1);
        sleepFor(400);
        store.remove(engine.key());
        engine.removedAt = now();
        record.line("store: the entry of " + engine.id + " is removed");
        // It serves for drain_ms and a little longer.
        sleepFor(drainMs + 3000);
        deployment.processes.signal(engine.pid, SIGKILL);
        store.remove(engine.key());
        record.line("engine " + engine.id + ": has left");
        left.push_back(engine);
    }
    done = true;
    for (auto& caller : callers)
        caller.join();

    // The rules: no request that a caller sent later than drain_ms after a machine had passed on such an answer reaches the engine from that
    // machine, and none later than drain_ms after the store acknowledged that the entry is gone.
    std::ifstream lines(deployment.recordPath);
    std::vector<std::string> broken;
    for (std::string line; std::getline(lines, line);) {
        for (const auto& engine : left) {
            auto mark = line.find("engine " + engine.id + ": runs ");
            if (mark == std::string::npos)
                continue;
            auto id = line.substr(mark + engine.id.size() + 14);
            const auto& request = sent[id];
            auto said = saidToLeave.find({ engine.id, request.entry });
            bool afterAnswer = said != saidToLeave.end() && request.at > said->second + drainMs;
            bool afterRemoval = request.at > engine.removedAt + drainMs;
            if (!afterAnswer && !afterRemoval)
                continue;
            broken.push_back(id + " reached " + engine.id + " from " + request.entry + ", sent " + (afterAnswer ? std::to_string(request.at - said->second) + " ms after that machine had passed on that it leaves, " : "") + std::to_string(request.at - engine.removedAt) + " ms after the removal of its entry; ended " + request.end);
        }
    }
    for (const auto& text : broken)
        record.line("DRAIN: " + text);
    record.line("result: " + std::to_string(sent.size()) + " requests, " + std::to_string(served) + " served, " + std::to_string(leaves) + " engines left, " + std::to_string(broken.size()) + " requests reached one too late");
    finish(deployment, served == 0 ? 2 : (broken.empty() ? 0 : 1));
}
