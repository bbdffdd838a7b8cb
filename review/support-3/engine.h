// An engine in a process of its own: announces itself in the store, answers plain requests and streams of events.
#pragma once

#include "rig.h"

namespace rig {

class Engine {
public:
    explicit Engine(const Options& options)
        : m_options(options)
        , m_id(options.text("id"))
        , m_record(options.text("record"))
    {
    }

    int run()
    {
        int listener = listenOn(m_options.number("port"));
        if (listener < 0)
            return 2;
        serve(listener, [this](int socket) { serveConnection(socket); });
        while (true) {
            json entry { { "service", m_options.text("service") }, { "address", std::string(loopback) + ":" + m_options.text("port") }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 24 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "born", m_born }, { "sequence", ++m_sequence } };
            int socket = connectTo(m_options.number("store"));
            auto body = entry.dump();
            if (socket >= 0 && sendAll(socket, "POST /engine-put?key=servers/" + m_id + " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                Reader(socket).read(1000, true);
            if (socket >= 0)
                ::close(socket);
            sleepMs(1200);
        }
    }

private:
    void serveConnection(int socket)
    {
        Reader reader(socket);
        while (auto request = reader.read(600000, false)) {
            if (!answer(socket, *request))
                return;
        }
    }

    std::string commonHeaders(const Message& request) const
    {
        auto id = request.header("x-attempt-id");
        return (id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n") + "X-Response-Seal: 3e1b.07." + m_id + "\r\n";
    }

    /// Whether the connection stays open.
    bool answer(int socket, const Message& request)
    {
        auto path = request.target();
        if (path == "/healthz")
            return sendAll(socket, responseText(200, "X-Instance-Id: " + m_id + "\r\n", ""));
        if (path == "/report")
            return sendAll(socket, responseText(200, "Content-Type: application/json\r\n", report()));
        if (path.starts_with("/kv-"))
            return sendAll(socket, responseText(404, "", "{}"));
        auto expected = request.header("x-expect-instance");
        if (!expected.empty() && expected != m_id)
            return sendAll(socket, responseText(421, "X-Instance-Id: " + m_id + "\r\n", ""));
        auto id = request.header("x-attempt-id");
        if (id.empty())
            return sendAll(socket, responseText(400, "X-Not-Executed: 1\r\n", ""));
        m_record.line("run engine=" + m_id + " request=" + id + " method=" + request.method() + " path=" + path + " body_bytes=" + std::to_string(request.body.size()) + " tenant=" + request.header("x-tenant"));
        {
            std::lock_guard lock(m_mutex);
            m_runs[id] = 0;
        }
        bool open = m_options.number("events") > 0 ? sendEvents(socket, request) : sendPlain(socket, request);
        {
            std::lock_guard lock(m_mutex);
            m_runs.erase(id);
        }
        m_record.line("end engine=" + m_id + " request=" + id);
        return open;
    }

    /// Each so many answers have no length and end with their connection; the engine pauses in the middle of their bodies.
    bool sendPlain(int socket, const Message& request)
    {
        sleepMs(m_options.number("work", 15));
        auto id = request.header("x-attempt-id");
        std::string body = "answer to " + id + std::string(800, '.') + "end";
        auto unframedEach = m_options.number("unframed-each");
        // For 5 s of each 7 s.
        bool mayBeUnframed = unframedEach > 0 && nowMs() % 7000 < 5000;
        if (!mayBeUnframed || ++m_answers % unframedEach != 0)
            return sendAll(socket, responseText(200, commonHeaders(request), body));
        auto half = body.size() / 2;
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\n" + commonHeaders(request) + "Connection: close\r\n\r\n" + body.substr(0, half)))
            return false;
        m_record.line("half engine=" + m_id + " request=" + id + " sent=" + std::to_string(half) + " of=" + std::to_string(body.size()));
        sleepMs(m_options.number("pause", 100));
        sendAll(socket, body.substr(half));
        ::shutdown(socket, SHUT_WR);
        return false;
    }

    bool sendEvents(int socket, const Message& request)
    {
        auto events = m_options.number("events");
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + commonHeaders(request) + "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        for (int i = 1; i <= events; ++i) {
            sleepMs(m_options.number("interval", 30));
            auto eventId = i * m_options.number("id-step", 1);
            auto event = "id: " + std::to_string(eventId) + "\ndata: piece " + std::to_string(i) + " of " + std::to_string(events) + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!sendAll(socket, size + event + "\r\n"))
                return false;
            std::lock_guard lock(m_mutex);
            m_runs[request.header("x-attempt-id")] = i;
        }
        return sendAll(socket, "0\r\n\r\n");
    }

    std::string report()
    {
        std::lock_guard lock(m_mutex);
        json runs = json::array();
        for (const auto& [id, events] : m_runs)
            runs.push_back({ id, 1000 + 4 * events, events, 1 });
        json models = json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } });
        return json { { "phase", "both" }, { "models", models }, { "busy", false }, { "sequence", 0 }, { "queued", 0 }, { "active", m_runs.size() }, { "kv_in_use", 1000 * m_runs.size() }, { "kv_capacity_total", 34256 }, { "sessions", 0 }, { "state", "ready" }, { "next_token", 0 }, { "born", m_born }, { "runs", runs } }.dump();
    }

    Options m_options;
    std::string m_id;
    Record m_record;
    std::int64_t m_born = unixMs();
    std::int64_t m_sequence = 0;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    std::atomic<int> m_answers = 0;
};

}
