#include "instance/httpinstancelist.h"

#include "net/httpclient.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    std::string textAt(const json& object, const char* name)
    {
        auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    /// Entries that cannot be used are left out, since the rest is still good.
    InstanceList readList(const json& body)
    {
        InstanceList list;
        for (const auto& item : body.value("instances", json::array())) {
            if (!item.is_object())
                continue;
            auto peers = parseEndpoint(textAt(item, "peers"));
            auto callers = parseEndpoint(textAt(item, "callers"));
            if (textAt(item, "name").empty() || !peers)
                continue;
            list.instances.push_back({ .name = textAt(item, "name"), .peers = *peers, .callers = callers.value_or(Endpoint {}), .draining = textAt(item, "state") == "leaving" });
        }
        for (const auto& item : body.value("targets", json::array())) {
            if (item.is_object() && textAt(item, "state") == "leaving")
                list.drainingTargets.push_back(textAt(item, "name"));
        }
        return list;
    }

}

HttpInstanceList::HttpInstanceList(Endpoint endpoint, Clock::duration timeout)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

Awaitable<Result<InstanceList>> HttpInstanceList::fetch()
{
    HttpCall call { .endpoint = m_endpoint, .target = "/instances", .timeout = m_timeout };
    auto response = co_await callHttp(std::move(call));
    if (!response)
        co_return response.error();
    auto body = json::parse(response->body(), nullptr, false);
    if (response->result_int() != 200 || !body.is_object())
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = toString(m_endpoint), .detail = "the instance list cannot be read" };
    co_return readList(body);
}

}
