#include "placement/broadcastrelay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace guavaspan;

namespace {

const TimePoint start { Seconds(100) };

BroadcastBatch onlyBatch(const std::vector<BroadcastBatch>& batches)
{
    cr_assert_eq(batches.size(), 1u);
    return batches.front();
}

}

Test(BroadcastRelay, published_goesToAggregatorsTwiceAndIsDeliveredOnce)
{
    BroadcastRelay sender("a", 0);
    BroadcastRelay aggregator("x", 0);
    sender.publish("news", start);
    auto first = onlyBatch(sender.takeForAggregators(start));
    cr_expect(sender.takeForAggregators(start + Milliseconds(100)).empty());
    auto second = onlyBatch(sender.takeForAggregators(start + Milliseconds(200)));
    cr_expect(first == second);
    cr_expect(sender.takeForAggregators(start + Seconds(10)).empty());
    cr_expect(aggregator.onBatch(first, start) == std::vector<std::string> { "news" });
    cr_expect(aggregator.onBatch(second, start).empty());
    cr_expect_eq(onlyBatch(aggregator.takeForSubscribers()).items.size(), 1u);
    cr_expect(aggregator.takeForSubscribers().empty());
}

Test(BroadcastRelay, subscriberOfTwoAggregators_deliversOnceAndPassesNothingOn)
{
    BroadcastRelay subscriber("s", 0);
    BroadcastBatch batch { .items = { { .origin = "a", .number = 1, .message = "news" } } };
    cr_expect_eq(subscriber.onBatch(batch, start).size(), 1u);
    cr_expect(subscriber.onBatch(batch, start).empty());
    cr_expect(subscriber.takeForSubscribers().empty());
}

Test(BroadcastRelay, ownMessageComesBack_isNotDelivered)
{
    BroadcastRelay sender("a", 0);
    sender.publish("news", start);
    auto batch = onlyBatch(sender.takeForAggregators(start));
    cr_expect(sender.onBatch(batch, start).empty());
}

Test(BroadcastRelay, restartedOrigin_itsNewMessagesAreDelivered)
{
    BroadcastRelay aggregator("x", 0);
    BroadcastRelay first("a", 1000);
    BroadcastRelay second("a", 5000);
    first.publish("old", start);
    second.publish("new", start);
    cr_expect_eq(aggregator.onBatch(onlyBatch(first.takeForAggregators(start)), start).size(), 1u);
    cr_expect_eq(aggregator.onBatch(onlyBatch(second.takeForAggregators(start)), start).size(), 1u);
}

/// Guards against a storm of crashes that floods a large fleet: a subscriber gets few datagrams a second however many messages there are,
/// and each message arrives in time.
Test(BroadcastRelay, stormOfCrashesIn1600Instances_datagramsAreBoundedAndAllMessagesArrive)
{
    constexpr int messagesPerSecond = 2000;
    constexpr int ticksPerSecond = 10;
    constexpr std::size_t messageBytes = 60;
    BroadcastRelay aggregator("x", 0);
    BroadcastRelay subscriber("s", 0);
    TimePoint now = start;
    int datagrams = 0;
    std::size_t delivered = 0;
    for (int tick = 0; tick < ticksPerSecond; ++tick) {
        for (int number = 0; number < messagesPerSecond / ticksPerSecond; ++number) {
            BroadcastRelay sender("entry-" + std::to_string(number), tick);
            sender.publish(std::string(messageBytes, 'm'), now);
            for (const auto& batch : sender.takeForAggregators(now))
                aggregator.onBatch(batch, now);
        }
        now += Milliseconds(100);
        for (const auto& batch : aggregator.takeForSubscribers()) {
            ++datagrams;
            delivered += subscriber.onBatch(batch, now).size();
        }
    }
    cr_expect_eq(delivered, std::size_t(messagesPerSecond));
    cr_expect_leq(datagrams, 3 * ticksPerSecond, "%d", datagrams);
}

/// Guards against news that some instances miss: datagrams to the aggregators are repeated.
Test(BroadcastRelay, lossOnTheWayToAggregators_nearlyAllMessagesArrive)
{
    std::mt19937 random(7);
    std::bernoulli_distribution lost(0.1);
    BroadcastRelay sender("a", 0);
    BroadcastRelay aggregator("x", 0);
    constexpr int messages = 1000;
    std::size_t delivered = 0;
    TimePoint now = start;
    auto transfer = [&] {
        for (const auto& batch : sender.takeForAggregators(now))
            delivered += lost(random) ? 0 : aggregator.onBatch(batch, now).size();
    };
    for (int number = 0; number < messages; ++number) {
        sender.publish("news", now);
        transfer();
        now += Milliseconds(100);
    }
    now += Milliseconds(300);
    transfer();
    cr_expect_geq(delivered, std::size_t(0.97 * messages), "%zu", delivered);
}
