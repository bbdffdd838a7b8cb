#pragma once

#include "engines/iengine.h"

namespace guavaspan {

/// An engine behind the OpenAI-compatible interface with resume and cancel.
class HttpEngine : public IEngine {
public:
    HttpEngine(std::string name, Endpoint);

    Awaitable<Result<std::unique_ptr<IEngineStream>>> start(GenerationRequest) override;
    Awaitable<Result<std::unique_ptr<IEngineStream>>> resume(GenerationIdentity, int offset) override;
    Awaitable<Result<void>> cancel(GenerationIdentity) override;
    Awaitable<Result<void>> setPriority(GenerationIdentity, int priority) override;
    Awaitable<Result<LoadReport>> load() override;
    Awaitable<Result<CacheEvents>> fetchCacheEvents(std::uint64_t afterSequence) override;

private:
    std::string m_name;
    Endpoint m_endpoint;
};

}
