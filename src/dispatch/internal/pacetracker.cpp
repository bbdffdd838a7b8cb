#include "dispatch/pacetracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace guavaspan {

namespace {

    /// A step takes 7 ms, and 0.12 ms more for each running request.
    constexpr double growthPerRequest = 0.12 / 7;
    /// A chunk of a prompt takes 8 ms between two steps of 7 ms.
    constexpr double growthPerPrompt = 8.0 / 7;

    /// Samples of some events each: a second or two of the streams at a target.
    constexpr std::size_t keptSamples = 48;
    /// Samples without which a pace is not known.
    constexpr std::size_t minSamples = 4;
    /// Time that the samples must span. With a stutter of 0.6 s, more than a quarter of them lies outside of it, also if the new engine got
    /// many prompts at once.
    constexpr auto minSpan = Milliseconds(1400);
    /// Prompts that are being processed, and stutters, make gaps longer, and only events that are read late make some shorter.
    constexpr double eventQuantile = 0.25;
    /// The first event also waits for prompts that arrived before, so the faster ones tell the speed.
    constexpr double promptQuantile = 0.65;
    /// Shorter prompts tell more about steps and connections than about the speed of prompts.
    constexpr int minPromptTokens = 200;

    /// The owner's votes on a target: enough to outvote a wrong value, and bounded in large fleets.
    constexpr std::size_t keptPeers = 7;
    constexpr int ownVotes = 2;

    /// Values outside of this range are errors of a peer. Engines take 20 to 85 ms.
    constexpr double minPlausibleEventMs = 1;
    constexpr double maxPlausibleEventMs = 2000;

    constexpr double noticeableChange = 0.15;
    /// Repeats make up for lost datagrams.
    constexpr auto reportRepeatInterval = Seconds(5);
    constexpr auto announcementRepeatInterval = Seconds(30);
    /// Slow engines get few requests, so their paces are kept for minutes; without that they would get their share again to be observed.
    constexpr auto memory = Seconds(300);
    /// Time after the last own observation for which it is reported again.
    constexpr auto reportMemory = Seconds(30);
    constexpr std::size_t keptIncarnations = 2;
    /// Times of answers vary, so it takes more of them.
    constexpr std::size_t minAnswers = 16;

