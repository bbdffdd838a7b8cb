#pragma once

#include "common/random.h"
#include "fleet/fleetview.h"
#include "fleet/registration.h"
#include "fleet/storereplica.h"
#include "quarantine/crashrecordwriter.h"
#include "targets/targetdirectory.h"
#include "usage/usagecustodian.h"
#include "usage/usagewriter.h"

namespace guavaspan {

struct StoreRecoveryOptions {
    asio::io_context& io;
    FleetView& fleet;
    TargetDirectory& directory;
    const StoreReplica& replica;
    Registration& registration;
    UsageWriter& usageWriter;
    UsageCustodian& usageCustodian;
    CrashRecordWriter& crashRecordWriter;
    Random& random;
};

/// Writes again what a store that came back from a copy may have lost of this instance.
class StoreRecovery {
public:
    explicit StoreRecovery(StoreRecoveryOptions);

    void onStoreRestored(const StoreRestored&);

private:
    /// The position, from 0 to 1, is the place of this instance among all that write.
    Awaitable<> writeRecordsAgain(double position);

    StoreRecoveryOptions m_options;
};

}
