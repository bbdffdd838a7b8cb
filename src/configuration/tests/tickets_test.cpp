#include "configuration/configurationpropagator.h"
#include "configuration/configurationstore.h"
#include "configuration/ticketparser.h"
#include "keyvalue/tests/fakekeyvaluestore.h"
#include "net/tests/runcoroutine.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace guavaspan;

namespace {

std::string organisationTicket(int number, const std::string& name, double weight)
{
    return fmt::format(R"({{"ticket":{},"organisations":{{"{}":{{"weight":{}}}}}}})", number, name, weight);
}

Ticket parseValid(const std::string& json)
{
    auto result = parseTicket(json);
    cr_assert(std::holds_alternative<Ticket>(result), "%s", json.c_str());
    return std::get<Ticket>(result);
}

std::vector<TicketFault> faultsOf(const std::string& json)
{
    auto result = parseTicket(json);
    auto* faults = std::get_if<std::vector<TicketFault>>(&result);
    return faults ? *faults : std::vector<TicketFault> {};
}

struct StoreFixture {
    asio::io_context context;
    std::shared_ptr<FakeKeyValueStore> keyValue = std::make_shared<FakeKeyValueStore>();
    ConfigurationStore store { keyValue };

    TicketResult submit(const std::string& json) { return runCoroutine(context, store.submit(parseValid(json), ConfigurationRecord {})); }

    ConfigurationRecord fetch()
    {
        auto newer = runCoroutine(context, store.fetchNewer(ConfigurationRecord {}));
        return newer && *newer ? **newer : ConfigurationRecord {};
    }
};

Awaitable<> countAccepted(ConfigurationStore& store, int number, int& accepted)
{
    auto ticket = parseValid(organisationTicket(number, "organisation-" + std::to_string(number), number));
    ConfigurationRecord cached;
    auto result = co_await store.submit(ticket, cached);
    accepted += std::holds_alternative<TicketAccepted>(result);
}

std::string nameOf(const TicketResult& result)
{
    static const char* names[] = { "accepted", "conflict", "stale", "undecided", "not written", "faults" };
    return names[result.index()];
}

double weightIn(const ConfigurationRecord& record, const std::string& organisation)
{
    auto built = buildConfiguration(record);
    return std::get<Configuration>(built).organisations.at(organisation).weight;
}

}

Test(TicketParser, severalFaults_allListedWithTheirPlaces)
{
    auto faults = faultsOf(R"({"ticket":0,"extra":1,
        "organisations":{"a/b":{"weight":-1,"key_hashes":["zz"]}},
        "services":{"s":{"kind":"other","modles":[]}},
        "targets":{"t":{"address":"example.org:80"}}})");
    std::vector<std::string> places;
    for (const auto& fault : faults)
        places.push_back(fault.place);
    for (const char* expected : { "ticket.ticket", "ticket.extra", "organisations/a/b", "organisations/a/b.weight", "organisations/a/b.key_hashes", "services/s.kind", "services/s.modles", "services/s.models", "targets/t.address" })
        cr_expect(std::find(places.begin(), places.end(), expected) != places.end(), "%s", expected);
    cr_expect(faultsOf("nonsense").size() == 1);
    cr_expect(faultsOf(R"({"ticket":1})").size() == 1, "a ticket that changes nothing");
}

Test(TicketPlanner, outOfOrderTickets_neverRevertNewerItems)
{
    StoreFixture f;
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 1))) == "accepted");
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 1))) == "accepted", "the same ticket submitted again");
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 2))) == "conflict");
    cr_expect(nameOf(f.submit(organisationTicket(4, "a", 3))) == "stale");
    cr_expect(nameOf(f.submit(organisationTicket(4, "b", 1))) == "accepted", "an older ticket that changes no newer item");
    cr_expect(f.fetch().head.revision == 2);
    cr_expect(weightIn(f.fetch(), "a") == 1);
}

Test(TicketPlanner, removedItem_notRestoredByOlderTicket)
{
    StoreFixture f;
    f.submit(organisationTicket(1, "a", 1));
    cr_expect(nameOf(f.submit(R"({"ticket":3,"organisations":{"a":null}})")) == "accepted");
    cr_expect(nameOf(f.submit(organisationTicket(2, "a", 1))) == "stale");
}

Test(TicketPlanner, oneStaleItem_rejectsWholeTicket)
{
    StoreFixture f;
    f.submit(organisationTicket(9, "a", 1));
    auto result = f.submit(R"({"ticket":8,"organisations":{"a":{"weight":2},"z":{"weight":2}}})");
    cr_expect(nameOf(result) == "stale");
    cr_expect(std::get<Configuration>(buildConfiguration(f.fetch())).organisations.count("z") == 0);
}

Test(TicketPlanner, danglingReference_rejectsWholeTicket)
{
    StoreFixture f;
    cr_expect(nameOf(f.submit(R"({"ticket":1,"services":{"s":{"kind":"generation","models":["nowhere"]}}})")) == "faults");
    cr_expect(f.fetch().head.revision == 0);
}

