#include "net/httprequest.h"
#include "net/httpserver.h"
#include "net/tests/askserver.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

constexpr std::uint32_t maxHeaderBytes = 128 << 10;
/// Around the 16-bit limits of the HTTP library's container, and far beyond them.
constexpr std::array fieldLengths { 65532, 65533, 65534, 65535, 65536, 65537, 100000 };

/// Answers with the request as it would be sent on.
Awaitable<> answerWithHeader(HttpExchange& exchange)
{
    Reply reply { .body = serializeHeader(exchange.request()) };
    co_await exchange.send(std::move(reply));
}

/// A server that permits headers of more than 64 KiB.
struct LongHeaderFixture {
    asio::io_context context;
    HttpServer server { context, HttpLimits { .maxHeaderBytes = maxHeaderBytes, .headerTimeout = Seconds(2), .idleTimeout = Milliseconds(100) }, answerWithHeader };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });

    std::string ask(const std::string& request)
    {
        std::string answer;
        runThenStop(context, askServer(context, endpoint, request, answer));
        return answer;
    }
};

Awaitable<> answerAndClose(HttpExchange& exchange)
{
    exchange.closeAfterResponse();
    Reply reply { .body = exchange.path() };
    co_await exchange.send(std::move(reply));
}

std::string requestWith(const std::string& fields)
{
    return "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + fields + "\r\n";
}

}

/// Guards against LOST: a field that the HTTP library's container cannot hold ended the process.
Test(HttpServer, fieldBeyondTheContainersLength_isReceivedWhole)
{
    for (auto length : fieldLengths) {
        LongHeaderFixture f;
        auto fields = "X-Long: " + std::string(length, 'v') + "\r\nX-Last: 1\r\n";
        auto answer = f.ask(requestWith(fields));
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%d bytes: %.60s", length, answer.c_str());
        cr_expect(answer.find("X-Long: " + std::string(length, 'v') + "\r\n") != std::string::npos, "%d bytes were not passed on whole", length);
        cr_expect(answer.find("X-Last: 1\r\n") != std::string::npos);
    }
}

/// Guards against LOST: the same for a field name.
Test(HttpServer, fieldNameBeyondTheContainersLength_isReceivedWhole)
{
    for (auto length : fieldLengths) {
        LongHeaderFixture f;
        auto name = std::string(length, 'n');
        auto answer = f.ask(requestWith(name + ": 1\r\n"));
        cr_expect(answer.find(name + ": 1\r\n") != std::string::npos, "%d bytes: %.60s", length, answer.c_str());
    }
}

/// Guards against LOST: the same for a trailer field, which no limit of the header covers.
Test(HttpServer, trailerFieldBeyondTheContainersLength_isAnswered)
{
    for (auto length : fieldLengths) {
        LongHeaderFixture f;
        auto answer = f.ask("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Long: " + std::string(length, 'v') + "\r\n\r\n");
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%d bytes: %.60s", length, answer.c_str());
    }
}

/// Guards against a connection that is kept against the caller's word, since a long Connection field was not looked at.
Test(HttpServer, longConnectionFieldEndsWithClose_connectionIsClosed)
{
    LongHeaderFixture f;
    auto answer = f.ask("GET / HTTP/1.1\r\nHost: a\r\nConnection: " + std::string(70000, 'x') + ", close\r\n\r\n");
    cr_expect(answer.starts_with("HTTP/1.1 200"), "%.60s", answer.c_str());
    cr_expect(answer.substr(0, answer.find("\r\n\r\n")).find("Connection: close") != std::string::npos, "%.200s", answer.c_str());
}

Test(HttpServer, headerBeyondItsLimit_isRefused)
{
    LongHeaderFixture f;
    auto answer = f.ask(requestWith("X-Long: " + std::string(maxHeaderBytes, 'v') + "\r\n"));
    cr_expect(answer.starts_with("HTTP/1.1 431"), "%.60s", answer.c_str());
}

/// Guards against an exception: the container of the HTTP library raises one for each field that does not count as long.
Test(HttpRequest, fieldsThatTheContainerRejects_areLong)
{
    for (auto length : fieldLengths) {
        auto text = std::string(length, 'v');
        bool isRejected = false;
        try {
            HttpRequest::Message().insert("X-Long", text);
        } catch (const std::length_error&) {
            isRejected = true;
        }
        HttpRequest request;
        request.addField("X-Long", text);
        request.addField(text, "1");
        cr_expect_eq(request.longFields().size(), isRejected ? 2 : 0, "%d bytes", length);
    }
}

