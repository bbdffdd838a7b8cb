#include "entry/storeschema.h"

#include <criterion/criterion.h>

using namespace guavaspan;

namespace {

/// A schema whose targets are written as "SEQUENCE STATE WARM-UP".
struct StoreSchemaFixture {
    static std::optional<TargetEntry> decode(const std::string& id, const std::string& text)
    {
        TargetEntry entry { .id = id };
        int warmUp = 0;
        char state = 0;
        if (std::sscanf(text.c_str(), "%ld %c %d", &entry.sequence, &state, &warmUp) != 3)
            return std::nullopt;
        entry.state = state == 'r' ? TargetState::Ready : TargetState::Draining;
        entry.warmUpRemaining = Milliseconds(warmUp);
        return entry;
    }

    bool isNews(const char* oldValue, const char* newValue) const { return schema.changesMoreThanHeartbeat("t/a", oldValue, newValue); }

    StoreSchema schema { .configurationKey = "c", .targetPrefix = "t/", .decodeTarget = decode };
};

}

Test(StoreSchema, targetWritesItsEntryAgain_isOnlyAHeartbeat)
{
    StoreSchemaFixture f;
    cr_expect(!f.isNews("1 r 0", "2 r 0"));
    cr_expect(!f.isNews("1 r 900", "2 r 400"));
}

Test(StoreSchema, stateChangesOrWarmUpEndsOrEntryIsUnreadable_isNews)
{
    StoreSchemaFixture f;
    cr_expect(f.isNews("1 r 0", "2 d 0"));
    cr_expect(f.isNews("1 r 400", "2 r 0"));
    cr_expect(f.isNews("1 r 0", "nothing"));
    cr_expect(f.isNews("nothing", "1 r 0"));
}

/// Guards against an overloaded cold target: an instance that reads the store through a peer sends a target that became cold again as much as before.
Test(StoreSchema, targetBecomesColdAgain_isNews)
{
    StoreSchemaFixture f;
    cr_expect(f.isNews("1 r 0", "2 r 900"));
    cr_expect(f.isNews("1 r 200", "2 r 900"));
    cr_expect(f.isNews("1 r 900", "2 r 900"));
}

Test(StoreSchema, otherKeys_eachChangeIsNews)
{
    StoreSchemaFixture f;
    cr_expect(f.schema.changesMoreThanHeartbeat("c", "1", "2"));
}
