#include "common/hash.h"
#include "instance/instance.h"
#include "keyvalue/etcdkeyvaluestore.h"
#include "net/tests/callerconnection.h"
#include "net/tests/runcoroutine.h"
#include "standins/engineserver.h"
#include "standins/platformserver.h"
#include "usage/usagewriter.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

using namespace guavaspan;

namespace {

const std::string operatorKey = "operator-key";
const std::string callerKey = "caller-key";
constexpr auto freezeTime = Seconds(2);

std::string post(const std::string& path, const std::string& key, const std::string& body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", path, key, body.size(), body);
}

std::string completion(int tokens)
{
    return post("/v1/completions", callerKey, fmt::format(R"({{"model":"reports","prompt":"[[tokens={}]] a report","stream":true}})", tokens));
}

/// `guavaspan serve` as a process of its own, with an engine.
struct ServeFixture {
    ServeFixture()
    {
        Settings settings;
        settings.instance.name = "entry-1";
        settings.instance.failureDomain = "a";
        settings.listen = { .callers = callers, .peers = { .address = callers.address } };
        settings.platform.keyValueService = platformEndpoint;
        settings.platform.instanceList = platformEndpoint;
        settings.peers.key = "peer-key-0123456789";
        settings.operators.keyHashes = { sha256Hex(operatorKey) };
        child = ::fork();
        if (child == 0) {
            // A failed assertion ends the test without destructors.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            Instance instance(settings);
            std::_Exit(instance.run());
        }
        thread = std::thread([this] { context.run(); });
        auto ticket = fmt::format(R"({{"ticket":1,"targets":{{"engine-1":{{"address":"{}","failure_domain":"a"}}}},"models":{{"writer":{{"targets":["engine-1"]}}}},"services":{{"reports":{{"kind":"generation","class":"batch","models":["writer"]}}}},"organisations":{{"coop":{{"weight":1,"key_hashes":["{}"]}}}}}})", toString(engineEndpoint), sha256Hex(callerKey));
        waitUntil(post("/v1/tickets", operatorKey, ticket), "HTTP/1.1 200");
        waitUntil(completion(1), "HTTP/1.1 200");
    }

    ~ServeFixture()
    {
        ::kill(child, SIGKILL);
        context.stop();
        thread.join();
    }

    ServeFixture(const ServeFixture&) = delete;
    ServeFixture& operator=(const ServeFixture&) = delete;

    void waitUntil(const std::string& request, const std::string& answerStart)
    {
        constexpr int maxAttempts = 100;
        std::string answer;
        for (int attempt = 0; attempt < maxAttempts; ++attempt) {
            CallerConnection caller(callerContext, callers.port);
            caller.send(request);
            answer = caller.receive();
            if (answer.starts_with(answerStart))
                return;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        cr_assert_fail("%s", answer.c_str());
    }

    std::int64_t recordedRequests()
    {
        EtcdKeyValueStore store(platformEndpoint, Seconds(1));
        auto usage = runCoroutine(callerContext, readUsage(store, nativeUsagePrefix));
        cr_assert(usage.has_value());
        auto found = usage->find("coop");
        return found == usage->end() ? 0 : found->second.requests;
    }

    asio::io_context context;
    asio::io_context callerContext;
    standins::PlatformServer platform { context };
    Endpoint platformEndpoint = *platform.listen({ .address = "127.0.0.1" });
    standins::EngineServer engine { context, { .profile = { .stepBaseSeconds = 0.02 } } };
    Endpoint engineEndpoint = *engine.listen({ .address = "127.0.0.1" });
    Endpoint callers { .address = ownAddress(), .port = freePort(callerContext) };
    pid_t child = -1;
    std::thread thread;
};

}

/// Guards against work that a stop cuts: a request that waited during a standstill was admitted before the stop signal that had come first.
Test(InstanceStop, requestWaitedForAFrozenProcess_isRefusedAsNotRun)
{
    ServeFixture f;
    CallerConnection waiting(f.callerContext, f.callers.port);
    CallerConnection readiness(f.callerContext, f.callers.port);
    ::kill(f.child, SIGSTOP);
    waiting.send(completion(50));
    readiness.send("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(freezeTime);
    ::kill(f.child, SIGTERM);
    ::kill(f.child, SIGCONT);
    auto answer = waiting.receive();
    cr_expect(answer.starts_with("HTTP/1.1 503") && answer.find("not_run") != std::string::npos, "%.200s", answer.c_str());
    cr_expect(readiness.receive().starts_with("HTTP/1.1 503"));
}

/// Guards against lost use: a process that stood still wrote its use at the end of its stop, which the host's kill may precede.
Test(InstanceStop, signalWaitedForAFrozenProcess_useIsOnRecordWhileARequestRuns)
{
    ServeFixture f;
    CallerConnection running(f.callerContext, f.callers.port);
    running.send(completion(2000));
    cr_assert(running.receive().starts_with("HTTP/1.1 200"));
    ::kill(f.child, SIGSTOP);
    std::this_thread::sleep_for(freezeTime);
    ::kill(f.child, SIGTERM);
    ::kill(f.child, SIGCONT);
    constexpr auto writeTime = Milliseconds(1500);
    std::this_thread::sleep_for(writeTime);
    cr_expect_not(running.receive().empty(), "the request has ended");
    cr_expect_gt(f.recordedRequests(), 0);
}
