// An engine as PROTOCOL.md describes it, for the scripts of the second review: writes its entry, serves requests, reports and moves.

#include "support.h"

#include <random>

using namespace review;

namespace {

/// Requests with this path crash each engine that begins to run them.
constexpr const char* deadlyPath = "/release/deadly";

struct Run {
    std::int64_t total = 0;
    std::int64_t made = 0;
    bool stopped = false;
};

struct Engine {
    std::string id;
    std::string service;
    std::string zone;
    Endpoint endpoint;
    Endpoint store;
    Record record;
    std::int64_t born = unixNow();
    int tokensPerEvent = 4;
    /// Time to the first event, and between events.
    std::int64_t firstMs = 250;
    std::int64_t gapMs = 60;
    /// Time that a request takes that is not streamed.
    std::int64_t workMs = 15;
    /// Share of the streams that have neither a length nor chunks and end with their connection, in the first 5 s of each 7 s.
    double unframedShare = 0;
    /// Time of a step, between which the engine looks at deadlines; 0 if a timer of its own does.
    std::int64_t stepMs = 0;
    /// Every second stream is preempted once, after some events, for this time.
    std::int64_t preemptMs = 0;
    int streams = 0;
    std::mt19937 random;
    /// From SIGUSR1 on the engine leaves without a report: it writes no more entries, and says in all its answers that it leaves.
    std::atomic<bool> leaving = false;
    std::atomic<std::int64_t> sequence = 0;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Run>> runs;
    std::atomic<int> active = 0;
};

std::string eventText(const std::string& request, std::int64_t number, std::int64_t total)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + " " + std::to_string(number) + " of " + std::to_string(total) + "\n\n";
}

std::string chunk(const std::string& text)
{
    std::stringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

void writeEntry(Engine& engine)
{
    json value { { "service", engine.service }, { "address", engine.endpoint.text() }, { "zone", engine.zone }, { "version", "v1" }, { "slots", engine.service == "modelero" ? 24 : 6 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "born", engine.born }, { "sequence", ++engine.sequence } };
    call(engine.store, "POST", "/engine-entry", json { { "key", "servers/" + engine.id }, { "value", value }, { "lifetime_ms", 3600 } }.dump(), 1000);
}

std::string leavingHeader(const Engine& engine) { return engine.leaving ? "Server-Leaving: 1\r\n" : ""; }

/// Returns whether the connection may be used again.
bool stream(Engine& engine, int socket, const Request& request)
{
    auto id = request.header("x-attempt-id");
    auto arrivedAt = now();
    auto timeLeft = request.header("x-deadline-ms").empty() ? 600000 : std::atoll(request.header("x-deadline-ms").c_str());
    auto deadline = std::chrono::steady_clock::now() + Milliseconds(timeLeft);
    auto tokens = request.header("x-token-count");
    auto run = std::make_shared<Run>();
    run->total = (std::atoll(tokens.substr(tokens.find(',') + 1).c_str()) + engine.tokensPerEvent - 1) / engine.tokensPerEvent;
    bool unframed = false;
    bool preempted = false;
    {
        std::lock_guard lock(engine.mutex);
        engine.runs[id] = run;
        preempted = engine.preemptMs > 0 && ++engine.streams % 2 == 0;
        bool inTime = (now() - engine.record.start()) % 7000 < 5000;
        unframed = inTime && std::uniform_real_distribution<double>(0, 1)(engine.random) < engine.unframedShare;
    }
    engine.record.line("engine " + engine.id + ": runs " + id + ", X-Deadline-Ms " + request.header("x-deadline-ms") + ", events " + std::to_string(run->total) + (unframed ? ", without a length" : ""));
    std::string end;
    auto next = arrivedAt + engine.firstMs;
    auto nextStep = arrivedAt;
    bool headSent = false;
    while (end.empty() && run->made < run->total) {
        while (now() < next && end.empty()) {
            auto wakeUp = std::chrono::steady_clock::now() + Milliseconds(std::min<std::int64_t>(5, next - now()));
            std::this_thread::sleep_until(engine.stepMs > 0 ? wakeUp : std::min(wakeUp, deadline));
            bool looksAtDeadline = engine.stepMs == 0 || now() >= nextStep;
            if (looksAtDeadline)
                nextStep = now() + engine.stepMs;
            if (isClosed(socket))
                end = "the caller's side closed the connection";
            else if (looksAtDeadline && std::chrono::steady_clock::now() >= deadline)
                end = "stops at its deadline";
        }
        if (!end.empty())
            break;
        if (!headSent) {
            auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: ") + id + "\r\nX-Response-Seal: seal-" + engine.id + "\r\n" + leavingHeader(engine) + (unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n") + "\r\n";
            headSent = sendAll(socket, head);
        }
        auto text = eventText(id, run->made + 1, run->total);
        if (!sendAll(socket, unframed ? text : chunk(text))) {
            end = "the caller's side closed the connection";
            break;
        }
        ++run->made;
        next += engine.gapMs + (preempted && run->made == 3 ? engine.preemptMs : 0);
    }
    bool whole = end.empty();
    if (whole && !unframed)
        whole = sendAll(socket, "0\r\n\r\n");
    {
        std::lock_guard lock(engine.mutex);
        engine.runs.erase(id);
    }
    engine.record.line("engine " + engine.id + ": " + id + " after " + std::to_string(now() - arrivedAt) + " ms and " + std::to_string(run->made) + " of " + std::to_string(run->total) + " events: " + (end.empty() ? "complete" : end));
    return whole && !unframed;
}

