#include "dispatch/relativepaces.h"

#include <algorithm>

namespace guavaspan {

namespace {

    /// Fewer paces have no meaningful median.
    constexpr std::size_t minKnownPaces = 3;
    /// Prompts and stutters make evenly fast engines differ by less than this factor while they are new, which must not decide between them:
    /// with 1.8, one of eight simulated pools took a new engine for a slow one. Slow engines are 2.4 to 2.5 times slower.
    constexpr double ordinaryDifference = 2;
    /// A single observer may be wrong or have seen prompts only. Its word counts from this factor on, as the smaller one, which orders
    /// the engines but does not limit one.
    constexpr double ordinaryBySingleSource = 2;
    constexpr double maxBySingleSource = 1.35;
    /// Larger differences are more likely an error.
    constexpr double maxDifference = 4;
    constexpr double clearlySlowerAnswers = 1.5;

}

RelativePaces::RelativePaces(const PaceTracker* tracker, PaceKind kind, const std::vector<const TargetEntry*>& targets)
    : m_tracker(tracker)
    , m_kind(kind)
{
    if (!tracker)
        return;
    std::vector<double> known;
    for (const auto* target : targets) {
        const auto* pace = tracker->pace(*target);
        double milliseconds = pace ? (kind == PaceKind::Events ? pace->minEventMs : pace->answerMs) : 0;
        if (milliseconds > 0)
            known.push_back(milliseconds);
    }
    if (known.size() < minKnownPaces)
        return;
    auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    m_usualMs = *middle;
}

double RelativePaces::of(const TargetEntry& target) const
{
    const auto* pace = m_usualMs > 0 ? m_tracker->pace(target) : nullptr;
    if (!pace)
        return 1;
    return m_kind == PaceKind::Events ? eventPace(*pace) : answerPace(*pace);
}

double RelativePaces::eventPace(const TargetPace& pace) const
{
    if (pace.sources == 0)
        return 1;
    // Of two observers that disagree, the one that is nearer to the usual pace is believed.
    double relative = std::clamp(m_usualMs, pace.minEventMs, pace.maxEventMs) / m_usualMs;
    double ordinary = pace.sources == 1 ? ordinaryBySingleSource : ordinaryDifference;
    if (relative <= ordinary && relative >= 1 / ordinary)
        return 1;
    double limit = pace.sources == 1 ? maxBySingleSource : maxDifference;
    return std::clamp(relative, 1 / limit, limit);
}

/// Answers of one target vary, so only differences beyond that count. A faster target does not attract more requests, since an answer is
/// also early if it says little.
double RelativePaces::answerPace(const TargetPace& pace) const
{
    bool slower = pace.answerMs > clearlySlowerAnswers * m_usualMs && pace.answerMs - m_usualMs > pace.answerSpreadMs;
    return slower ? std::min(maxDifference, pace.answerMs / m_usualMs) : 1;
}

}
