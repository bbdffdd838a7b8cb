#pragma once

#include "net/nettypes.h"

#include <vector>

namespace guavaspan {

/// A header field that exceeds the length that Beast's container holds.
struct LongField {
    std::string name;
    std::string value;

    friend bool operator==(const LongField&, const LongField&) = default;
};

/// A request whose header fields may have any length. The inherited functions for fields see the shorter ones only.
class HttpRequest : public http::request<http::string_body> {
public:
    using Message = http::request<http::string_body>;
    using Message::Message;

    HttpRequest() = default;
    HttpRequest(Message message, std::vector<LongField> longFields);

    /// Adds a field, after others of the same name.
    void addField(beast::string_view name, beast::string_view value);

    /// Replaces all fields of that name.
    void setField(beast::string_view name, beast::string_view value);

    /// Value of the first field of that name; empty if there is none. Valid until the request changes.
    std::string_view field(beast::string_view name) const;

    /// Calls the visitor with name and value of each field; those of one name in their order.
    template <typename Visitor>
    void forEachField(Visitor visit) const
    {
        for (const auto& field : *this)
            visit(field.name_string(), field.value());
        for (const auto& field : m_longFields)
            visit(field.name, field.value);
    }

    const std::vector<LongField>& longFields() const { return m_longFields; }

private:
    std::vector<LongField> m_longFields;
};

/// Parses requests with fields of any length; header_limit() bounds the header as a whole. Requests with another transfer coding than
/// chunked are malformed.
class HttpRequestParser : public http::request_parser<http::string_body> {
public:
    /// Moves the parsed request out.
    HttpRequest releaseRequest();

private:
    void on_field_impl(http::field, beast::string_view name, beast::string_view value, beast::error_code&) override;

    std::vector<LongField> m_longFields;
};

/// The request line and the header fields as they are sent, with the empty line at the end.
std::string serializeHeader(const HttpRequest&);

}
