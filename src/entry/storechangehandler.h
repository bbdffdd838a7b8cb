#pragma once

#include "dispatch/dispatcher.h"
#include "entry/storeschema.h"
#include "fleet/storefollower.h"
#include "quarantine/crashguard.h"
#include "quarantine/crashrecordwriter.h"
#include "quarantine/promptguard.h"
#include "routing/activeconfiguration.h"
#include "targets/targetlimits.h"

namespace guavaspan {

/// Parts of the instance that follow the store.
struct StoreChangeContext {
    const StoreSchema& schema;
    const StoreReplica& replica;
    const StoreFollower& follower;
    ActiveConfiguration& configuration;
    TargetDirectory& directory;
    TargetLimits& targetLimits;
    Dispatcher& dispatcher;
    FleetView& fleet;
    CrashGuard& crashGuard;
    PromptGuard& promptGuard;
    /// Called with the limits of each configuration that comes into force.
    std::function<void(const CallerLimits&)> onCallerLimits;
};

/// Applies the entries of the store to the parts of the instance.
class StoreChangeHandler {
public:
    explicit StoreChangeHandler(StoreChangeContext context)
        : m_context(std::move(context))
    {
    }

    /// The value is absent if the entry was removed.
    void onStoreChange(const std::string& key, const std::optional<std::string>& value);

    void onEvacuationChanged(const EvacuationChanged&);

private:
    void onStoreEntry(const std::string& key, const std::optional<std::string>& value);
    void onCrashRecord(const StoredCrashRecord&, TimePoint now);
    void onConfiguration(const std::string& document);

    StoreChangeContext m_context;
};

}
