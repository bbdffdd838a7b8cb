#pragma once

#include "common/time.h"
#include "dispatch/targetpace.h"
#include "targets/targettypes.h"

#include <deque>
#include <optional>
#include <vector>

namespace guavaspan {

/// Learns the pace of each target from the streams and answers of this instance and from the reports of peers.
class PaceTracker {
public:
    /// A stream received some events in this time, beside other requests of its target.
    void onEventGap(const TargetEntry&, int events, Clock::duration, int running, TimePoint now);

    /// The first event of a generation arrived.
    void onFirstEvent(const TargetEntry&, int promptTokens, Clock::duration sinceSent, TimePoint now);

    void onPlainAnswer(const TargetEntry&, Clock::duration, TimePoint now);

    /// Paces that a peer, or an aggregator, reported.
    void onPeerPaces(const std::string& instance, const ReportedPaces&, TimePoint now);

    /// The pace of this incarnation of a target; null if nothing is known. Valid until the next change.
    const TargetPace* pace(const TargetEntry&) const;

    /// This instance's own observations that changed noticeably since they were last taken.
    ReportedPaces takeUnreported(TimePoint now);

    /// The paces by all observations that changed noticeably since they were last taken, for the members of an aggregator.
    ReportedPaces takeUnannounced(TimePoint now);

    /// All own observations count as unreported, because other instances receive the reports now.
    void onRecipientsChanged();

    /// Forgets targets that have not been observed for a long time.
    void onTick(TimePoint now);

private:
    struct PeerPace {
        std::string instance;
        ReportedPace pace;
    };
    struct LastTold {
        ReportedPace pace;
        TimePoint at;
    };
    struct Record {
        std::uint16_t incarnation = 0;
        TimePoint updatedAt;
        /// When this instance itself last observed it.
        TimePoint observedAt;
        TimePoint firstEventAt;
        TimePoint lastEventAt;
        std::deque<double> eventMs;
        std::deque<double> promptTokensPerMs;
        std::deque<double> answerMs;
        /// In the order of their last reports.
        std::deque<PeerPace> peers;
        std::optional<LastTold> reported;
        std::optional<LastTold> announced;
        /// Computed when needed, because it is read for each candidate of each placement.
        mutable std::optional<TargetPace> merged;
    };

    Record& recordOf(const std::string& target, std::uint16_t incarnation, TimePoint now);
    Record& ownRecordOf(const TargetEntry&, TimePoint now);
    static std::optional<double> ownEventMs(const Record&);
    static TargetPace merge(const Record&);
    static const TargetPace& mergedPace(const Record&);
    static bool isNews(const std::optional<LastTold>&, const ReportedPace&, TimePoint now, Clock::duration repeatInterval);

    template <typename Handler>
    void forEachRecord(Handler);

    /// A target's last incarnations: reports of an earlier one may arrive after those of its successor.
    std::map<std::string, std::vector<Record>> m_records;
};

}
