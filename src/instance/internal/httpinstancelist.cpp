#include "instance/httpinstancelist.h"

#include "net/httpclient.h"

#include <nlohmann/json.hpp>

namespace guavaspan {

namespace {

    using nlohmann::json;

    std::string stringAt(const json& object, const char* name)
    {
        auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    /// Skips invalid entries, so that one of them does not make the whole list unusable.
    InstanceList readList(const json& body)
    {
        InstanceList list;
        for (const auto& item : body.value("instances", json::array())) {
            if (!item.is_object())
                continue;
            auto peerEndpoint = parseEndpoint(stringAt(item, "peers"));
            auto callerEndpoint = parseEndpoint(stringAt(item, "callers"));
            if (stringAt(item, "name").empty() || !peerEndpoint)
                continue;
            list.instances.push_back({ .name = stringAt(item, "name"), .peerEndpoint = *peerEndpoint, .callerEndpoint = callerEndpoint.value_or(Endpoint {}), .draining = stringAt(item, "state") == "leaving" });
        }
        for (const auto& item : body.value("targets", json::array())) {
            if (item.is_object() && stringAt(item, "state") == "leaving")
                list.drainingTargets.push_back(stringAt(item, "name"));
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
        co_return Error { .code = ErrorCode::BadReply, .step = Step::ReadReply, .peer = toString(m_endpoint), .detail = "the instance list service did not answer with status 200 and a JSON object" };
    co_return readList(body);
}

}
