#pragma once

#include "common/random.h"
#include "net/httprequest.h"
#include "soak/record.h"

#include <functional>

namespace guavaspan::soak {

/// Content of the next request.
struct RequestSpec {
    RequestType type = RequestType::Lookup;
    std::string path;
    std::string apiKey;
    /// Number of events of a stream; unused for other types.
    int eventCount = 0;
    /// Part of a stream's prompt that other requests share; empty for a prompt without parts.
    std::string promptPart;
    /// Output limit that a stream's header states; 0 for that of its events.
    int outputTokenLimit = 0;
    /// Size of the body of a plain request.
    std::size_t bodyBytes = 0;
    /// Time over which the body is sent.
    Milliseconds bodyDuration { 0 };
    /// Number of bytes that a plain response has after the attempt id.
    std::size_t paddingBytes = 0;
    /// Pause after each part of the response.
    Milliseconds readPause { 0 };
    Milliseconds timeout = defaultTimeout;

    static constexpr auto defaultTimeout = Milliseconds(1500);
};

/// The endpoint at which an incarnation of an instance accepts callers.
struct InstanceEndpoint {
    std::string instance;
    int incarnation = 0;
    Endpoint endpoint;
};

struct CallerOptions {
    std::string name;
    std::uint64_t seed = 1;
    std::function<RequestSpec(Random&)> nextRequest;
    std::function<InstanceEndpoint(Random&)> chooseEndpoint;
    std::function<bool()> shouldContinue;
    Milliseconds pauseBetweenRequests { 40 };
    /// The pause between two requests is random up to this if it is longer.
    Milliseconds maxPauseBetweenRequests { 0 };
    /// Sends the next request on the same connection even if the response announced its end.
    bool ignoresClose = false;
    /// Sends each request on a new connection.
    bool reconnects = false;
    /// Receives a record of each request.
    std::vector<Attempt>& attempts;
};

/// Sends requests one after another on a persistent connection and reconnects when it closes.
class Caller {
public:
    Caller(asio::io_context&, CallerOptions);

    Awaitable<> run();

private:
    Awaitable<bool> connect();
    Awaitable<> sendRequest(const RequestSpec&);
    Awaitable<boost::system::error_code> writeRequest(const HttpRequest&, Milliseconds bodyDuration);
    Awaitable<> readResponse(Attempt&, const RequestSpec&);
    Milliseconds nextPause();

    CallerOptions m_options;
    Random m_random;
    beast::tcp_stream m_connection;
    beast::flat_buffer m_buffer;
    InstanceEndpoint m_instanceEndpoint;
    bool m_connected = false;
    int m_attemptCount = 0;
};

}
