#pragma once

#include "net/httprequest.h"

#include <functional>
#include <memory>

namespace guavaspan {

/// One request on a dedicated connection, so that no answer can belong to another request.
class TargetConnection {
public:
    explicit TargetConnection(const asio::any_io_executor&);
    ~TargetConnection();
    TargetConnection(const TargetConnection&) = delete;
    TargetConnection& operator=(const TargetConnection&) = delete;

    /// Connects and starts sending a request that states its length or has no body. Sending continues while the answer is read,
    /// since a target may answer before it has read the whole body.
    Awaitable<Result<void>> open(Endpoint, HttpRequest, Clock::duration connectTimeout);

    /// Reads after the deadline fail with ErrorCode::Timeout.
    void setDeadline(TimePoint);

    /// States for how long from now the target may work on the request, as the request tells it. The end of a body that only the end
    /// of its connection marks fails with ErrorCode::Timeout if it comes that late, since the target may have stopped its work.
    void setTargetTime(Milliseconds);

    /// This and other reads fail with ErrorCode::BadReply if the target sends bytes that are no answer, or too many.
    Awaitable<Result<void>> readHeader();
    const http::response_header<>& header() const;

    /// True if only the end of the connection marks the end of the body.
    bool bodyEndsAtClose() const;

    /// Reads the rest of the body, up to a size limit. Fails with ErrorCode::Overloaded if there is no room for a body of the size read
    /// so far.
    Awaitable<Result<std::string>> readAll(std::function<bool(std::size_t)> hasRoom = {});

    /// Reads the next bytes of the body; empty at its regular end.
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
