#include "soak/record.h"

#include "soak/constants.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <sstream>

namespace guavaspan::soak {

SoakTime soakNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

namespace {

    constexpr std::array<std::pair<EngineRecord::Event, const char*>, 6> eventNames { { { EngineRecord::Event::Run, "run" }, { EngineRecord::Event::Resume, "resume" }, { EngineRecord::Event::Arrival, "arrival" }, { EngineRecord::Event::End, "end" }, { EngineRecord::Event::BreakOff, "break_off" }, { EngineRecord::Event::Overwhelmed, "overwhelmed" } } };

}

bool isUndisturbed(const SoakRecord& record, const std::string& subject, SoakTime from, SoakTime to, Excuse excuse)
{
    return std::none_of(record.disturbances.begin(), record.disturbances.end(), [&](const Disturbance& disturbance) {
        bool excuses = excuse == Excuse::AnyDisturbance || (!disturbance.planned && (excuse == Excuse::UnplannedDisturbance || !disturbance.partOfStop));
        return excuses && disturbance.subject == subject && disturbance.startedAt <= to && disturbance.endedAt + recoveryAllowance.count() >= from;
    });
}

std::string encodeEngineRecord(const EngineRecord& record)
{
    std::ostringstream line;
    const auto* name = std::find_if(eventNames.begin(), eventNames.end(), [&](const auto& entry) { return entry.first == record.event; });
    line << name->second << ' ' << record.attemptId << ' ' << record.engineId << ' ' << (record.organisation.empty() ? "-" : record.organisation) << ' ' << record.recordedAt << ' ' << record.deadlineMs << " .\n";
    return line.str();
}

std::vector<EngineRecord> readEngineRecords(const std::string& path)
{
    std::vector<EngineRecord> records;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::string event;
        std::string terminator;
        EngineRecord record;
        if (!(fields >> event >> record.attemptId >> record.engineId >> record.organisation >> record.recordedAt >> record.deadlineMs >> terminator) || terminator != ".")
            continue;
        const auto* name = std::find_if(eventNames.begin(), eventNames.end(), [&](const auto& entry) { return event == entry.second; });
        if (name == eventNames.end())
            continue;
        record.event = name->first;
        if (record.organisation == "-")
            record.organisation.clear();
        records.push_back(std::move(record));
    }
    return records;
}

}
