#include "app/operatorclient.h"

#include "net/eventloop.h"

namespace guavaspan {

Result<HttpResponse> callInstance(const InstanceAccess& access, const std::string& method, const std::string& target, const std::string& body)
{
    asio::io_context context;
    HttpCall call { .endpoint = access.endpoint, .method = method, .target = target, .body = body, .timeout = Seconds(30) };
    call.headers["Authorization"] = "Bearer " + access.key;
    Result<HttpResponse> result = Error {};
    asio::co_spawn(
        context, [&]() -> Awaitable<> { result = co_await callHttp(std::move(call)); }, reportFailedHandler);
    context.run();
    return result;
}

}
