#include "net/httprequest.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace guavaspan {

namespace {

    /// Beast stores a field as "name: value" and CRLF, and the lengths of both halves as 16-bit numbers. It throws if one exceeds this.
    constexpr std::size_t maxContainedBytes = std::numeric_limits<std::uint16_t>::max() - 2;

    bool hasName(const LongField& field, beast::string_view name)
    {
        return beast::iequals(field.name, name);
    }

    /// A field after a long one of the same name is kept behind it, since the order of fields with the same name matters.
    bool isContainable(const std::vector<LongField>& longFields, beast::string_view name, beast::string_view value)
    {
        if (name.size() > maxContainedBytes || value.size() > maxContainedBytes)
            return false;
        return std::none_of(longFields.begin(), longFields.end(), [&](const auto& field) { return hasName(field, name); });
    }

    void addTo(HttpRequest::Message& message, std::vector<LongField>& longFields, http::field knownName, beast::string_view name, beast::string_view value)
    {
        if (isContainable(longFields, name, value))
            message.insert(knownName, name, value);
        else
            longFields.push_back({ .name = std::string(name), .value = std::string(value) });
    }

}

HttpRequest::HttpRequest(Message message, std::vector<LongField> longFields)
    : Message(std::move(message))
    , m_longFields(std::move(longFields))
{
}

void HttpRequest::addField(beast::string_view name, beast::string_view value)
{
    addTo(*this, m_longFields, http::string_to_field(name), name, value);
}

void HttpRequest::setField(beast::string_view name, beast::string_view value)
{
    erase(name);
    std::erase_if(m_longFields, [&](const auto& field) { return hasName(field, name); });
    addField(name, value);
}

std::string_view HttpRequest::field(beast::string_view name) const
{
    auto found = find(name);
    if (found != end())
        return { found->value().data(), found->value().size() };
    auto foundLong = std::find_if(m_longFields.begin(), m_longFields.end(), [&](const auto& field) { return hasName(field, name); });
    return foundLong == m_longFields.end() ? std::string_view() : std::string_view(foundLong->value);
}

/// Beast takes a request with a transfer coding other than chunked as one without a body, and what follows as the next request. It rejects
/// chunked twice by itself.
void HttpRequestParser::on_field_impl(http::field knownName, beast::string_view name, beast::string_view value, beast::error_code& error)
{
    if (knownName == http::field::transfer_encoding) {
        constexpr unsigned firstVersionWithCodings = 11;
        if (!beast::iequals(value, "chunked") || get().version() < firstVersionWithCodings) {
            error = http::error::bad_transfer_encoding;
            return;
        }
    }
    addTo(get(), m_longFields, knownName, name, value);
}

HttpRequest HttpRequestParser::releaseRequest()
{
    // A long Connection field is not among those that the message looks at.
    bool keepsConnection = keep_alive();
    HttpRequest request { release(), std::move(m_longFields) };
    if (request.keep_alive() != keepsConnection)
        request.keep_alive(keepsConnection);
    return request;
}

std::string serializeHeader(const HttpRequest& request)
{
    auto text = fmt::format("{} {} HTTP/{}.{}\r\n", std::string_view(request.method_string()), std::string_view(request.target()), request.version() / 10, request.version() % 10);
    request.forEachField([&](std::string_view name, std::string_view value) {
        text.append(name).append(": ").append(value).append("\r\n");
    });
    return text += "\r\n";
}

}
