#include "soak/record.h"

#include <chrono>
#include <fstream>
#include <sstream>

namespace guavaspan::soak {

SoakTime soakNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::string encodeEngineRecord(const EngineRecord& record)
{
    std::ostringstream line;
    line << (record.event == EngineRecord::Event::Run ? "run" : "resume") << ' ' << record.attemptId << ' ' << record.engineId << ' ' << (record.organisation.empty() ? "-" : record.organisation) << ' ' << record.recordedAt << " .\n";
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
        if (!(fields >> event >> record.attemptId >> record.engineId >> record.organisation >> record.recordedAt >> terminator) || terminator != ".")
            continue;
        record.event = event == "run" ? EngineRecord::Event::Run : EngineRecord::Event::Resume;
        if (record.organisation == "-")
            record.organisation.clear();
        records.push_back(std::move(record));
    }
    return records;
}

}
