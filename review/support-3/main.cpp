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

    std::string streamRequest(const std::string& id)
    {
        return Deployment::requestText("POST", streamPath, id, 39000, "X-Model: m\r\nX-Token-Count: 1460,400\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410," + id.substr(0, 8) + ":250\r\n", "a prompt");
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

    /// Sends streams at intervals and waits for their ends; `meanwhile` runs beside them.
    std::vector<Outcome> runStreams(Deployment& deployment, int count, int intervalMs, const std::function<void()>& meanwhile)
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
        meanwhile();
        for (auto& client : clients)
            client.join();
        for (const auto& outcome : outcomes)
            deployment.record().line(describe(outcome) + " pieces=" + std::to_string(outcome.answer ? countPieces(outcome.answer->body) : 0));
        return outcomes;
    }

    /// An engine dies while it sends streams that end with their connection.
    int runCrashCase(Deployment& deployment, bool trouble)
    {
        constexpr int engines = 6;
        constexpr int pieces = 80;
        for (int i = 0; i < engines; ++i)
            deployment.startEngine("i-7f3a91c" + std::to_string(i), "huvo11a", { "--events", std::to_string(pieces), "--interval", "30", "--framing", "close" });
        if (!deployment.start())
            return notRun;
        auto outcomes = runStreams(deployment, 18, 40, [&] {
            sleepMs(1800);
            if (!trouble)
                return;
            // The engine with the most streams.
            std::map<std::string, int> streams;
            for (const auto& line : deployment.recorded("run"))
                ++streams[fieldOf(line, "engine")];
            auto busiest = std::max_element(streams.begin(), streams.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
            if (busiest == streams.end())
                return;
            deployment.record().line("crash engine=" + busiest->first + " streams=" + std::to_string(busiest->second));
            deployment.kill(deployment.engine(busiest->first), SIGKILL);
        });
        int complete = 0;
        int truncated = 0;
        for (const auto& outcome : outcomes) {
            bool endsAsComplete = outcome.answer && outcome.answer->status() == 200 && outcome.answer->complete;
            bool isWhole = endsAsComplete && countPieces(outcome.answer->body) == pieces;
            complete += isWhole;
            truncated += endsAsComplete && !isWhole;
        }
        deployment.record().line("result whole=" + std::to_string(complete) + " ended_as_complete_before_the_last_piece=" + std::to_string(truncated));
        if (!trouble && complete != static_cast<int>(outcomes.size()))
            return truncated > 0 ? broken : notRun;
        return truncated > 0 ? broken : held;
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
                auto outcome = ask(socket, idOf(i), Deployment::requestText("POST", orderPath, idOf(i), 4000, "", "order"), 6000);
                answered += outcome.answer && outcome.answer->status() == 200;
                deployment.record().line(describe(outcome));
            });
        }
        for (auto& thread : threads)
            thread.join();
        return answered == clients ? sockets : std::vector<int>();
    }

    /// Sends an order on each connection from a time on, kills the process when its time to stop is over, and counts the orders sent later
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
                outcomes[i] = ask(sockets[i], id, Deployment::requestText("POST", orderPath, id, 4000, "", "order"), 6000);
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
            lost += passedOn && sentLate && !(outcome.answer && outcome.answer->complete);
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
        deployment.startEngine("i-1a2b3c40", "wuno96b", { "--work", "2600" });
        deployment.startEngine("i-1a2b3c41", "wuno96b", { "--work", "2600" });
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
        deployment.startEngine("i-1a2b3c40", "wuno96b", { "--work", "2600" });
        deployment.startEngine("i-1a2b3c41", "wuno96b", { "--work", "2600" });
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

    /// A request names a transfer coding other than chunked; what follows its header looks like a request.
    int runCodingCase(Deployment& deployment, bool trouble)
    {
        deployment.startEngine("i-1a2b3c40", "wuno96b", { "--work", "15" });
        deployment.startEngine("i-1a2b3c41", "wuno96b", { "--work", "15" });
        if (!deployment.start())
            return notRun;
        auto inner = Deployment::requestText("POST", orderPath, idOf(900), 1500, "", "inner order");
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", inner.size());
        for (int i = 0; i < 5; ++i) {
            auto id = idOf(i);
            auto head = "POST " + std::string(orderPath) + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nX-Key: " + callerKey + "\r\n";
            int socket = connectTo(deployment.callerPort());
            auto request = trouble ? head + "Transfer-Encoding: chunked, identity\r\n\r\n" + inner : head + "Transfer-Encoding: chunked\r\n\r\n" + size + inner + "\r\n0\r\n\r\n";
            deployment.record().line(describe(ask(socket, id, request, 3000)));
            sleepMs(200);
            ::close(socket);
        }
        int smuggled = 0;
        for (const auto& line : deployment.recorded("run"))
            smuggled += fieldOf(line, "request") == idOf(900);
        deployment.record().line("result smuggled_runs=" + std::to_string(smuggled));
        return smuggled > 0 ? broken : held;
    }

    /// The ids of a stream's events increase by more than one.
    int runIdsCase(Deployment& deployment, bool trouble)
    {
        constexpr int pieces = 40;
        for (int i = 0; i < 2; ++i)
            deployment.startEngine("i-7f3a91c" + std::to_string(i), "huvo11a", { "--events", std::to_string(pieces), "--interval", "30", "--framing", "chunked", "--id-step", trouble ? "4" : "1" });
        if (!deployment.start())
            return notRun;
        auto outcomes = runStreams(deployment, 8, 50, [] { });
        int whole = 0;
        for (const auto& outcome : outcomes)
            whole += outcome.answer && outcome.answer->complete && countPieces(outcome.answer->body) == pieces;
        deployment.record().line("result whole=" + std::to_string(whole) + " cut=" + std::to_string(static_cast<int>(outcomes.size()) - whole));
        return whole == static_cast<int>(outcomes.size()) ? held : broken;
    }

    /// HEAD on a safe route.
    int runHeadCase(Deployment& deployment, bool trouble)
    {
        deployment.startEngine("i-1a2b3c40", "wuno96b", { "--work", "15" });
        deployment.startEngine("i-1a2b3c41", "wuno96b", { "--work", "15" });
        if (!deployment.start())
            return notRun;
        int stray = 0;
        for (int i = 0; i < 4; ++i) {
            auto id = idOf(i);
            int socket = connectTo(deployment.callerPort());
            auto sentAt = nowMs();
            sendAll(socket, Deployment::requestText(trouble ? "HEAD" : "GET", lookupPath, id, 1500, "", ""));
            Reader reader(socket);
            auto answer = reader.read(4000, true, trouble);
            auto rest = reader.unread(300);
            deployment.record().line("client request=" + id + " status=" + std::to_string(answer ? answer->status() : 0) + " took_ms=" + std::to_string(nowMs() - sentAt) + " bytes_after_the_answer=" + std::to_string(rest.size()));
            stray += !rest.empty();
            ::close(socket);
        }
        deployment.record().line("result answers_followed_by_bytes=" + std::to_string(stray));
        return stray > 0 ? broken : held;
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
    std::map<std::string, int (*)(Deployment&, bool)> cases { { "crash", runCrashCase }, { "grace", runGraceCase }, { "frozen-stop", runFrozenStopCase }, { "coding", runCodingCase }, { "ids", runIdsCase }, { "head", runHeadCase } };
    if (!cases.contains(mode))
        return notRun;
    int result = notRun;
    {
        Deployment deployment(options);
        result = cases.at(mode)(deployment, trouble);
        deployment.record().line(std::string("verdict ") + (result == held ? "held" : result == broken ? "broken" : "not run"));
    }
    // Threads of the store still wait on connections.
    ::_exit(result);
}

}

int main(int count, char** arguments)
{
    return rig::run(count, arguments);
}