    double millisecondsOf(Clock::duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    std::uint16_t incarnationOf(const TargetEntry& target)
    {
        return static_cast<std::uint16_t>(target.startedAt);
    }

    void addSample(std::deque<double>& samples, double value)
    {
        samples.push_back(value);
        if (samples.size() > keptSamples)
            samples.pop_front();
    }

    double quantile(const std::deque<double>& samples, double share)
    {
        std::vector<double> sorted(samples.begin(), samples.end());
        auto position = sorted.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
        std::nth_element(sorted.begin(), position, sorted.end());
        return *position;
    }

    bool differs(int left, int right)
    {
        return std::abs(left - right) > noticeableChange * std::max(left, right);
    }

}

double TargetPace::eventGap(double eventMs, int running, double prompts)
{
    return eventMs * (1 + growthPerRequest * std::max(0, running - 1) + growthPerPrompt * prompts);
}

PaceTracker::Record& PaceTracker::recordOf(const std::string& target, std::uint16_t incarnation, TimePoint now)
{
    auto& records = m_records[target];
    auto found = std::find_if(records.begin(), records.end(), [&](const Record& record) { return record.incarnation == incarnation; });
    if (found == records.end()) {
        if (records.size() == keptIncarnations)
            records.erase(std::min_element(records.begin(), records.end(), [](const Record& left, const Record& right) { return left.updatedAt < right.updatedAt; }));
        found = records.insert(records.end(), Record { .incarnation = incarnation });
    }
    found->updatedAt = now;
    found->merged.reset();
    return *found;
}

PaceTracker::Record& PaceTracker::ownRecordOf(const TargetEntry& target, TimePoint now)
{
    auto& record = recordOf(target.id, incarnationOf(target), now);
    record.observedAt = now;
    return record;
}

template <typename Handler>
void PaceTracker::forEachRecord(Handler handler)
{
    for (auto& [target, records] : m_records) {
        for (auto& record : records)
            handler(target, record);
    }
}

void PaceTracker::onEventGap(const TargetEntry& target, int events, Clock::duration duration, int running, TimePoint now)
{
    if (events <= 0 || duration <= Clock::duration {})
        return;
    auto& record = ownRecordOf(target, now);
    if (record.eventMs.empty())
        record.firstEventAt = now - duration;
    record.lastEventAt = now;
    addSample(record.eventMs, millisecondsOf(duration) / events / TargetPace::eventGap(1, running, 0));
}

void PaceTracker::onFirstEvent(const TargetEntry& target, int promptTokens, Clock::duration sinceSent, TimePoint now)
{
    if (promptTokens < minPromptTokens || sinceSent <= Clock::duration {})
        return;
    addSample(ownRecordOf(target, now).promptTokensPerMs, promptTokens / millisecondsOf(sinceSent));
}

void PaceTracker::onPlainAnswer(const TargetEntry& target, Clock::duration duration, TimePoint now)
{
    addSample(ownRecordOf(target, now).answerMs, millisecondsOf(duration));
}

void PaceTracker::onPeerPaces(const std::string& instance, const ReportedPaces& paces, TimePoint now)
{
    for (const auto& [target, pace] : paces) {
        double eventMs = pace.halfMsPerEvent / 2.0;
        if (eventMs < minPlausibleEventMs || eventMs > maxPlausibleEventMs)
            continue;
        auto& peers = recordOf(target, pace.incarnation, now).peers;
        std::erase_if(peers, [&](const PeerPace& peer) { return peer.instance == instance; });
        peers.push_back({ .instance = instance, .pace = pace });
        if (peers.size() > keptPeers)
            peers.pop_front();
    }
}

std::optional<double> PaceTracker::ownEventMs(const Record& record)
{
    if (record.eventMs.size() < minSamples || record.lastEventAt - record.firstEventAt < minSpan)
        return std::nullopt;
    return quantile(record.eventMs, eventQuantile);
}

TargetPace PaceTracker::merge(const Record& record)
{
    TargetPace pace;
    std::vector<double> eventMs;
    std::deque<double> promptTokensPerMs;
    if (auto own = ownEventMs(record))
        eventMs.assign(ownVotes, *own);
    if (record.promptTokensPerMs.size() >= minSamples)
        promptTokensPerMs.assign(ownVotes, quantile(record.promptTokensPerMs, promptQuantile));
    for (const auto& peer : record.peers) {
        eventMs.push_back(peer.pace.halfMsPerEvent / 2.0);
        if (peer.pace.promptTokensPer10Ms > 0)
            promptTokensPerMs.push_back(peer.pace.promptTokensPer10Ms / 10.0);
    }
    if (!eventMs.empty()) {
        std::sort(eventMs.begin(), eventMs.end());
        // Prompts and stutters make all streams of a target slow at the same time, so the lower values are the better ones. The lowest may
        // be wrong.
        pace.minEventMs = eventMs.at(eventMs.size() > 2 ? 1 : 0);
        pace.maxEventMs = eventMs.size() > 2 ? pace.minEventMs : eventMs.back();
        pace.sources = static_cast<int>(eventMs.size());
    }
    if (!promptTokensPerMs.empty())
        pace.promptTokensPerMs = quantile(promptTokensPerMs, 1.0 / 2);
    if (record.answerMs.size() >= minAnswers) {
        pace.answerMs = quantile(record.answerMs, 1.0 / 2);
        pace.answerSpreadMs = quantile(record.answerMs, 3.0 / 4) - quantile(record.answerMs, 1.0 / 4);
    }
    return pace;
}

const TargetPace& PaceTracker::mergedPace(const Record& record)
{
    if (!record.merged)
        record.merged = merge(record);
    return *record.merged;
}

const TargetPace* PaceTracker::pace(const TargetEntry& target) const
{
    auto found = m_records.find(target.id);
    if (found == m_records.end())
        return nullptr;
    for (const auto& record : found->second) {
        if (record.incarnation == incarnationOf(target))
            return &mergedPace(record);
    }
    return nullptr;
}

bool PaceTracker::isNews(const std::optional<LastTold>& last, const ReportedPace& pace, TimePoint now, Clock::duration repeatInterval)
{
    return !last || now - last->at >= repeatInterval || differs(last->pace.halfMsPerEvent, pace.halfMsPerEvent) || (last->pace.promptTokensPer10Ms == 0 && pace.promptTokensPer10Ms > 0);
}

ReportedPaces PaceTracker::takeUnreported(TimePoint now)
{
    ReportedPaces news;
    forEachRecord([&](const std::string& target, Record& record) {
        auto own = ownEventMs(record);
        if (!own || record.observedAt + reportMemory < now)
            return;
        double promptTokensPerMs = record.promptTokensPerMs.empty() ? 0 : quantile(record.promptTokensPerMs, promptQuantile);
        ReportedPace pace { .incarnation = record.incarnation, .halfMsPerEvent = static_cast<int>(std::lround(2 * *own)), .promptTokensPer10Ms = static_cast<int>(std::lround(10 * promptTokensPerMs)) };
        if (!isNews(record.reported, pace, now, reportRepeatInterval))
            return;
        record.reported = LastTold { .pace = pace, .at = now };
        news.insert_or_assign(target, pace);
    });
    return news;
}

ReportedPaces PaceTracker::takeUnannounced(TimePoint now)
{
    ReportedPaces news;
    forEachRecord([&](const std::string& target, Record& record) {
        const auto& merged = mergedPace(record);
        if (merged.sources == 0)
            return;
        ReportedPace pace { .incarnation = record.incarnation, .halfMsPerEvent = static_cast<int>(std::lround(merged.minEventMs + merged.maxEventMs)), .promptTokensPer10Ms = static_cast<int>(std::lround(10 * merged.promptTokensPerMs)) };
        if (!isNews(record.announced, pace, now, announcementRepeatInterval))
            return;
        record.announced = LastTold { .pace = pace, .at = now };
        news.insert_or_assign(target, pace);
    });
    return news;
}

void PaceTracker::onRecipientsChanged()
{
    forEachRecord([](const std::string&, Record& record) { record.reported.reset(); });
}

void PaceTracker::onTick(TimePoint now)
{
    for (auto& [target, records] : m_records)
        std::erase_if(records, [&](const Record& record) { return record.updatedAt + memory < now; });
    std::erase_if(m_records, [](const auto& entry) { return entry.second.empty(); });
}

}
