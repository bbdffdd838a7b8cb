#include "bench/promises.h"

#include "bench/internal/tokensequencechecker.h"
#include "bench/internal/faultinjector.h"
#include "net/eventstreamreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace guavaspan::bench {

namespace {

    using nlohmann::json;

    constexpr auto silenceLimit = Seconds(20);
    constexpr int maxResumes = 6;
    constexpr int maxOrderSends = 8;
    constexpr const char* plannedStops = "gracefully";
    constexpr auto settleTime = Seconds(12);

    /// What became of one order over all its sends.
    struct OrderRecord {
        int sends = 0;
        bool answered = false;
        bool onlyNotRun = true;
    };

    class PromisesRun {
    public:
        explicit PromisesRun(const PromisesOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_injector(m_context, options, m_report, Random(options.seed + 1))
        {
        }

        int run()
        {
            asio::co_spawn(m_context, conduct(), asio::detached);
            m_context.run();
            m_report.print();
            return m_report.violations();
        }

    private:
        Awaitable<> conduct()
        {
            m_end = Clock::now() + fromSeconds(m_options.seconds);
            for (int i = 0; i < m_options.streams; ++i)
                asio::co_spawn(m_context, i % 4 == 0 ? wholeLoop() : streamLoop(), asio::detached);
            for (int i = 0; i < m_options.orders; ++i)
                asio::co_spawn(m_context, orderLoop(i), asio::detached);
            for (int i = 0; i < 2; ++i)
                asio::co_spawn(m_context, operatorLoop(), asio::detached);
            asio::co_spawn(m_context, balancerLoop(), asio::detached);
            asio::co_spawn(m_context, revisionLoop(), asio::detached);
            co_await m_injector.run(m_end);
            co_await m_injector.calm();
            while (m_active > 0)
                co_await sleepFor(Milliseconds(100));
            co_await sleepFor(settleTime);
            co_await checkOrders();
            co_await checkTickets();
            m_context.stop();
        }

        /// An instance that the balancer would choose: one that says it is ready.
        std::string anyInstance()
        {
            std::vector<std::string> ready(m_ready.begin(), m_ready.end());
            const auto& from = ready.empty() ? m_options.instances : ready;
            return from[m_random() % from.size()];
        }

        /// Looks at readiness as a balancer does.
        Awaitable<> balancerLoop()
        {
            while (true) {
                for (const auto& instance : m_options.instances)
                    asio::co_spawn(m_context, lookAt(instance), asio::detached);
                co_await sleepFor(Milliseconds(200));
            }
        }

        Awaitable<> lookAt(std::string instance)
        {
            HttpCall call { .endpoint = *parseEndpoint(instance), .target = "/readyz", .timeout = Milliseconds(500) };
            auto response = co_await callHttp(std::move(call));
            if (response && response->result_int() == 200)
                m_ready.insert(instance);
            else
                m_ready.erase(instance);
        }

        /// With planned stops alone, nothing that was begun may be cut.
        void noteCut(const std::string& what, const Error& error)
        {
            if (m_options.faults == plannedStops && error.outcome != Outcome::NotRun)
                m_report.violation("planned stops cut nothing off", what + ": " + describe(error));
        }

        HttpCall callTo(const std::string& instance, std::string method, std::string target, std::string body, const std::string& key)
        {
            HttpCall call { .endpoint = *parseEndpoint(instance), .method = std::move(method), .target = std::move(target), .body = std::move(body), .timeout = silenceLimit };
            call.headers["Authorization"] = "Bearer " + key;
            return call;
        }

        std::string prompt(int tokens) { return fmt::format("[[tokens={}]] Report of field {} on soil moisture", tokens, m_random() % 20); }

        Awaitable<> streamLoop()
        {
            ++m_active;
            while (Clock::now() < m_end)
                co_await streamOnce();
            --m_active;
        }

        /// One stream, resumed through any instance for as long as it can be.
        Awaitable<> streamOnce()
        {
            int wanted = 20 + static_cast<int>(m_random() % 250);
            json body { { "model", "reports" }, { "prompt", prompt(wanted) }, { "stream", true } };
            AnswerChecker checker;
            std::string lastId;
            for (int attempt = 0; attempt <= maxResumes; ++attempt) {
                auto call = callTo(anyInstance(), "POST", "/v1/completions", body.dump(), m_options.callerKey);
                if (!lastId.empty())
                    call.headers["Last-Event-ID"] = lastId;
                EventStreamReader reader(co_await asio::this_coro::executor);
                auto status = co_await reader.open(std::move(call));
                if (!status || *status != 200) {
                    m_report.count(status ? fmt::format("stream refused with {}", *status) : "stream not connected");
                    if (status && *status == 404 && !lastId.empty())
                        break;
                    if (status && *status != 503 && *status != 429 && !lastId.empty())
                        break;
                    co_await sleepFor(Milliseconds(200));
                    continue;
                }
                auto result = co_await follow(reader, checker, lastId, wanted);
                if (result != Followed::Broken)
                    co_return;
                m_report.count("stream broken and resumed");
            }
            m_report.count(lastId.empty() ? "stream never begun" : "stream given up");
        }

        enum class Followed {
            Complete,
            Error,
            Broken,
        };

        Awaitable<Followed> follow(EventStreamReader& reader, AnswerChecker& checker, std::string& lastId, int wanted)
        {
            while (true) {
                auto event = co_await reader.next(silenceLimit);
                if (!event)
                    noteCut("a stream", event.error());
                if (!event || !*event)
                    co_return Followed::Broken;
                if ((*event)->data == "[DONE]") {
                    if (checker.tokens() != wanted)
                        m_report.violation("whole stream", fmt::format("{} of {} tokens before the end", checker.tokens(), wanted));
                    m_report.count("stream complete");
                    co_return Followed::Complete;
                }
                auto data = json::parse((*event)->data, nullptr, false);
                if (data.contains("error")) {
                    if (data["error"].value("outcome", "") == "not_run" && checker.tokens() > 0)
                        m_report.violation("truth of not_run", "a stream that had delivered tokens");
                    m_report.count("stream ended with " + data["error"].value("code", ""));
                    co_return Followed::Error;
                }
                auto fault = checker.take(data["choices"][0].value("text", ""));
                if (fault) {
                    m_report.violation("each token once, in order, from one generation", *fault);
                    co_return Followed::Error;
                }
                if (!(*event)->id.empty())
                    lastId = (*event)->id;
            }
        }

        Awaitable<> wholeLoop()
        {
            ++m_active;
            while (Clock::now() < m_end) {
                int wanted = 10 + static_cast<int>(m_random() % 100);
                json body { { "model", "reports" }, { "prompt", prompt(wanted) } };
                auto call = callTo(anyInstance(), "POST", "/v1/completions", body.dump(), m_options.callerKey);
                auto response = co_await callHttp(std::move(call));
                if (!response || response->result_int() != 200) {
                    if (!response)
                        noteCut("a whole answer", response.error());
                    m_report.count(response ? fmt::format("whole answer refused with {}", response->result_int()) : "whole answer lost with its instance");
                    co_await sleepFor(Milliseconds(200));
                    continue;
                }
                AnswerChecker checker;
                auto fault = checker.take(json::parse(response->body())["choices"][0].value("text", ""));
                if (fault || checker.tokens() != wanted)
                    m_report.violation("whole answer", fault ? *fault : fmt::format("{} of {} tokens", checker.tokens(), wanted));
                m_report.count("whole answer complete");
            }
            --m_active;
        }

        Awaitable<> orderLoop(int worker)
        {
            ++m_active;
            for (int number = 0; Clock::now() < m_end; ++number) {
                co_await orderOnce(fmt::format("order-{}-{}-{}", m_options.seed, worker, number));
                co_await sleepFor(Milliseconds(50));
            }
            --m_active;
        }

        /// Sends one order until it is answered; sometimes twice at once, as impatient callers do.
        Awaitable<> orderOnce(std::string name)
        {
            auto& record = m_orders[name];
            for (int send = 0; send < maxOrderSends && !record.answered; ++send) {
                if (m_random() % 4 == 0) {
                    ++m_active;
                    asio::co_spawn(m_context, sendAside(name), asio::detached);
                }
                co_await sendOrder(name);
                co_await sleepFor(Milliseconds(150));
            }
        }

        Awaitable<> sendAside(std::string name)
        {
            co_await sendOrder(std::move(name));
            --m_active;
        }

        Awaitable<> sendOrder(std::string name)
        {
            auto call = callTo(anyInstance(), "POST", "/services/valves/open", name, m_options.callerKey);
            call.headers["Idempotency-Key"] = name;
            auto response = co_await callHttp(std::move(call));
            auto& record = m_orders[name];
            ++record.sends;
            if (!response) {
                record.onlyNotRun = record.onlyNotRun && response.error().outcome == Outcome::NotRun;
                noteCut("an order", response.error());
                m_report.count("order without an answer");
                co_return;
            }
            auto body = json::parse(response->body(), nullptr, false);
            if (response->result_int() == 200) {
                record.answered = true;
                record.onlyNotRun = false;
                if (body.value("order", "") != name)
                    m_report.violation("each caller its own answer", name + " got " + response->body());
                m_report.count("order answered");
                co_return;
            }
            auto outcome = body.is_object() ? body.value("outcome", "") : "";
            record.onlyNotRun = record.onlyNotRun && outcome == "not_run";
            m_report.count("order refused as " + outcome);
        }

        Awaitable<> checkOrders()
        {
            HttpCall call { .endpoint = *parseEndpoint(m_options.plain), .target = "/executions" };
            auto response = co_await callHttp(std::move(call));
            if (!response) {
                m_report.violation("at most once", "executions could not be read");
                co_return;
            }
            auto executions = json::parse(response->body());
            for (const auto& [name, record] : m_orders) {
                int count = executions.value(name, 0);
                if (count > 1)
                    m_report.violation("at most once", fmt::format("{} ran {} times", name, count));
                if (record.answered && count == 0)
                    m_report.violation("answer of what ran", name + " was answered but never ran");
                if (record.onlyNotRun && record.sends > 0 && count > 0)
                    m_report.violation("truth of not_run", name + " ran though every send was answered not_run");
            }
            m_report.count("orders checked");
        }

        /// Operators race on one organisation with numbers that only grow.
        Awaitable<> operatorLoop()
        {
            ++m_active;
            while (Clock::now() < m_end) {
                auto number = ++m_ticket;
                json ticket { { "ticket", number }, { "organisations", { { "raced", { { "weight", static_cast<double>(number % 900 + 1) } } } } } };
                auto call = callTo(anyInstance(), "POST", "/v1/tickets", ticket.dump(), m_options.operatorKey);
                auto response = co_await callHttp(std::move(call));
                if (response && response->result_int() == 200) {
                    m_accepted = std::max(m_accepted, number);
                    m_report.count("ticket accepted");
                } else {
                    m_report.count(response ? fmt::format("ticket answered {}", response->result_int()) : "ticket without an answer");
                }
                co_await sleepFor(Milliseconds(300));
            }
            --m_active;
        }

        Awaitable<json> ask(std::string instance, std::string target)
        {
            auto call = callTo(instance, "GET", target, "", m_options.operatorKey);
            auto response = co_await callHttp(std::move(call));
            if (!response || response->result_int() != 200)
                co_return json {};
            co_return json::parse(response->body(), nullptr, false);
        }

        /// A life of an instance never goes back to an older revision.
        Awaitable<> revisionLoop()
        {
            std::map<std::string, std::int64_t> highest;
            while (Clock::now() < m_end) {
                for (const auto& instance : m_options.instances) {
                    auto status = co_await ask(instance, "/v1/status");
                    if (!status.is_object())
                        continue;
                    auto life = status["incarnation"].get<std::string>();
                    auto revision = status["revision"].get<std::int64_t>();
                    if (revision < highest[life])
                        m_report.violation("configuration never reverts", fmt::format("{} went from {} to {}", instance, highest[life], revision));
                    highest[life] = std::max(highest[life], revision);
                }
                co_await sleepFor(Milliseconds(200));
            }
        }

        Awaitable<> checkTickets()
        {
            std::set<std::int64_t> revisions;
            for (const auto& instance : m_options.instances) {
                auto configuration = co_await ask(instance, "/v1/configuration");
                if (!configuration.is_object()) {
                    m_report.violation("configuration in force", instance + " does not answer");
                    continue;
                }
                revisions.insert(configuration["revision"].get<std::int64_t>());
                auto items = configuration["items"];
                auto ticket = items.contains("organisations/raced") ? items["organisations/raced"]["ticket"].get<std::int64_t>() : 0;
                if (ticket < m_accepted)
                    m_report.violation("accepted ticket in force", fmt::format("{} holds ticket {} but {} was accepted", instance, ticket, m_accepted));
            }
            if (revisions.size() != 1)
                m_report.violation("configuration in force everywhere", "instances differ after the run");
        }

        const PromisesOptions& m_options;
        asio::io_context m_context { 1 };
        Random m_random;
        PromisesReport m_report;
        std::set<std::string> m_ready;
        FaultInjector m_injector;
        TimePoint m_end;
        int m_active = 0;
        std::int64_t m_ticket = 1000;
        std::int64_t m_accepted = 0;
        std::map<std::string, OrderRecord> m_orders;
    };

}

int runPromises(const PromisesOptions& options)
{
    return PromisesRun(options).run();
}

}
