// Runs one case: `rig CASE --program PATH --rig PATH --folder FOLDER --record FILE --trouble 0|1`; `rig engine ...` is an engine.
// The exit status is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

#include "deployment.h"

#include <algorithm>

namespace rig {

namespace {

    /// How a request ended for its client.
    struct Outcome {
        std::string id;
        std::optional<Message> answer;
        std::int64_t sentAt = 0;
        std::int64_t endedAt = 0;
    };

    std::string describe(const Outcome& outcome)
    {
        auto text = "client request=" + outcome.id + " sent_at=" + std::to_string(outcome.sentAt) + " took_ms=" + std::to_string(outcome.endedAt - outcome.sentAt);
        if (!outcome.answer)
            return text + " closed without an answer";
        return text + " status=" + std::to_string(outcome.answer->status()) + " complete=" + (outcome.answer->complete ? "1" : "0") + " body_bytes=" + std::to_string(outcome.answer->body.size());
    }

    Outcome ask(int socket, const std::string& id, const std::string& request, int timeoutMs)
    {
        Outcome outcome;
        outcome.id = id;
        outcome.sentAt = nowMs();
        if (socket >= 0 && sendAll(socket, request))
            outcome.answer = Reader(socket).read(timeoutMs, true);
        outcome.endedAt = nowMs();
        return outcome;
    }

    std::string streamRequest(const std::string& id, int deadlineMs = 39000, int maxTokens = 400)
    {
        return Deployment::requestText("POST", streamPath, id, deadlineMs, "X-Model: m\r\nX-Token-Count: 1460," + std::to_string(maxTokens) + "\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + id.substr(0, 8) + ":250\r\n", "a prompt");
    }

    int countPieces(const std::string& body)
    {
        int pieces = 0;
        for (auto at = body.find("data: piece "); at != std::string::npos; at = body.find("data: piece ", at + 1))
            ++pieces;
        return pieces;
    }

    std::string idOf(int number)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%08x5fe2a3d1", 0x9c41d07 + number);
        return text;
    }

    /// Sends streams at intervals and waits for their ends.
    std::vector<Outcome> runStreams(Deployment& deployment, int count, int intervalMs)
    {
        std::vector<Outcome> outcomes(static_cast<std::size_t>(count));
        std::vector<std::thread> clients;
        for (int i = 0; i < count; ++i) {
            clients.emplace_back([&, i] {
                sleepMs(i * intervalMs);
                int socket = connectTo(deployment.callerPort());
                outcomes[static_cast<std::size_t>(i)] = ask(socket, idOf(i), streamRequest(idOf(i)), 45000);
                ::close(socket);
            });
        }
        for (auto& client : clients)
            client.join();
        for (const auto& outcome : outcomes)
            deployment.record().line(describe(outcome) + " pieces=" + std::to_string(outcome.answer ? countPieces(outcome.answer->body) : 0));
        return outcomes;
    }

    /// Streams of 36 events of 4 tokens, at the pace of a crowded engine of the site: 72 ms an event, 2.6 s in all.
    constexpr int stopTokens = 144;
    constexpr int stopDeadlineMs = 4000;

    void startStopEngines(Deployment& deployment)
    {
        for (int i = 0; i < 2; ++i)
            deployment.startEngine("i-7f3a91c" + std::to_string(i), "huvo11a", { "--events", std::to_string(stopTokens / 4), "--interval", "72" });
    }

    /// Connections that clients keep, on each of which one request has been answered; none if one was not.
    std::vector<int> openKeptConnections(Deployment& deployment, int clients)
    {
        std::vector<int> sockets;
        std::vector<std::thread> threads;
        std::atomic<int> answered = 0;
        for (int i = 0; i < clients; ++i) {
            sockets.push_back(connectTo(deployment.callerPort()));
            threads.emplace_back([&, i, socket = sockets.back()] {
                auto outcome = ask(socket, idOf(i), streamRequest(idOf(i), stopDeadlineMs, stopTokens), 6000);
                answered += outcome.answer && outcome.answer->status() == 200 && outcome.answer->complete;
                deployment.record().line(describe(outcome));
            });
        }
        for (auto& thread : threads)
            thread.join();
        return answered == clients ? sockets : std::vector<int>();
    }

