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
    line << (record.event == EngineRecord::Event::Run ? "run" : "resume") << ' ' << record.attempt << ' ' << record.engine << ' ' << (record.organisation.empty() ? "-" : record.organisation) << ' ' << record.at << " .\n";
    return line.str();
}

std::vector<EngineRecord> readEngineRecords(const std::string& path)
{
    std::vector<EngineRecord> records;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string event;
        std::string end;
        EngineRecord record;
        if (!(words >> event >> record.attempt >> record.engine >> record.organisation >> record.at >> end) || end != ".")
            continue;
        record.event = event == "run" ? EngineRecord::Event::Run : EngineRecord::Event::Resume;
        if (record.organisation == "-")
            record.organisation.clear();
        records.push_back(std::move(record));
    }
    return records;
}

}
