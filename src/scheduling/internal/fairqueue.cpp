#include "scheduling/fairqueue.h"

#include <algorithm>

namespace guavaspan {

FairQueue::Organisation& FairQueue::activate(const std::string& name, double weight)
{
    auto& organisation = m_organisations[name];
    if (weight > 0)
        organisation.weight = weight;
    m_active.insert(name);
    return organisation;
}

void FairQueue::deactivateIfIdle(const std::string& name)
{
    auto found = m_organisations.find(name);
    if (found == m_organisations.end() || found->second.active())
        return;
    m_active.erase(name);
    if (m_active.empty()) {
        m_organisations.clear();
        m_virtualTime = 0;
    }
}

void FairQueue::push(PermitRequest request, TimePoint now)
{
    auto& organisation = activate(request.organisation, request.weight);
    // Not having asked earns no credit, and having used what nobody wanted is no debt
    // beyond that: the queue's time passes for everybody who is not waiting.
    if (!organisation.hasWaiting())
        organisation.charged = std::max(organisation.charged, m_virtualTime);
    auto& queue = request.serviceClass == ServiceClass::Interactive ? organisation.interactive : organisation.batch;
    m_ids.insert(request.id);
    queue.push_back({ .request = std::move(request), .since = now });
    ++m_size;
}

bool FairQueue::withdraw(const PermitId& id)
{
    for (const auto& name : m_active) {
        auto& organisation = m_organisations.at(name);
        for (auto* queue : { &organisation.interactive, &organisation.batch }) {
            auto found = std::find_if(queue->begin(), queue->end(),
                [&](const WaitingRequest& waiting) { return waiting.request.id == id; });
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
        found->second.charged += tokens / found->second.weight;
}

void FairQueue::setForeseen(const std::string& name, double tokens)
{
    auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        found->second.foreseen = tokens;
}

void FairQueue::addForeseen(const std::string& name, double tokens)
{
    auto found = m_organisations.find(name);
    if (found != m_organisations.end())
        found->second.foreseen += tokens;
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

std::vector<std::string> FairQueue::order() const
{
    std::vector<std::pair<double, std::string>> ranked;
    for (const auto& name : m_active) {
        const auto& organisation = m_organisations.at(name);
        if (organisation.hasWaiting())
            ranked.emplace_back(organisation.projected(), name);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto& entry : ranked)
        names.push_back(std::move(entry.second));
    return names;
}

const WaitingRequest& FairQueue::front(const std::string& name) const
{
    return m_organisations.at(name).frontQueue().front();
}

WaitingRequest FairQueue::pop(const std::string& name)
{
    auto& organisation = m_organisations.at(name);
    m_virtualTime = std::max(m_virtualTime, organisation.charged);
    auto& queue = organisation.frontQueue();
    auto waiting = std::move(queue.front());
    queue.pop_front();
    m_ids.erase(waiting.request.id);
    --m_size;
    return waiting;
}

std::optional<WaitingRequest> FairQueue::shed()
{
    std::string name;
    double longest = 0;
    for (const auto& candidate : m_active) {
        const auto& organisation = m_organisations.at(candidate);
        double length = static_cast<double>(waitingOf(candidate)) / organisation.weight;
        if (length > longest) {
            longest = length;
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

std::vector<WaitingRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    auto names = std::vector<std::string>(m_active.begin(), m_active.end());
    for (const auto& name : names) {
        auto& organisation = m_organisations.at(name);
        for (auto* queue : { &organisation.interactive, &organisation.batch }) {
            std::deque<WaitingRequest> kept;
            for (auto& waiting : *queue) {
                bool late = waiting.since + waiting.request.maxWait <= now;
                (late ? expired.emplace_back() : kept.emplace_back()) = std::move(waiting);
            }
            *queue = std::move(kept);
        }
        deactivateIfIdle(name);
    }
    for (const auto& waiting : expired)
        m_ids.erase(waiting.request.id);
    m_size -= expired.size();
    return expired;
}

std::size_t FairQueue::waitingOf(const std::string& name) const
{
    auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second.interactive.size() + found->second.batch.size();
}

double FairQueue::shareRatio(const std::string& name) const
{
    double weights = 0;
    double running = 0;
    for (const auto& other : m_active) {
        weights += m_organisations.at(other).weight;
        running += m_organisations.at(other).running;
    }
    auto found = m_organisations.find(name);
    if (found == m_organisations.end() || running == 0)
        return 0;
    return (found->second.running / running) / (found->second.weight / weights);
}

double FairQueue::virtualTime(const std::string& name) const
{
    auto found = m_organisations.find(name);
    return found == m_organisations.end() ? 0 : found->second.charged;
}

}
