#include "explain/requestexplanation.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace guavaspan {

namespace {

    using nlohmann::json;

    struct Record {
        std::string instance;
        json fields;

        std::string stringField(const char* name) const
        {
            auto found = fields.find(name);
            return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
        }

        std::int64_t integerField(const char* name) const
        {
            auto found = fields.find(name);
            return found != fields.end() && found->is_number() ? found->get<std::int64_t>() : 0;
        }

        std::string event() const { return stringField("event"); }
        std::string time() const { return stringField("time"); }
    };

    using Records = std::vector<Record>;

    Records parseRecords(const std::vector<InstanceLog>& logs)
    {
        Records records;
        for (const auto& log : logs) {
            std::istringstream lines(log.text);
            for (std::string line; std::getline(lines, line);) {
                auto objectStart = line.find('{');
                auto object = objectStart == std::string::npos ? json() : json::parse(line.substr(objectStart), nullptr, false);
                if (object.is_object() && object.contains("event"))
                    records.push_back({ .instance = log.instance, .fields = std::move(object) });
            }
        }
        std::stable_sort(records.begin(), records.end(), [](const Record& left, const Record& right) { return left.time() < right.time(); });
        return records;
    }

    /// True if the event reports a change of the readiness, configuration or connections of an instance.
    bool changesInstanceState(const std::string& event)
    {
        static const std::set<std::string> stateEvents { "started", "stopping", "ready", "not_ready", "store_lost", "store_regained", "owner_unreachable", "peer_silent", "configuration_adopted" };
        return stateEvents.count(event) > 0;
    }

    class ExplanationBuilder {
    public:
        ExplanationBuilder(const std::string& requestId, const Records& records)
            : m_requestId(requestId)
            , m_records(records)
        {
            for (const auto& record : records) {
                if (record.stringField("request") != requestId)
                    continue;
                m_requestRecords.push_back(&record);
                for (const char* field : { "target", "source", "destination" })
                    m_targets.insert(record.stringField(field));
            }
            m_targets.erase("");
        }

        bool isRequestLogged() const { return !m_requestRecords.empty(); }

        RequestExplanation build() const
        {
            RequestExplanation explanation;
            for (const auto& record : m_records) {
                if (isRelevant(record))
                    explanation.timeline.push_back({ .time = record.time(), .instance = record.instance, .event = record.event(), .fields = formatFields(record) });
            }
            explanation.cause = determineCause();
            return explanation;
        }

    private:
        bool isRelevant(const Record& record) const
        {
            if (record.stringField("request") == m_requestId)
                return true;
            bool isDuringRequest = record.instance == m_requestRecords.front()->instance && record.time() >= m_requestRecords.front()->time() && record.time() <= m_requestRecords.back()->time();
            bool concernsTarget = record.event().starts_with("target_") && m_targets.count(record.stringField("target")) > 0;
            return isDuringRequest && (concernsTarget || changesInstanceState(record.event()));
        }

        static std::string formatFields(const Record& record)
        {
            std::string text;
            for (const auto& [name, value] : record.fields.items()) {
                if (name != "time" && name != "event" && name != "level" && name != "request")
                    text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, value.is_string() ? value.get<std::string>() : value.dump());
            }
            return text;
        }

        const Record* lastRecord(const char* event, const std::string& field = "", const std::string& value = "") const
        {
            const Record* match = nullptr;
            for (const auto& record : m_records) {
                bool isCandidate = record.instance == m_requestRecords.front()->instance && record.time() <= m_requestRecords.back()->time();
                if (isCandidate && record.event() == event && (field.empty() || record.stringField(field.c_str()) == value))
                    match = &record;
            }
            return match;
        }

        const Record* lastRequestRecord(const char* event) const
        {
            auto found = std::find_if(m_requestRecords.rbegin(), m_requestRecords.rend(), [&](const Record* record) { return record->event() == event; });
            return found == m_requestRecords.rend() ? nullptr : *found;
        }

        std::string describeStoreOutage() const
        {
            const auto* lost = lastRecord("store_lost");
            const auto* regained = lastRecord("store_regained");
            bool isUnreachable = lost && (!regained || regained->time() < lost->time());
            return isUnreachable ? fmt::format("; the instance had lost its connection to the store at {}", lost->time()) : "";
        }

