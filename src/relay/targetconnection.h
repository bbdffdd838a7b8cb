#pragma once

#include "net/nettypes.h"

#include <memory>

namespace guavaspan {

/// One request on a connection of its own, so that no answer can belong to another request.
class TargetConnection {
public:
    explicit TargetConnection(const asio::any_io_executor&);
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    /// Connects and begins to send; sending goes on while the answer is read,
    /// since a target may answer before it has read the whole body.
    Awaitable<Result<void>> open(Endpoint, HttpRequest, Clock::duration connectTimeout);

    /// From then on reads fail with ErrorCode::Timeout.
    void setDeadline(TimePoint);

    Awaitable<Result<void>> readHeader();
    const http::response_header<>& header() const;

    /// The answer's end is told by the end of the connection only.
    bool bodyEndsAtClose() const;

    /// The rest of the body, up to a bound.
    Awaitable<Result<std::string>> readAll();

    /// The next bytes of the body; empty at its regular end.
    Awaitable<Result<std::string>> readSome();

    /// Closes the connection, which makes the target drop the request.
    void cancel();

private:
    struct State;

    Error makeError(const boost::system::error_code&, Step) const;

    std::shared_ptr<State> m_state;
    Endpoint m_endpoint;
};

}
