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

Ticket parsed(const std::string& json)
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

    TicketResult submit(const std::string& json) { return runCoroutine(context, store.submit(parsed(json), ConfigurationRecord {})); }

    ConfigurationRecord fetch()
    {
        auto newer = runCoroutine(context, store.fetchNewer(ConfigurationRecord {}));
        return newer && *newer ? **newer : ConfigurationRecord {};
    }
};

Awaitable<> countAccepted(ConfigurationStore& store, int number, int& accepted)
{
    auto ticket = parsed(organisationTicket(number, "organisation-" + std::to_string(number), number));
    ConfigurationRecord known;
    auto answer = co_await store.submit(ticket, known);
    accepted += std::holds_alternative<TicketAccepted>(answer);
}

std::string nameOf(const TicketResult& answer)
{
    static const char* names[] = { "accepted", "conflict", "stale", "undecided", "not written", "faults" };
    return names[answer.index()];
}

double weightIn(const ConfigurationRecord& record, const std::string& organisation)
{
    auto built = buildConfiguration(record);
    return std::get<Configuration>(built).organisations.at(organisation).weight;
}

}

Test(TicketParser, everyFault_isListedWithItsPlace)
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

Test(TicketPlanner, orderTable_neverReverts)
{
    StoreFixture f;
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 1))) == "accepted");
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 1))) == "accepted", "the same ticket again");
    cr_expect(nameOf(f.submit(organisationTicket(5, "a", 2))) == "conflict");
    cr_expect(nameOf(f.submit(organisationTicket(4, "a", 3))) == "stale");
    cr_expect(nameOf(f.submit(organisationTicket(4, "b", 1))) == "accepted", "an older number that touches nothing newer");
    cr_expect(f.fetch().head.revision == 2);
    cr_expect(weightIn(f.fetch(), "a") == 1);
}

Test(TicketPlanner, removedItem_isNotBroughtBackByOlderTicket)
{
    StoreFixture f;
    f.submit(organisationTicket(1, "a", 1));
    cr_expect(nameOf(f.submit(R"({"ticket":3,"organisations":{"a":null}})")) == "accepted");
    cr_expect(nameOf(f.submit(organisationTicket(2, "a", 1))) == "stale");
}

Test(TicketPlanner, staleInOnePart_isRefusedWhole)
{
    StoreFixture f;
    f.submit(organisationTicket(9, "a", 1));
    auto answer = f.submit(R"({"ticket":8,"organisations":{"a":{"weight":2},"z":{"weight":2}}})");
    cr_expect(nameOf(answer) == "stale");
    cr_expect(std::get<Configuration>(buildConfiguration(f.fetch())).organisations.count("z") == 0);
}

Test(TicketPlanner, brokenReference_isRefusedWhole)
{
    StoreFixture f;
    cr_expect(nameOf(f.submit(R"({"ticket":1,"services":{"s":{"kind":"generation","models":["nowhere"]}}})")) == "faults");
    cr_expect(f.fetch().head.revision == 0);
}

namespace {

struct TicketFaultRow {
    const char* name;
    std::vector<StoreFault> faults;
    const char* answer;
    std::int64_t revisionAfter;
};

// One chunk write and one head swap make a ticket; the faults strike in that order.
const std::vector<TicketFaultRow> ticketFaults {
    { "no fault", {}, "accepted", 1 },
    { "chunk's answer lost", { StoreFault::LoseResponse }, "not written", 0 },
    { "head's answer lost", { StoreFault::None, StoreFault::LoseResponse }, "accepted", 1 },
    { "head refused by rate", { StoreFault::None, StoreFault::RefuseWrite }, "not written", 0 },
    { "down from the start", std::vector<StoreFault>(200, StoreFault::Outage), "not written", 0 },
    { "head's answer lost, then down", [] { std::vector<StoreFault> faults { StoreFault::None, StoreFault::LoseResponse }; faults.resize(200, StoreFault::Outage); return faults; }(), "undecided", 1 },
};

}

Test(ConfigurationStore, faultTable_answersTruthfullyAndResendSettles)
{
    for (const auto& row : ticketFaults) {
        StoreFixture f;
        f.keyValue->faults.assign(row.faults.begin(), row.faults.end());
        auto answer = f.submit(organisationTicket(1, "a", 2));
        cr_expect(nameOf(answer) == row.answer, "%s: %s", row.name, nameOf(answer).c_str());
        f.keyValue->faults.clear();
        cr_expect(f.fetch().head.revision == row.revisionAfter, "%s", row.name);
        // [THEN] sending it again always ends accepted, at one revision
        cr_expect(nameOf(f.submit(organisationTicket(1, "a", 2))) == "accepted", "%s", row.name);
        cr_expect(f.fetch().head.revision == 1, "%s", row.name);
    }
}

Test(ConfigurationStore, racingOperators_allAcceptedInSomeOrder)
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

Test(ConfigurationStore, thousandsOfOrganisations_stayFarBelowOneMegabyteAValue)
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

Test(ConfigurationHolder, olderRevision_isNeverAdopted)
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

Test(ConfigurationPropagator, newerPeer_isAskedAndItsRecordVerified)
{
    StoreFixture f;
    f.submit(organisationTicket(1, "a", 1));
    auto old = f.fetch();
    f.submit(organisationTicket(2, "b", 2));
    auto fresh = f.fetch();
    ConfigurationPropagator behind;
    ConfigurationPropagator ahead;
    TimePoint now = TimePoint {} + Seconds(1);
    behind.onRevisionReported("peer", 2, old, now);
    behind.onRevisionReported("other", 2, old, now);
    auto asks = behind.takeSends();
    cr_assert(asks.size() == 1, "one peer is asked at a time");
    ahead.onRevisionRequest("me", std::get<RevisionRequest>(asks[0].message), fresh);
    auto sent = std::get<RevisionResponse>(ahead.takeSends()[0].message);
    cr_expect(sent.chunks.size() == 1, "only what differs travels");
    auto assembled = ConfigurationPropagator::assemble(sent, old);
    cr_assert(assembled.has_value());
    cr_expect(*assembled == fresh);
    sent.chunks.begin()->second += " ";
    cr_expect_not(ConfigurationPropagator::assemble(sent, old).has_value(), "a chunk that does not match its hash");
    behind.onRevisionReported("other", 2, old, now + Seconds(1));
    cr_expect(behind.takeSends().size() == 1, "another peer is asked when the first stays silent");
}