namespace {

struct StoreFaultCase {
    const char* name;
    std::vector<StoreFault> faults;
    const char* result;
    std::int64_t revisionAfter;
};

// A ticket is one chunk write and then one head swap; the faults apply to these calls in order.
const std::vector<StoreFaultCase> storeFaultCases {
    { "no fault", {}, "accepted", 1 },
    { "response to the chunk write lost", { StoreFault::LoseResponse }, "not written", 0 },
    { "response to the head swap lost", { StoreFault::None, StoreFault::LoseResponse }, "accepted", 1 },
    { "head swap refused by the rate limit", { StoreFault::None, StoreFault::RefuseWrite }, "not written", 0 },
    { "outage from the start", std::vector<StoreFault>(200, StoreFault::Outage), "not written", 0 },
    { "response to the head swap lost, then outage", [] { std::vector<StoreFault> faults { StoreFault::None, StoreFault::LoseResponse }; faults.resize(200, StoreFault::Outage); return faults; }(), "undecided", 1 },
};

}

Test(ConfigurationStore, storeFaults_resultMatchesStoreAndResendIsAccepted)
{
    for (const auto& faultCase : storeFaultCases) {
        StoreFixture f;
        f.keyValue->faults.assign(faultCase.faults.begin(), faultCase.faults.end());
        auto result = f.submit(organisationTicket(1, "a", 2));
        cr_expect(nameOf(result) == faultCase.result, "%s: %s", faultCase.name, nameOf(result).c_str());
        f.keyValue->faults.clear();
        cr_expect(f.fetch().head.revision == faultCase.revisionAfter, "%s", faultCase.name);
        // Submitting the same ticket again is accepted and adds no second revision.
        cr_expect(nameOf(f.submit(organisationTicket(1, "a", 2))) == "accepted", "%s", faultCase.name);
        cr_expect(f.fetch().head.revision == 1, "%s", faultCase.name);
    }
}

Test(ConfigurationStore, concurrentTickets_allAccepted)
{
    StoreFixture f;
    int accepted = 0;
    for (int number = 1; number <= 3; ++number)
        asio::co_spawn(f.context, countAccepted(f.store, number, accepted), asio::detached);
    f.context.run();
    cr_expect(accepted == 3);
    auto record = f.fetch();
    cr_expect(record.head.revision == 3);
    for (int number = 1; number <= 3; ++number)
        cr_expect(weightIn(record, "organisation-" + std::to_string(number)) == number);
}

Test(ConfigurationStore, thousandsOfOrganisations_storedValuesFarBelowOneMegabyte)
{
    StoreFixture f;
    std::string json = R"({"ticket":1,"organisations":{)";
    for (int i = 0; i < 6500; ++i)
        json += fmt::format(R"({}"organisation-{}":{{"weight":1,"key_hashes":["{:064x}"]}})", i ? "," : "", i, i);
    cr_expect(nameOf(f.submit(json + "}}")) == "accepted");
    auto record = f.fetch();
    cr_expect(encodeHead(record.head).size() < 100'000);
    for (const auto& chunk : record.chunks)
        cr_expect(encodeChunk(chunk).size() < 100'000);
}

Test(ConfigurationHolder, olderOrEqualRevision_notAdopted)
{
    StoreFixture f;
    f.submit(organisationTicket(1, "a", 1));
    auto older = f.fetch();
    f.submit(organisationTicket(2, "a", 2));
    auto newer = f.fetch();
    ConfigurationHolder holder;
    cr_expect(holder.adopt(newer));
    cr_expect_not(holder.adopt(older));
    cr_expect_not(holder.adopt(newer));
    cr_expect(holder.current().organisations.at("a").weight == 2);
}

Test(ConfigurationPropagator, newerPeerRevision_fetchedOnceAndVerified)
{
    StoreFixture f;
    f.submit(organisationTicket(1, "a", 1));
    auto oldRecord = f.fetch();
    f.submit(organisationTicket(2, "b", 2));
    auto newRecord = f.fetch();
    ConfigurationPropagator requester;
    ConfigurationPropagator provider;
    TimePoint now = TimePoint {} + Seconds(1);
    requester.onRevisionReported("peer", 2, oldRecord, now);
    requester.onRevisionReported("other", 2, oldRecord, now);
    auto messages = requester.takeOutgoingMessages();
    cr_assert(messages.size() == 1, "one peer is queried at a time");
    provider.onRevisionRequest("me", std::get<RevisionRequest>(messages[0].message), newRecord);
    auto response = std::get<RevisionResponse>(provider.takeOutgoingMessages()[0].message);
    cr_expect(response.chunks.size() == 1, "only differing chunks are sent");
    auto assembled = ConfigurationPropagator::assemble(response, oldRecord);
    cr_assert(assembled.has_value());
    cr_expect(*assembled == newRecord);
    response.chunks.begin()->second += " ";
    cr_expect_not(ConfigurationPropagator::assemble(response, oldRecord).has_value(), "a chunk that does not match its hash");
    requester.onRevisionReported("other", 2, oldRecord, now + Seconds(1));
    cr_expect(requester.takeOutgoingMessages().size() == 1, "another peer is queried when the first does not answer in time");
}