        std::string brokenStreamCause(const Record& endRecord) const
        {
            auto target = endRecord.stringField("target");
            const auto* unavailableRecord = lastRecord("target_left", "target", target);
            if (!unavailableRecord)
                return fmt::format("engine {} ended the stream without a shutdown notice to {}{}", target, endRecord.instance, describeStoreOutage());
            const auto* handoverStep = lastRequestRecord("handover_step");
            auto unavailableText = fmt::format("engine {} became unavailable ({}, detected at {})", target, unavailableRecord->stringField("reason"), unavailableRecord->time());
            if (!handoverStep || handoverStep->stringField("source") != target)
                return unavailableText + " and shut down before the move of the generation was started";
            auto result = handoverStep->stringField("result");
            if (result == "destination_full")
                return fmt::format("{}; {} did not have enough free memory for the generation", unavailableText, handoverStep->stringField("destination"));
            return fmt::format("{}; the {} to {} ended with result {} {} ms after the notice ({})", unavailableText, handoverStep->stringField("phase"), handoverStep->stringField("destination"), result, handoverStep->integerField("since_leave_ms"), handoverStep->stringField("detail"));
        }

        std::string unconfirmedConfigurationCause(const Record& endRecord, const char* subject) const
        {
            return fmt::format("{} was {} ms old at {}{}", subject, endRecord.integerField("configuration_age_ms"), endRecord.instance, describeStoreOutage());
        }

        std::string determineCause() const
        {
            const auto* endRecord = lastRequestRecord("request_ended");
            if (!endRecord) {
                const auto& firstRecord = *m_requestRecords.front();
                auto restart = std::find_if(m_records.begin(), m_records.end(), [&](const Record& record) { return record.instance == firstRecord.instance && record.event() == "started" && record.time() > firstRecord.time(); });
                if (restart != m_records.end())
                    return fmt::format("{} stopped while the request ran and started again at {}", firstRecord.instance, restart->time());
                return "the logs contain no end of the request: it is still running, or the log line was dropped";
            }
            auto reason = endRecord->stringField("reason");
            auto target = endRecord->stringField("target");
            auto detail = endRecord->stringField("detail");
            const std::map<std::string, std::string> causesByReason {
                { "answered", fmt::format("answered by {} after {} ms, {} moves", target, endRecord->integerField("took_ms"), endRecord->integerField("moves")) },
                { "no_room", fmt::format("no engine had enough free capacity in time: {}", detail) },
                { "no_target", fmt::format("no target of the service accepted the request: {}", detail) },
                { "stopping", fmt::format("{} was stopping, and the response was expected to take longer than its stop limit", endRecord->instance) },
                { "no_configuration", fmt::format("{} had no configuration yet", endRecord->instance) },
                { "unknown_key", fmt::format("version {} of the configuration does not contain the API key", endRecord->integerField("configuration")) },
                { "no_route", fmt::format("version {} of the configuration does not contain the route", endRecord->integerField("configuration")) },
                { "crashes_targets", "the request had crashed three targets" },
                { "target_failure", fmt::format("{} answered the request with an error ({})", target, detail) },
                { "target_broke", fmt::format("{} sent no complete response ({}); whether the request ran is unknown", target, detail) },
                { "timeout", fmt::format("the deadline passed while {} processed the request ({})", target, detail) },
                { "caller_gone", "the caller disconnected" },
                { "stream_malformed", fmt::format("{} sent bytes that are no event stream ({})", target, detail) },
                { "events_out_of_order", fmt::format("{} sent an event out of order", target) },
            };
            if (reason == "stream_broke")
                return brokenStreamCause(*endRecord);
            if (reason == "keys_unconfirmed")
                return unconfirmedConfigurationCause(*endRecord, "the configuration with the API keys");
            if (reason == "configuration_unconfirmed")
                return unconfirmedConfigurationCause(*endRecord, "the configuration without the route or API key");
            auto found = causesByReason.find(reason);
            return found == causesByReason.end() ? "reason " + reason : found->second;
        }

        const std::string& m_requestId;
        const Records& m_records;
        std::vector<const Record*> m_requestRecords;
        std::set<std::string> m_targets;
    };

}

std::optional<RequestExplanation> explainRequest(const std::string& requestId, const std::vector<InstanceLog>& logs)
{
    auto records = parseRecords(logs);
    ExplanationBuilder builder(requestId, records);
    if (!builder.isRequestLogged())
        return std::nullopt;
    return builder.build();
}

std::string toText(const RequestExplanation& explanation)
{
    std::string text;
    for (const auto& entry : explanation.timeline)
        text += fmt::format("{}  {}  {}  {}\n", entry.time, entry.instance, entry.event, entry.fields);
    return text + "cause: " + explanation.cause + "\n";
}

}
