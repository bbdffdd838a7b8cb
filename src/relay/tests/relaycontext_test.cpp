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
