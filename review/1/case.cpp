// An engine answers before it has read a long body; its answer has no length and is reset on the way.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr std::size_t requestBodyBytes = 4190000;
/// A peer that does not read soon blocks the writer, whatever the kernel's limit for the sender's buffer is.
constexpr int engineReceiveBuffer = 32768;
constexpr std::size_t answerBytes = 8000;
constexpr std::size_t eventCount = 8;
constexpr int requestsOfEachKind = 5;

/// The answer of an engine to a request, or what a client got.
struct Answer {
    int status = 0;
    std::string seal;
    std::string body;
    BodyEnd end = BodyEnd::Broken;
};

std::string plainBody(const std::string& id)
{
    std::string body;
    while (body.size() < answerBytes)
        body += id + ";";
    return body;
}

std::string event(const std::string& id, std::size_t number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + id + "\n\n";
}

std::string eventsFrom(const std::string& id, std::size_t first, std::size_t last)
{
    std::string text;
    for (auto number = first; number <= last; ++number)
        text += event(id, number);
    return text;
}

class Engine {
public:
    Engine(std::string name, const std::string& address, Record& record)
        : m_name(std::move(name))
        , m_record(record)
        , m_server(address, [this](int connection) { serve(connection); }, engineReceiveBuffer)
    {
    }

    int port() const { return m_server.port(); }

    const std::int64_t born = unixMilliseconds();

private:
    void serve(int connection)
    {
        // A few bytes of the body may come along with the head; the engine reads the rest later.
        Reader reader(connection);
        auto head = reader.readHead();
        if (!head) {
            ::close(connection);
            return;
        }
        if (head->target() == "/report") {
            sendAll(connection, reportAnswer(born, "ready"));
            ::close(connection);
            return;
        }
        auto id = head->header("X-Attempt-Id");
        if (head->header("X-Expect-Instance") != m_name) {
            sendAll(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_name + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            ::close(connection);
            return;
        }
        bool streams = head->target().rfind("/draft/", 0) == 0;
        m_record.line("engine " + m_name + " runs " + id);
        sendAll(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nConnection: close\r\nContent-Type: " + (streams ? "text/event-stream" : "application/octet-stream") + "\r\n\r\n");
        auto whole = streams ? eventsFrom(id, 1, eventCount) : plainBody(id);
        auto firstPart = streams ? eventsFrom(id, 1, eventCount / 2) : whole.substr(0, whole.size() / 2);
        sendAll(connection, firstPart);
        sleepSeconds(0.15);
        if (withTrouble()) {
            m_record.line("engine " + m_name + " resets the connection of " + id + " after " + std::to_string(firstPart.size()) + " of " + std::to_string(whole.size()) + " bytes");
            resetConnection(connection);
            return;
        }
        sendAll(connection, whole.substr(firstPart.size()));
        ::shutdown(connection, SHUT_WR);
        m_record.line("engine " + m_name + " has sent all of " + id + ", ends its answer in order and reads on");
        std::string body;
        reader.readBody(*head, body, false, 2);
        ::close(connection);
    }

    std::string m_name;
    Record& m_record;
    Server m_server;
};

Answer call(const Instance& instance, const std::string& path, const std::string& headers)
{
    Answer answer;
    int connection = connectTo(instance.address, instance.callerPort);
    if (connection < 0)
        return answer;
    auto request = "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Key: key-1\r\n" + headers + "Content-Length: " + std::to_string(requestBodyBytes) + "\r\n\r\n" + std::string(requestBodyBytes, 'b');
    sendAll(connection, request);
    Reader reader(connection);
    if (auto head = reader.readHead(10)) {
        answer.status = head->status();
        answer.seal = head->header("X-Response-Seal");
        answer.end = reader.readBody(*head, answer.body, true, 10);
    }
    ::close(connection);
    return answer;
}

}

int main(int argc, char** argv)
{
    if (argc != 3)
        giveUp("usage: PROGRAM FOLDER");
    Record record(std::string(argv[2]) + "/record.txt");
    auto address = ownLoopbackAddress();
    Store store(address);
    Engine model("model-1", address, record);
    Engine shop("shop-1", address, record);
    json draft = plainRoute("draft", "/draft/", "streaming", "modelero", 39000);
    draft["goal_ms"] = 1800;
    draft["gap_target_ms"] = 180;
    draft["sticky"] = true;
    json configuration { { "version", 7 }, { "routes", { plainRoute("release", "/release/", "unsafe", "taller-app", 800), draft } }, { "services", { modelService("modelero"), plainService("taller-app") } }, { "limits", defaultLimits() }, { "tenants", { { { "name", "tenant-1" }, { "api_keys", { "key-1" } }, { "priority", 1 } } } } };
    store.put("op/config", configuration.dump());
    keepRegistered(store, "model-1", "modelero", address + ":" + std::to_string(model.port()), 24, model.born);
    keepRegistered(store, "shop-1", "taller-app", address + ":" + std::to_string(shop.port()), 6, shop.born);

    Deployment deployment(argv[1], address);
    auto& instance = deployment.add("frontend-1", "zone-a", store.port());
    deployment.start(instance);
    deployment.awaitReady(instance);
    sleepSeconds(0.5);

    int served = 0;
    int broken = 0;
    for (int number = 0; number < 2 * requestsOfEachKind; ++number) {
        bool streams = number % 2 == 1;
        auto id = (streams ? "draft-" : "release-") + std::to_string(number);
        auto whole = streams ? eventsFrom(id, 1, eventCount) : plainBody(id);
        auto headers = "X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + (streams ? "39000" : "1500") + "\r\n";
        if (streams)
            headers += "X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
        record.line("client sends " + id);
        auto answer = call(instance, (streams ? "/draft/" : "/release/") + std::string("1"), headers);
        bool complete = answer.end == BodyEnd::Complete;
        record.line("client gets " + std::to_string(answer.status) + " for " + id + (answer.seal.empty() ? ", no seal" : ", seal") + ", a body of " + std::to_string(answer.body.size()) + " of the engine's " + std::to_string(whole.size()) + " bytes, " + (complete ? "that looks complete" : "cut off"));
        bool success = answer.status >= 200 && answer.status < 300 && complete;
        if (success && answer.body == whole)
            ++served;
        if (success && answer.body != whole) {
            ++broken;
            record.line(streams ? "BROKEN: ORDER, the stream ends as complete before its last piece" : "BROKEN: MIXED, a success whose body isn't the engine's whole body");
        }
        sleepSeconds(0.3);
    }
    record.line("served whole: " + std::to_string(served) + ", broken: " + std::to_string(broken));
    if (!withTrouble() && served == 0)
        giveUp("nothing was served without the disruption");
    finish(broken > 0 ? exitBroken : exitHeld);
}