bool plain(Engine& engine, int socket, const Request& request)
{
    auto id = request.header("x-attempt-id");
    engine.record.line("engine " + engine.id + ": runs " + id + (request.path() == deadlyPath ? ", and crashes" : ""));
    if (request.path() == deadlyPath) {
        sleepFor(10);
        ::kill(::getpid(), SIGKILL);
    }
    sleepFor(engine.workMs);
    auto body = id + " " + std::string(300, 'b');
    auto head = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: ") + id + "\r\nX-Response-Seal: seal-" + engine.id + "\r\n" + leavingHeader(engine);
    return sendAll(socket, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void serve(Engine& engine, int socket)
{
    Reader reader(socket);
    int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bool goesOn = true;
    while (goesOn) {
        auto request = readRequest(reader, now() + 15000);
        if (!request)
            break;
        auto path = request->path();
        if (path == "/report") {
            json runs = json::array();
            {
                std::lock_guard lock(engine.mutex);
                for (const auto& [id, run] : engine.runs)
                    runs.push_back({ id, 300 + run->made * engine.tokensPerEvent, run->made, 1 });
            }
            json report { { "phase", "both" }, { "models", { { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } } }, { "busy", false }, { "sequence", 1 }, { "queued", 0 }, { "active", engine.active.load() }, { "kv_in_use", 300 * engine.active }, { "kv_capacity_total", 34256 }, { "sessions", 0 }, { "state", engine.leaving ? "draining" : "ready" }, { "born", engine.born }, { "runs", runs }, { "next_token", 0 } };
            goesOn = sendAll(socket, jsonAnswer(200, report));
        } else if (path == "/healthz") {
            goesOn = sendAll(socket, message(engine.leaving ? "HTTP/1.1 503 X" : "HTTP/1.1 200 OK", { { "X-Instance-Id", engine.id } }, "{}"));
        } else if (path == "/kv-move") {
            // These engines have no room for each other's memory.
            goesOn = sendAll(socket, jsonAnswer(503, json::object()));
        } else if (request->header("x-expect-instance") != engine.id) {
            goesOn = sendAll(socket, message("HTTP/1.1 421 Misdirected Request", { { "X-Instance-Id", engine.id } }, ""));
        } else {
            ++engine.active;
            goesOn = engine.service == "modelero" ? stream(engine, socket, *request) : plain(engine, socket, *request);
            --engine.active;
        }
    }
    ::close(socket);
}

std::atomic<bool> leaveSignal = false;

}

int main(int count, char** arguments)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGUSR1, [](int) { leaveSignal = true; });
    auto number = [&](const char* name, std::int64_t fallback) {
        auto text = argument(count, arguments, name);
        return text.empty() ? fallback : std::atoll(text.c_str());
    };
    Engine engine { .id = argument(count, arguments, "id"), .service = argument(count, arguments, "service"), .zone = argument(count, arguments, "zone"), .endpoint = endpointFrom(argument(count, arguments, "listen")), .store = endpointFrom(argument(count, arguments, "store")), .record = Record(argument(count, arguments, "record")) };
    engine.firstMs = number("first-ms", engine.firstMs);
    engine.gapMs = number("gap-ms", engine.gapMs);
    engine.workMs = number("work-ms", engine.workMs);
    engine.unframedShare = std::atof(argument(count, arguments, "unframed-share", "0").c_str());
    engine.stepMs = number("step-ms", engine.stepMs);
    engine.preemptMs = number("preempt-ms", engine.preemptMs);
    engine.random.seed(static_cast<unsigned>(std::hash<std::string> {}(engine.id) ^ static_cast<std::size_t>(engine.born)));
    int listener = listenAt(engine.endpoint);
    if (listener < 0)
        return 2;
    std::thread([&engine] {
        for (auto nextEntry = now();; sleepFor(5)) {
            if (leaveSignal)
                engine.leaving = true;
            if (now() < nextEntry || engine.leaving)
                continue;
            writeEntry(engine);
            nextEntry += 1200;
        }
    }).detach();
    while (true) {
        int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0)
            std::thread([&engine, socket] { serve(engine, socket); }).detach();
    }
}