    /// Sends a stream on each connection from a time on, kills the process when its time to stop is over, and counts the streams sent later
    /// than 3 s after SIGTERM that were passed on and not answered.
    int finishStop(Deployment& deployment, const std::vector<int>& sockets, std::int64_t signalledAt, std::int64_t sendAt, int graceSeconds)
    {
        auto clients = sockets.size();
        std::vector<Outcome> outcomes(clients);
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < clients; ++i) {
            threads.emplace_back([&, i] {
                sleepMs(static_cast<int>(sendAt + 10 * static_cast<int>(i) - nowMs()));
                auto id = idOf(100 + static_cast<int>(i));
                outcomes[i] = ask(sockets[i], id, streamRequest(id, stopDeadlineMs, stopTokens), 6000);
            });
        }
        while (nowMs() < signalledAt + 1000 * graceSeconds)
            sleepMs(5);
        deployment.record().line("sigkill");
        deployment.kill(deployment.entry(), SIGKILL);
        for (auto& thread : threads)
            thread.join();
        auto runs = deployment.recorded("run");
        int lost = 0;
        for (std::size_t i = 0; i < clients; ++i) {
            const auto& outcome = outcomes[i];
            deployment.record().line(describe(outcome) + " after_sigterm_ms=" + std::to_string(outcome.sentAt - signalledAt));
            bool passedOn = std::any_of(runs.begin(), runs.end(), [&](const auto& line) { return fieldOf(line, "request") == outcome.id; });
            bool sentLate = outcome.sentAt > signalledAt + 3000;
            bool beforeDeadline = outcome.endedAt < outcome.sentAt + stopDeadlineMs;
            lost += passedOn && sentLate && beforeDeadline && !(outcome.answer && outcome.answer->complete);
            ::close(sockets[i]);
        }
        deployment.record().line("result passed_on_and_cut_without_an_answer=" + std::to_string(lost));
        return lost > 0 ? broken : held;
    }

    /// The settings file states a shorter time to stop before SIGTERM comes, without a signal.
    int runGraceCase(Deployment& deployment, bool trouble)
    {
        constexpr int graceBefore = 8;
        constexpr int graceAfter = 5;
        startStopEngines(deployment);
        if (!deployment.start(graceBefore))
            return notRun;
        auto sockets = openKeptConnections(deployment, 6);
        if (sockets.empty())
            return notRun;
        int grace = trouble ? graceAfter : graceBefore;
        if (trouble) {
            deployment.writeSettings(graceAfter);
            deployment.record().line("settings grace_s=" + std::to_string(graceAfter));
            sleepMs(3000);
        }
        auto signalledAt = nowMs();
        deployment.record().line("sigterm grace_s=" + std::to_string(grace));
        deployment.kill(deployment.entry(), SIGTERM);
        return finishStop(deployment, sockets, signalledAt, signalledAt + 3040, grace);
    }

    /// SIGTERM comes while the process stands still; the time until SIGKILL runs from the signal.
    int runFrozenStopCase(Deployment& deployment, bool trouble)
    {
        constexpr int graceSeconds = 8;
        startStopEngines(deployment);
        if (!deployment.start(graceSeconds))
            return notRun;
        constexpr int clients = 6;
        auto sockets = openKeptConnections(deployment, clients);
        if (sockets.empty())
            return notRun;
        constexpr int freezeMs = 4000;
        if (trouble) {
            deployment.record().line("freeze");
            deployment.kill(deployment.entry(), SIGSTOP);
            sleepMs(300);
        }
        auto signalledAt = nowMs();
        deployment.record().line("sigterm");
        deployment.kill(deployment.entry(), SIGTERM);
        if (trouble) {
            sleepMs(freezeMs - 300);
            deployment.kill(deployment.entry(), SIGCONT);
            deployment.record().line("thaw");
        }
        auto sendAt = nowMs() + 3040;
        return finishStop(deployment, sockets, signalledAt, sendAt, graceSeconds);
    }

    /// SIGHUP tells of a shorter `revoke_ms`; then the machine is cut off from the store, and a key is taken away.
    int runRevocationCase(Deployment& deployment, bool trouble)
    {
        constexpr int revokeBefore = 5000;
        constexpr int revokeAfter = 2500;
        deployment.startEngine("i-1a2b3c40", "wuno96b", { "--work", "15" });
        deployment.startEngine("i-1a2b3c41", "wuno96b", { "--work", "15" });
        if (!deployment.start())
            return notRun;
        int revokeMs = trouble ? revokeAfter : revokeBefore;
        if (trouble) {
            deployment.writeSettings(8, revokeAfter);
            deployment.kill(deployment.entry(), SIGHUP);
            deployment.record().line("settings revoke_ms=" + std::to_string(revokeAfter) + ", sighup");
        }
        sleepMs(5000);
        auto send = [&](int number, const char* key) {
            int socket = connectTo(deployment.callerPort());
            auto outcome = ask(socket, idOf(number), Deployment::requestText("POST", orderPath, idOf(number), 1500, "", "order", key), 3000);
            ::close(socket);
            return outcome;
        };
        auto first = send(0, otherKey);
        if (!first.answer || first.answer->status() != 200)
            return notRun;
        deployment.record().line("the machine is cut off from the store");
        deployment.store().silentToSystem = true;
        sleepMs(200);
        deployment.putConfiguration(false);
        auto acknowledgedAt = nowMs();
        deployment.record().line("a configuration without the key is acknowledged");
        std::vector<Outcome> outcomes;
        for (int number = 1; nowMs() < acknowledgedAt + 5300; ++number) {
            outcomes.push_back(send(number, otherKey));
            sleepMs(100);
        }
        deployment.store().silentToSystem = false;
        deployment.record().line("the cut is over");
        auto runs = deployment.recorded("run");
        int late = 0;
        for (const auto& outcome : outcomes) {
            auto sentAfter = outcome.sentAt - acknowledgedAt;
            deployment.record().line(describe(outcome) + " after_acknowledgement_ms=" + std::to_string(sentAfter));
            bool ran = std::any_of(runs.begin(), runs.end(), [&](const auto& line) { return fieldOf(line, "request") == outcome.id; });
            late += ran && sentAfter > revokeMs;
        }
        deployment.record().line("result revoke_ms=" + std::to_string(revokeMs) + " runs_of_requests_sent_later=" + std::to_string(late));
        return late > 0 ? broken : held;
    }

