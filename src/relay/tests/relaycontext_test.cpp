#include "relay/relaycontext.h"

#include <criterion/criterion.h>

using namespace guavaspan;

/// Guards against BUDGET: a request that crashes engines was not recognised when it came with another key of
/// its organisation, or with other numbers in its headers.
Test(RequestFingerprint, sameOrganisationPathAndBody_otherHeaders_isTheSame)
{
    HttpRequest first { http::verb::post, "/a/b?c=1", 11 };
    first.body() = "body";
    HttpRequest second = first;
    second.set("X-Key", "other");
    second.set("X-Token-Count", "1,2");
    cr_expect(fingerprintOf("organisation", first) == fingerprintOf("organisation", second));
    cr_expect(fingerprintOf("organisation", first) != fingerprintOf("other", first));
    second.body() = "other";
    cr_expect(fingerprintOf("organisation", first) != fingerprintOf("organisation", second));
}

/// Guards against MIXED: an answer to HEAD stated no bytes, whichever relay passed it on.
Test(PassedOnAnswer, answerToHead_keepsTheLengthThatItStates)
{
    http::response_header<> header;
    header.set(http::field::content_length, "4");
    header.set("X-Response-Seal", "seal");
    auto answerTo = [&](http::verb method, std::string body) { return passedOnAnswer(HttpRequest { method, "/", 11 }, header, std::move(body)); };
    auto toHead = answerTo(http::verb::head, "");
    cr_expect(toHead[http::field::content_length] == "4" && toHead["X-Response-Seal"] == "seal");
    auto toGet = answerTo(http::verb::get, "done");
    cr_expect_not(toGet.has_content_length(), "the length is that of the body that is sent");
    cr_expect(toGet.body() == "done");
}
