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

        std::string text(const char* name) const
        {
            auto found = fields.find(name);
            return found != fields.end() && found->is_string() ? found->get<std::string>() : "";
        }

        std::int64_t number(const char* name) const
        {
            auto found = fields.find(name);
            return found != fields.end() && found->is_number() ? found->get<std::int64_t>() : 0;
        }

        std::string event() const { return text("event"); }
        std::string time() const { return text("time"); }
    };

    using Records = std::vector<Record>;

    Records recordsOf(const std::vector<InstanceLog>& logs)
    {
        Records records;
        for (const auto& log : logs) {
            std::istringstream text(log.text);
            for (std::string line; std::getline(text, line);) {
                auto brace = line.find('{');
                auto object = brace == std::string::npos ? json() : json::parse(line.substr(brace), nullptr, false);
                if (object.is_object() && object.contains("event"))
                    records.push_back({ .instance = log.instance, .fields = std::move(object) });
            }
        }
        std::stable_sort(records.begin(), records.end(), [](const Record& left, const Record& right) { return left.time() < right.time(); });
        return records;
    }

    /// Events that change what an instance knows or can do.
    bool isContext(const std::string& event)
    {
        static const std::set<std::string> events { "started", "stopping", "ready", "not_ready", "store_lost", "store_regained", "owner_unreachable", "peer_silent", "configuration_adopted" };
        return events.count(event) > 0;
    }

    class Story {
    public:
        Story(const std::string& request, const Records& records)
            : m_request(request)
            , m_records(records)
        {
            for (const auto& record : records) {
                if (record.text("request") != request)
                    continue;
                m_own.push_back(&record);
                for (const char* field : { "target", "source", "destination" })
                    m_targets.insert(record.text(field));
            }
            m_targets.erase("");
        }

        bool known() const { return !m_own.empty(); }

        RequestExplanation tell() const
        {
            RequestExplanation story;
            for (const auto& record : m_records) {
                if (concerns(record))
                    story.lines.push_back({ .time = record.time(), .instance = record.instance, .event = record.event(), .fields = fieldsOf(record) });
            }
            story.cause = cause();
            return story;
        }

    private:
        bool concerns(const Record& record) const
        {
            if (record.text("request") == m_request)
                return true;
            bool during = record.instance == m_own.front()->instance && record.time() >= m_own.front()->time() && record.time() <= m_own.back()->time();
            bool ofTarget = record.event().starts_with("target_") && m_targets.count(record.text("target")) > 0;
            return during && (ofTarget || isContext(record.event()));
        }

        static std::string fieldsOf(const Record& record)
        {
            std::string text;
            for (const auto& [name, value] : record.fields.items()) {
                if (name != "time" && name != "event" && name != "level" && name != "request")
                    text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, value.is_string() ? value.get<std::string>() : value.dump());
            }
            return text;
        }

        const Record* last(const char* event, const std::string& field = "", const std::string& value = "") const
        {
            const Record* found = nullptr;
            for (const auto& record : m_records) {
                bool here = record.instance == m_own.front()->instance && record.time() <= m_own.back()->time();
                if (here && record.event() == event && (field.empty() || record.text(field.c_str()) == value))
                    found = &record;
            }
            return found;
        }

        const Record* ownLast(const char* event) const
        {
            auto found = std::find_if(m_own.rbegin(), m_own.rend(), [&](const Record* each) { return each->event() == event; });
            return found == m_own.rend() ? nullptr : *found;
        }

        std::string storeState() const
        {
            const auto* lost = last("store_lost");
            const auto* regained = last("store_regained");
            bool away = lost && (!regained || regained->time() < lost->time());
            return away ? fmt::format("; the instance had lost the store at {}", lost->time()) : "";
        }

        std::string brokenStream(const Record& ended) const
        {
            auto target = ended.text("target");
            const auto* left = last("target_left", "target", target);
            if (!left)
                return fmt::format("engine {} ended the stream without a notice that had reached {}{}", target, ended.instance, storeState());
            const auto* step = ownLast("handover_step");
            auto notice = fmt::format("engine {} left ({}, known at {})", target, left->text("reason"), left->time());
            if (!step || step->text("source") != target)
                return notice + " and the generation's turn to move did not come before the engine was gone";
            auto result = step->text("result");
            if (result == "destination_full")
                return fmt::format("{}; {} had no room for its memory", notice, step->text("destination"));
            return fmt::format("{}; the {} to {} ended with {} {} ms after the notice ({})", notice, step->text("phase"), step->text("destination"), result, step->number("since_leave_ms"), step->text("detail"));
        }

        std::string unconfirmed(const Record& ended, const char* what) const
        {
            return fmt::format("{} was {} ms old at {}{}", what, ended.number("configuration_age_ms"), ended.instance, storeState());
        }

        std::string cause() const
        {
            const auto* ended = ownLast("request_ended");
            if (!ended) {
                const auto& begun = *m_own.front();
                auto restart = std::find_if(m_records.begin(), m_records.end(), [&](const Record& each) { return each.instance == begun.instance && each.event() == "started" && each.time() > begun.time(); });
                if (restart != m_records.end())
                    return fmt::format("{} itself ended while the request ran; it started again at {}", begun.instance, restart->time());
                return "no end is on record: the request still runs, or its log line was dropped";
            }
            auto reason = ended->text("reason");
            auto target = ended->text("target");
            auto detail = ended->text("detail");
            const std::map<std::string, std::string> plain {
                { "answered", fmt::format("answered by {} after {} ms, {} moves", target, ended->number("took_ms"), ended->number("moves")) },
                { "no_room", fmt::format("no engine had room in time: {}", detail) },
                { "no_target", fmt::format("no target of the service accepted it: {}", detail) },
                { "stopping", fmt::format("{} was stopping and the answer would have outlasted it", ended->instance) },
                { "no_configuration", fmt::format("{} had no configuration yet", ended->instance) },
                { "unknown_key", fmt::format("version {} of the configuration holds no such key", ended->number("configuration")) },
                { "no_route", fmt::format("version {} of the configuration has no such route", ended->number("configuration")) },
                { "crashes_targets", "the request crashed three targets before" },
                { "target_failure", fmt::format("{} itself failed it ({})", target, detail) },
                { "target_broke", fmt::format("{} gave no whole answer ({}); whether it ran is unknown", target, detail) },
                { "timeout", fmt::format("its time was over while {} worked on it ({})", target, detail) },
                { "caller_gone", "the caller left" },
                { "events_out_of_order", fmt::format("{} sent an event out of order", target) },
            };
            if (reason == "stream_broke")
                return brokenStream(*ended);
            if (reason == "keys_unconfirmed")
                return unconfirmed(*ended, "the configuration that holds the keys");
            if (reason == "configuration_unconfirmed")
                return unconfirmed(*ended, "the configuration that lacks the route or key");
            auto found = plain.find(reason);
            return found == plain.end() ? "reason " + reason : found->second;
        }

        const std::string& m_request;
        const Records& m_records;
        std::vector<const Record*> m_own;
        std::set<std::string> m_targets;
    };

}

std::optional<RequestExplanation> explainRequest(const std::string& requestId, const std::vector<InstanceLog>& logs)
{
    auto records = recordsOf(logs);
    Story story(requestId, records);
    if (!story.known())
        return std::nullopt;
    return story.tell();
}

std::string toText(const RequestExplanation& story)
{
    std::string text;
    for (const auto& line : story.lines)
        text += fmt::format("{}  {}  {}  {}\n", line.time, line.instance, line.event, line.fields);
    return text + "cause: " + story.cause + "\n";
}

}