    /// Engines die in the middle of plain answers that end with their connection.
    int runPlainCrashCase(Deployment& deployment, bool trouble)
    {
        constexpr int engines = 6;
        constexpr int crashes = 4;
        int incarnations = 0;
        // Half of the engines send one answer in 20 without a length.
        auto startEngine = [&](int slot) {
            auto id = "i-1a2b3c" + std::to_string(slot) + std::to_string(incarnations++);
            std::vector<std::string> more { "--work", "15" };
            if (slot % 2 == 0)
                more.insert(more.end(), { "--unframed-each", "20" });
            deployment.startEngine(id, "wuno96b", more);
        };
        for (int slot = 0; slot < engines; ++slot)
            startEngine(slot);
        if (!deployment.start())
            return notRun;
        std::atomic<bool> stops = false;
        std::mutex mutex;
        std::vector<Outcome> outcomes;
        std::atomic<int> number = 0;
        std::vector<std::thread> clients;
        for (int i = 0; i < 4; ++i) {
            clients.emplace_back([&] {
                while (!stops) {
                    auto id = idOf(++number);
                    int socket = connectTo(deployment.callerPort());
                    auto outcome = ask(socket, id, Deployment::requestText("POST", orderPath, id, 1500, "", "order"), 3000);
                    ::close(socket);
                    std::lock_guard lock(mutex);
                    outcomes.push_back(std::move(outcome));
                    sleepMs(50);
                }
            });
        }
        for (int crash = 0; crash < crashes; ++crash) {
            auto seen = deployment.recorded("half").size();
            auto waitsUntil = nowMs() + 9000;
            std::vector<std::string> halves;
            while (nowMs() < waitsUntil && (halves = deployment.recorded("half")).size() <= seen)
                sleepMs(5);
            if (trouble && halves.size() > seen) {
                auto engine = fieldOf(halves.back(), "engine");
                deployment.record().line("crash engine=" + engine);
                deployment.kill(deployment.engine(engine), SIGKILL);
                sleepMs(4500);
                startEngine(engine[8] - '0');
                sleepMs(1500);
            }
        }
        stops = true;
        for (auto& client : clients)
            client.join();
        int cut = 0;
        int whole = 0;
        for (const auto& outcome : outcomes) {
            bool success = outcome.answer && outcome.answer->complete && outcome.answer->status() == 200;
            bool isWhole = success && outcome.answer->body.ends_with("end");
            whole += isWhole;
            cut += success && !isWhole;
            if (!isWhole)
                deployment.record().line(describe(outcome) + (success ? " seal=" + outcome.answer->header("x-response-seal") : ""));
        }
        deployment.record().line("result whole=" + std::to_string(whole) + " successes_with_a_part_of_the_body=" + std::to_string(cut));
        return cut > 0 ? broken : held;
    }

    /// The ids of a stream's events increase by more than one.
    int runIdsCase(Deployment& deployment, bool trouble)
    {
        constexpr int pieces = 40;
        for (int i = 0; i < 2; ++i)
            deployment.startEngine("i-7f3a91c" + std::to_string(i), "huvo11a", { "--events", std::to_string(pieces), "--interval", "30", "--id-step", trouble ? "4" : "1" });
        if (!deployment.start())
            return notRun;
        auto outcomes = runStreams(deployment, 8, 50);
        int whole = 0;
        for (const auto& outcome : outcomes)
            whole += outcome.answer && outcome.answer->complete && countPieces(outcome.answer->body) == pieces;
        deployment.record().line("result whole=" + std::to_string(whole) + " cut=" + std::to_string(static_cast<int>(outcomes.size()) - whole));
        return whole == static_cast<int>(outcomes.size()) ? held : broken;
    }

}

int run(int count, char** arguments)
{
    if (count < 2)
        return notRun;
    std::signal(SIGPIPE, SIG_IGN);
    std::string mode = arguments[1];
    Options options(count, arguments);
    if (mode == "engine")
        return Engine(options).run();
    bool trouble = options.number("trouble", 1) != 0;
    std::map<std::string, int (*)(Deployment&, bool)> cases { { "plain-crash", runPlainCrashCase }, { "grace", runGraceCase }, { "revocation", runRevocationCase }, { "frozen-stop", runFrozenStopCase }, { "ids", runIdsCase } };
    if (!cases.contains(mode))
        return notRun;
    int result = notRun;
    {
        Deployment deployment(options);
        result = cases.at(mode)(deployment, trouble);
        deployment.record().line(std::string("verdict ") + (result == held ? "held" : result == broken ? "broken"
                                                                                                       : "not run"));
    }
    // Threads of the store still wait on connections.
    ::_exit(result);
}

}

int main(int count, char** arguments)
{
    return rig::run(count, arguments);
}
