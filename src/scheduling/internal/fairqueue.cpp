#include "scheduling/fairqueue.h"

#include <algorithm>

namespace guavaspan {

FairQueue::Organisation& FairQueue::activate(const std::string& name, double weight)
{
    auto& organisation = m_organisations[name];
    if (weight > 0)
        organisation.weight = weight;
    m_activeOrganisations.insert(name);
    return organisation;
}

void FairQueue::deactivateIfIdle(const std::string& name)
{
    auto found = m_organisations.find(name);
    if (found == m_organisations.end() || found->second.active())
        return;
    m_activeOrganisations.erase(name);
    if (m_activeOrganisations.empty()) {
        m_organisations.clear();
        m_virtualTime = 0;
    }
}

void FairQueue::push(PermitRequest request, TimePoint now)
{
    auto& organisation = activate(request.organisation, request.weight);
    // An organisation without waiting requests advances to the queue's virtual time. Idle
    // time therefore earns no credit, and capacity used while no other organisation had
    // requests waiting does not rank it behind the others once they are active again.
    if (!organisation.hasWaiting())
        organisation.weightedTokens = std::max(organisation.weightedTokens, m_virtualTime);
    auto& queue = request.serviceClass == ServiceClass::Interactive ? organisation.interactive : organisation.batch;
    m_ids.insert(request.id);
    queue.push_back({ .request = std::move(request), .enqueuedAt = now });
    ++m_size;
}

bool FairQueue::withdraw(const PermitId& id)
{
    for (const auto& name : m_activeOrganisations) {
        auto& organisation = m_organisations.at(name);
        for (auto* queue : { &organisation.interactive, &organisation.batch }) {
            auto found = std::find_if(queue->begin(), queue->end(),
                [&](const WaitingPermitRequest& waiting) { return waiting.request.id == id; });
            if (found == queue->end())
                continue;
            queue->erase(found);
            m_ids.erase(id);
            --m_size;
            deactivateIfIdle(std::string(name));
            return true;
        }
    }
    return false;
}

void FairQueue::charge(const std::string& name, double tokens)
{
    auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        found->second.weightedTokens += tokens / found->second.weight;
}

void FairQueue::setExpectedTokens(const std::string& name, double tokens)
{
    auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        found->second.expectedTokens = tokens;
}

void FairQueue::addExpectedTokens(const std::string& name, double tokens)
{
    auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        found->second.expectedTokens += tokens;
}

void FairQueue::onStarted(const std::string& name)
{
    ++activate(name, 0).running;
}

void FairQueue::onEnded(const std::string& name)
{
    auto found = m_organisations.find(name);
    if (found == m_organisations.end())
        return;
    found->second.running = std::max(0, found->second.running - 1);
    deactivateIfIdle(name);
}

std::vector<std::string> FairQueue::organisationsByShare() const
{
    std::vector<std::pair<double, std::string>> ranked;
    for (const auto& name : m_activeOrganisations) {
        const auto& organisation = m_organisations.at(name);
        if (organisation.hasWaiting())
            ranked.emplace_back(organisation.projectedWeightedTokens(), name);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto& candidate : ranked)
        names.push_back(std::move(candidate.second));
    return names;
}

const WaitingPermitRequest& FairQueue::front(const std::string& name) const
{
    return m_organisations.at(name).frontQueue().front();
}

WaitingPermitRequest FairQueue::pop(const std::string& name)
{
    auto& organisation = m_organisations.at(name);
    m_virtualTime = std::max(m_virtualTime, organisation.weightedTokens);
    auto& queue = organisation.frontQueue();
    auto waiting = std::move(queue.front());
    queue.pop_front();
    m_ids.erase(waiting.request.id);
    --m_size;
    return waiting;
}

std::optional<WaitingPermitRequest> FairQueue::shed()
{
    std::string name;
    double maxWeightedLength = 0;
    for (const auto& candidate : m_activeOrganisations) {
        const auto& organisation = m_organisations.at(candidate);
        double weightedLength = static_cast<double>(waitingCount(candidate)) / organisation.weight;
        if (weightedLength > maxWeightedLength) {
            maxWeightedLength = weightedLength;
            name = candidate;
        }
    }
    if (name.empty())
        return std::nullopt;
    auto& organisation = m_organisations.at(name);
    auto& queue = organisation.batch.empty() ? organisation.interactive : organisation.batch;
    auto waiting = std::move(queue.back());
    queue.pop_back();
    m_ids.erase(waiting.request.id);
    --m_size;
    deactivateIfIdle(name);
    return waiting;
}

std::vector<WaitingPermitRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<WaitingPermitRequest> expired;
    auto names = std::vector<std::string>(m_activeOrganisations.begin(), m_activeOrganisations.end());
    for (const auto& name : names) {
        auto& organisation = m_organisations.at(name);
        for (auto* queue : { &organisation.interactive, &organisation.batch }) {
            std::deque<WaitingPermitRequest> remaining;
            for (auto& waiting : *queue) {
                bool timedOut = waiting.enqueuedAt + waiting.request.maxWait <= now;
                (timedOut ? expired.emplace_back() : remaining.emplace_back()) = std::move(waiting);
            }
            *queue = std::move(remaining);
        }
        deactivateIfIdle(name);
    }
    for (const auto& waiting : expired)
        m_ids.erase(waiting.request.id);
    m_size -= expired.size();
    return expired;
}

std::size_t FairQueue::waitingCount(const std::string& name) const
{
    auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second.interactive.size() + found->second.batch.size();
}

double FairQueue::shareRatio(const std::string& name) const
{
    double totalWeight = 0;
    double totalRunning = 0;
    for (const auto& activeName : m_activeOrganisations) {
        totalWeight += m_organisations.at(activeName).weight;
        totalRunning += m_organisations.at(activeName).running;
    }
    auto found = m_organisations.find(name);
    if (found == m_organisations.end() || totalRunning == 0)
        return 0;
    return (found->second.running / totalRunning) / (found->second.weight / totalWeight);
}

double FairQueue::virtualTime(const std::string& name) const
{
    auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second.weightedTokens;
}

}
