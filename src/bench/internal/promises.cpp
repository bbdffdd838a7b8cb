#include "bench/promises.h"

#include "bench/internal/faultinjector.h"
#include "bench/internal/tokensequencechecker.h"
#include "net/eventstreamreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace guavaspan::bench {

namespace {

    using nlohmann::json;

    constexpr auto responseTimeout = Seconds(20);
    constexpr int maxResumes = 6;
    constexpr int maxOrderSends = 8;
    constexpr const char* plannedStopsFilter = "gracefully";
    constexpr auto settleTime = Seconds(12);

    /// Result of one order over all attempts to send it.
    struct OrderRecord {
        int sendCount = 0;
        bool answered = false;
        bool allNotRun = true;
    };

    class PromisesRun {
    public:
        explicit PromisesRun(const PromisesOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_faultInjector(m_context, options, m_report, Random(options.seed + 1))
        {
        }

        int run()
        {
            asio::co_spawn(m_context, runWorkload(), asio::detached);
            m_context.run();
            m_report.print();
            return m_report.violationCount();
        }

    private:
        Awaitable<> runWorkload()
        {
            m_end = Clock::now() + fromSeconds(m_options.seconds);
            for (int i = 0; i < m_options.completionWorkers; ++i)
                asio::co_spawn(m_context, i % 4 == 0 ? completionLoop() : streamLoop(), asio::detached);
            for (int i = 0; i < m_options.orderWorkers; ++i)
                asio::co_spawn(m_context, orderLoop(i), asio::detached);
            for (int i = 0; i < 2; ++i)
                asio::co_spawn(m_context, operatorLoop(), asio::detached);
            asio::co_spawn(m_context, readinessLoop(), asio::detached);
            asio::co_spawn(m_context, revisionLoop(), asio::detached);
            co_await m_faultInjector.run(m_end);
            co_await m_faultInjector.clearFaults();
            while (m_activeTasks > 0)
                co_await sleepFor(Milliseconds(100));
            co_await sleepFor(settleTime);
            co_await checkOrders();
            co_await checkTickets();
            m_context.stop();
        }

        /// Picks a random ready instance, as a load balancer does, or any instance if none is ready.
        std::string pickInstance()
        {
            std::vector<std::string> readyInstances(m_readyInstances.begin(), m_readyInstances.end());
            const auto& candidates = readyInstances.empty() ? m_options.instances : readyInstances;
            return candidates[m_random() % candidates.size()];
        }

        /// Polls the readiness endpoints as a load balancer does.
        Awaitable<> readinessLoop()
        {
            while (true) {
                for (const auto& instance : m_options.instances)
                    asio::co_spawn(m_context, checkReadiness(instance), asio::detached);
                co_await sleepFor(Milliseconds(200));
            }
        }

        Awaitable<> checkReadiness(std::string instance)
        {
            HttpCall call { .endpoint = *parseEndpoint(instance), .target = "/readyz", .timeout = Milliseconds(500) };
            auto response = co_await callHttp(std::move(call));
            if (response && response->result_int() == 200)
                m_readyInstances.insert(instance);
            else
                m_readyInstances.erase(instance);
        }

        /// If only graceful stops are injected, a request may fail only if it did not run.
        void checkInterruption(const std::string& requestName, const Error& error)
        {
            if (m_options.faultFilter == plannedStopsFilter && error.outcome != Outcome::NotRun)
                m_report.addViolation("planned stops interrupt no request", requestName + ": " + describe(error));
        }

        HttpCall makeCall(const std::string& instance, std::string method, std::string target, std::string body, const std::string& key)
        {
            HttpCall call { .endpoint = *parseEndpoint(instance), .method = std::move(method), .target = std::move(target), .body = std::move(body), .timeout = responseTimeout };
            call.headers["Authorization"] = "Bearer " + key;
            return call;
        }

        std::string makePrompt(int tokens) { return fmt::format("[[tokens={}]] Report of field {} on soil moisture", tokens, m_random() % 20); }

        Awaitable<> streamLoop()
        {
            ++m_activeTasks;
            while (Clock::now() < m_end)
                co_await runStream();
            --m_activeTasks;
        }

        /// Reads one stream; resumes it through any instance while resuming is possible.
        Awaitable<> runStream()
        {
            int expectedTokens = 20 + static_cast<int>(m_random() % 250);
            json body { { "model", "reports" }, { "prompt", makePrompt(expectedTokens) }, { "stream", true } };
            TokenSequenceChecker checker;
            std::string lastId;
            for (int attempt = 0; attempt <= maxResumes; ++attempt) {
                auto call = makeCall(pickInstance(), "POST", "/v1/completions", body.dump(), m_options.callerKey);
                if (!lastId.empty())
                    call.headers["Last-Event-ID"] = lastId;
                EventStreamReader reader(co_await asio::this_coro::executor);
                auto status = co_await reader.open(std::move(call));
                if (!status || *status != 200) {
                    m_report.countOutcome(status ? fmt::format("stream refused with {}", *status) : "stream not connected");
                    if (status && *status == 404 && !lastId.empty())
                        break;
                    if (status && *status != 503 && *status != 429 && !lastId.empty())
                        break;
                    co_await sleepFor(Milliseconds(200));
                    continue;
                }
                auto result = co_await readStream(reader, checker, lastId, expectedTokens);
                if (result != StreamResult::Broken)
                    co_return;
                m_report.countOutcome("stream broken and resumed");
            }
            m_report.countOutcome(lastId.empty() ? "stream not started" : "stream abandoned");
        }

        enum class StreamResult {
            Complete,
            Error,
            Broken,
        };

        Awaitable<StreamResult> readStream(EventStreamReader& reader, TokenSequenceChecker& checker, std::string& lastId, int expectedTokens)
        {
            while (true) {
                auto event = co_await reader.next(responseTimeout);
                if (!event)
                    checkInterruption("a stream", event.error());
                if (!event || !*event)
                    co_return StreamResult::Broken;
                if ((*event)->data == "[DONE]") {
                    if (checker.tokenCount() != expectedTokens)
                        m_report.addViolation("complete stream", fmt::format("{} of {} tokens before the end", checker.tokenCount(), expectedTokens));
                    m_report.countOutcome("stream complete");
                    co_return StreamResult::Complete;
                }
                auto data = json::parse((*event)->data, nullptr, false);
                if (data.contains("error")) {
                    if (data["error"].value("outcome", "") == "not_run" && checker.tokenCount() > 0)
                        m_report.addViolation("not_run only without execution", "a stream that had delivered tokens");
                    m_report.countOutcome("stream ended with " + data["error"].value("code", ""));
                    co_return StreamResult::Error;
                }
                auto mismatch = checker.consume(data["choices"][0].value("text", ""));
                if (mismatch) {
                    m_report.addViolation("each token once, in order, from one generation", *mismatch);
                    co_return StreamResult::Error;
                }
                if (!(*event)->id.empty())
                    lastId = (*event)->id;
            }
        }

        Awaitable<> completionLoop()
        {
            ++m_activeTasks;
            while (Clock::now() < m_end) {
                int expectedTokens = 10 + static_cast<int>(m_random() % 100);
                json body { { "model", "reports" }, { "prompt", makePrompt(expectedTokens) } };
                auto call = makeCall(pickInstance(), "POST", "/v1/completions", body.dump(), m_options.callerKey);
                auto response = co_await callHttp(std::move(call));
                if (!response || response->result_int() != 200) {
                    if (!response)
                        checkInterruption("a non-streaming response", response.error());
                    m_report.countOutcome(response ? fmt::format("non-streaming request refused with {}", response->result_int()) : "non-streaming response not received");
                    co_await sleepFor(Milliseconds(200));
                    continue;
                }
                TokenSequenceChecker checker;
                auto mismatch = checker.consume(json::parse(response->body())["choices"][0].value("text", ""));
                if (mismatch || checker.tokenCount() != expectedTokens)
                    m_report.addViolation("complete non-streaming response", mismatch ? *mismatch : fmt::format("{} of {} tokens", checker.tokenCount(), expectedTokens));
                m_report.countOutcome("non-streaming response complete");
            }
            --m_activeTasks;
        }

        Awaitable<> orderLoop(int worker)
        {
            ++m_activeTasks;
            for (int orderNumber = 0; Clock::now() < m_end; ++orderNumber) {
                co_await submitOrder(fmt::format("order-{}-{}-{}", m_options.seed, worker, orderNumber));
                co_await sleepFor(Milliseconds(50));
            }
            --m_activeTasks;
        }

        /// Sends one order until it is answered; some attempts send a concurrent duplicate, as callers that retry early do.
        Awaitable<> submitOrder(std::string name)
        {
            auto& record = m_orders[name];
            for (int attempt = 0; attempt < maxOrderSends && !record.answered; ++attempt) {
                if (m_random() % 4 == 0) {
                    ++m_activeTasks;
                    asio::co_spawn(m_context, sendDuplicate(name), asio::detached);
                }
                co_await sendOrder(name);
                co_await sleepFor(Milliseconds(150));
            }
        }

        Awaitable<> sendDuplicate(std::string name)
        {
            co_await sendOrder(std::move(name));
            --m_activeTasks;
        }

        Awaitable<> sendOrder(std::string name)
        {
            auto call = makeCall(pickInstance(), "POST", "/services/valves/open", name, m_options.callerKey);
            call.headers["Idempotency-Key"] = name;
            auto response = co_await callHttp(std::move(call));
            auto& record = m_orders[name];
            ++record.sendCount;
            if (!response) {
                record.allNotRun = record.allNotRun && response.error().outcome == Outcome::NotRun;
                checkInterruption("an order", response.error());
                m_report.countOutcome("order without a response");
                co_return;
            }
            auto body = json::parse(response->body(), nullptr, false);
            if (response->result_int() == 200) {
                record.answered = true;
                record.allNotRun = false;
                if (body.value("order", "") != name)
                    m_report.addViolation("each caller gets the response to its order", name + " received " + response->body());
                m_report.countOutcome("order answered");
                co_return;
            }
            auto outcome = body.is_object() ? body.value("outcome", "") : "";
            record.allNotRun = record.allNotRun && outcome == "not_run";
            m_report.countOutcome("order refused with outcome " + outcome);
        }

        Awaitable<> checkOrders()
        {
            HttpCall call { .endpoint = *parseEndpoint(m_options.plainServiceAddress), .target = "/executions" };
            auto response = co_await callHttp(std::move(call));
            if (!response) {
                m_report.addViolation("at most one execution", "executions could not be read");
                co_return;
            }
            auto executions = json::parse(response->body());
            for (const auto& [name, record] : m_orders) {
                int executionCount = executions.value(name, 0);
                if (executionCount > 1)
                    m_report.addViolation("at most one execution", fmt::format("{} ran {} times", name, executionCount));
                if (record.answered && executionCount == 0)
                    m_report.addViolation("only executed orders are answered", name + " was answered but never ran");
                if (record.allNotRun && record.sendCount > 0 && executionCount > 0)
                    m_report.addViolation("not_run only without execution", name + " ran although every attempt was answered not_run");
            }
            m_report.countOutcome("orders checked");
        }

        /// Operators change one organisation concurrently, with increasing ticket numbers.
        Awaitable<> operatorLoop()
        {
            ++m_activeTasks;
            while (Clock::now() < m_end) {
                auto ticketNumber = ++m_lastTicket;
                json ticket { { "ticket", ticketNumber }, { "organisations", { { "raced", { { "weight", static_cast<double>(ticketNumber % 900 + 1) } } } } } };
                auto call = makeCall(pickInstance(), "POST", "/v1/tickets", ticket.dump(), m_options.operatorKey);
                auto response = co_await callHttp(std::move(call));
                if (response && response->result_int() == 200) {
                    m_highestAcceptedTicket = std::max(m_highestAcceptedTicket, ticketNumber);
                    m_report.countOutcome("ticket accepted");
                } else {
                    m_report.countOutcome(response ? fmt::format("ticket answered {}", response->result_int()) : "ticket without a response");
                }
                co_await sleepFor(Milliseconds(300));
            }
            --m_activeTasks;
        }

        Awaitable<json> queryInstance(std::string instance, std::string target)
        {
            auto call = makeCall(instance, "GET", target, "", m_options.operatorKey);
            auto response = co_await callHttp(std::move(call));
            if (!response || response->result_int() != 200)
                co_return json {};
            co_return json::parse(response->body(), nullptr, false);
        }

        /// Checks that an instance never reverts to an older revision within one incarnation.
        Awaitable<> revisionLoop()
        {
            std::map<std::string, std::int64_t> highestRevisions;
            while (Clock::now() < m_end) {
                for (const auto& instance : m_options.instances) {
                    auto status = co_await queryInstance(instance, "/v1/status");
                    if (!status.is_object())
                        continue;
                    auto incarnation = status["incarnation"].get<std::string>();
                    auto revision = status["revision"].get<std::int64_t>();
                    if (revision < highestRevisions[incarnation])
                        m_report.addViolation("configuration never reverts", fmt::format("{} went from revision {} to {}", instance, highestRevisions[incarnation], revision));
                    highestRevisions[incarnation] = std::max(highestRevisions[incarnation], revision);
                }
                co_await sleepFor(Milliseconds(200));
            }
        }

        Awaitable<> checkTickets()
        {
            std::set<std::int64_t> revisions;
            for (const auto& instance : m_options.instances) {
                auto configuration = co_await queryInstance(instance, "/v1/configuration");
                if (!configuration.is_object()) {
                    m_report.addViolation("configuration can be read", instance + " does not answer");
                    continue;
                }
                revisions.insert(configuration["revision"].get<std::int64_t>());
                auto items = configuration["items"];
                auto ticket = items.contains("organisations/raced") ? items["organisations/raced"]["ticket"].get<std::int64_t>() : 0;
                if (ticket < m_highestAcceptedTicket)
                    m_report.addViolation("accepted tickets are applied", fmt::format("{} has ticket {} but ticket {} was accepted", instance, ticket, m_highestAcceptedTicket));
            }
            if (revisions.size() != 1)
                m_report.addViolation("same configuration on every instance", "revisions differ after the run");
        }

        const PromisesOptions& m_options;
        asio::io_context m_context { 1 };
        Random m_random;
        PromisesReport m_report;
        std::set<std::string> m_readyInstances;
        FaultInjector m_faultInjector;
        TimePoint m_end;
        int m_activeTasks = 0;
        std::int64_t m_lastTicket = 1000;
        std::int64_t m_highestAcceptedTicket = 0;
        std::map<std::string, OrderRecord> m_orders;
    };

}

int runPromises(const PromisesOptions& options)
{
    return PromisesRun(options).run();
}

}