Test(HttpRequest, fieldsOfOneName_keepTheirOrder)
{
    auto longValue = std::string(70000, 'v');
    HttpRequest request { http::verb::get, "/", 11 };
    request.addField("X-Part", "first");
    request.addField("X-Part", longValue);
    request.addField("x-part", "last");
    cr_expect_eq(request.field("X-PART"), "first");
    cr_expect_eq(serializeHeader(request), "GET / HTTP/1.1\r\nX-Part: first\r\nX-Part: " + longValue + "\r\nx-part: last\r\n\r\n");
}

Test(HttpRequest, setField_replacesFieldsOfAnyLength)
{
    HttpRequest request { http::verb::get, "/", 11 };
    request.addField("X-Part", "short");
    request.addField("X-Part", std::string(70000, 'v'));
    request.setField("x-part", "new");
    cr_expect_eq(serializeHeader(request), "GET / HTTP/1.1\r\nx-part: new\r\n\r\n");
}

Test(HttpRequest, longField_isFoundByName)
{
    auto longValue = std::string(70000, 'v');
    HttpRequest request { http::verb::get, "/", 11 };
    request.addField("X-Part", longValue);
    cr_expect_eq(request.field("x-part"), longValue);
    cr_expect(request.field("X-Other").empty());
}

/// Guards against UNASKED: the body of a request with another transfer coding than chunked ran as the next request.
Test(HttpServer, transferCodingOtherThanChunked_isMalformedAndNothingBehindItIsRead)
{
    const std::string body = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const auto& coding : { "gzip", "identity", "xchunked", "chunked, identity", "gzip, chunked", "chunked, chunked", "" }) {
        LongHeaderFixture f;
        auto answer = f.ask("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n" + body);
        cr_expect(answer.starts_with("HTTP/1.1 400"), "%s: %.60s", coding, answer.c_str());
        cr_expect(answer.find("/inner") == std::string::npos, "%s: the body ran as a request", coding);
    }
}

/// The same body, framed by its chunks, belongs to the request.
Test(HttpServer, chunkedBody_isReadAsBody)
{
    for (const auto& coding : { "chunked", "Chunked" }) {
        LongHeaderFixture f;
        auto answer = f.ask("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n5\r\nGET /\r\n0\r\n\r\n");
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s: %.60s", coding, answer.c_str());
    }
}

/// Guards against UNASKED: codings in several fields, or in a version without them.
Test(HttpServer, transferCodingInSeveralFieldsOrAnOlderVersion_isMalformed)
{
    for (const auto& head : { "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n" }) {
        LongHeaderFixture f;
        auto answer = f.ask(head + std::string("0\r\n\r\n"));
        cr_expect(answer.starts_with("HTTP/1.1 400"), "%s: %.60s", head, answer.c_str());
    }
}

/// Guards against MIXED: the body of an answer to HEAD was read as the start of the next answer.
Test(HttpServer, answerToHead_statesTheLengthAndHasNoBody)
{
    LongHeaderFixture f;
    auto answer = f.ask("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n" + requestWith(""));
    auto headEnd = answer.find("\r\n\r\n");
    cr_assert(headEnd != std::string::npos);
    cr_expect(answer.substr(0, headEnd).find("Content-Length: ") != std::string::npos);
    cr_expect(answer.substr(headEnd + 4).starts_with("HTTP/1.1 200"), "%.200s", answer.c_str());
}

/// Guards against LOST: a request that was read behind another one was dropped when the connection closed after the first answer.
Test(HttpServer, connectionToCloseWithAnotherRequestRead_closesAfterTheLastAnswer)
{
    asio::io_context context;
    HttpServer server { context, HttpLimits {}, answerAndClose };
    Endpoint endpoint = *server.listen({ .address = "127.0.0.1" });
    std::string answers;
    runThenStop(context, askServer(context, endpoint, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n", answers));
    auto second = answers.find("HTTP/1.1 200", 1);
    cr_assert(second != std::string::npos, "%s", answers.c_str());
    cr_expect(answers.find("/first") < second && answers.ends_with("/second"));
    auto close = answers.find("Connection: close");
    cr_expect(close > second && close != std::string::npos, "the end is announced before the last answer");
}
