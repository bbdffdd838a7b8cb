#include "net/memorybudget.h"

#include <algorithm>
#include <numeric>

namespace guavaspan {

namespace {

    constexpr std::size_t mebibyte = 1 << 20;
    /// What the program needs without connections: measured 14 to 20 MB with a small fleet, and one body is copied while its buffer grows.
    constexpr std::size_t programBytes = 32 * mebibyte;
    /// A share of the memory stays free for the fragmentation of the heap and the kernel's buffers of connections.
    constexpr std::size_t overheadDivisor = 8;
    /// The largest legal request (4 MiB, and its copy that is sent on) fits even if the host states too little memory.
    constexpr std::size_t minBudgetBytes = 12 * mebibyte;
    /// Descriptors for peers, the store, files and the listening sockets.
    constexpr std::size_t minReservedDescriptors = 32;
    constexpr std::size_t reservedDescriptorDivisor = 8;

    /// Accounts above this size leave a share of the budget free, so that ordinary requests are served while large ones fill the rest.
    constexpr std::size_t smallAccountBytes = 128 << 10;
    constexpr std::size_t smallAccountsDivisor = 8;

    /// For a descriptor, unfinished requests are closed before connections that are idle for up to eight times as long. Answers are cut if
    /// nothing else is left: the weight outdoes the longest write timeout against the shortest delay.
    double descriptorWeight(HolderState state)
    {
        if (state == HolderState::Reading)
            return 8;
        return state == HolderState::Answering ? 1e-6 : 1;
    }

    double secondsStuck(TimePoint progressAt, TimePoint now)
    {
        // Accounts that progress at the same moment differ by their size.
        constexpr auto minDelay = std::chrono::milliseconds(1);
        return std::chrono::duration<double>(std::max<Clock::duration>(now - progressAt, minDelay)).count();
    }

}

const char* toString(MemoryUse use)
{
    switch (use) {
    case MemoryUse::Connection:
        return "connection";
    case MemoryUse::Request:
        return "request";
    case MemoryUse::Answer:
        return "answer";
    }
    return "connection";
}

const char* toString(HolderState state)
{
    switch (state) {
    case HolderState::Idle:
        return "idle";
    case HolderState::Reading:
        return "reading";
    case HolderState::Handling:
        return "handling";
    case HolderState::Answering:
        return "answering";
    case HolderState::Closing:
        return "closing";
    }
    return "idle";
}

const char* toString(ShedCause cause)
{
    return cause == ShedCause::Memory ? "memory" : "descriptors";
}

MemoryLimits connectionLimitsFor(const HostLimits& host)
{
    MemoryLimits limits;
    if (host.memoryBytes > 0) {
        auto reserved = programBytes + host.memoryBytes / overheadDivisor;
        limits.bytes = std::max(minBudgetBytes, host.memoryBytes - std::min(host.memoryBytes, reserved));
    }
    if (host.descriptors > 0) {
        auto reserved = std::max(minReservedDescriptors, host.descriptors / reservedDescriptorDivisor);
        limits.descriptors = std::max(minReservedDescriptors, host.descriptors - std::min(host.descriptors, reserved));
    }
    return limits;
}

std::size_t MemoryBudget::heldBytes() const
{
    return std::accumulate(m_heldBytes.begin(), m_heldBytes.end(), std::size_t(0));
}

bool MemoryBudget::makeRoom(MemoryAccount& account, std::size_t bytes, TimePoint now)
{
    if (m_limits.bytes == 0)
        return true;
    auto limit = m_limits.bytes;
    if (account.bytes() + bytes > smallAccountBytes)
        limit -= limit / smallAccountsDivisor;
    while (heldBytes() + bytes > limit) {
        MemoryAccount* victim = nullptr;
        double highestScore = 0;
        for (auto* candidate : m_accounts) {
            bool canBeShed = candidate->m_state == HolderState::Reading || candidate->m_state == HolderState::Answering;
            if (!canBeShed || candidate->m_isShed)
                continue;
            auto candidateBytes = static_cast<double>(candidate->bytes() + (candidate == &account ? bytes : 0));
            auto score = candidateBytes * secondsStuck(candidate->m_progressAt, now) * static_cast<double>(candidate->m_address->second.bytes + 1);
            if (score > highestScore) {
                highestScore = score;
                victim = candidate;
            }
        }
        if (!victim || victim == &account)
            return false;
        shed(*victim, ShedCause::Memory);
    }
    return true;
}

bool MemoryBudget::makeDescriptorRoom(MemoryAccount& account, TimePoint now)
{
    if (m_limits.descriptors == 0)
        return true;
    while (m_descriptors + 1 > m_limits.descriptors) {
        MemoryAccount* victim = nullptr;
        double highestScore = 0;
        for (auto* candidate : m_accounts) {
            if (candidate->m_state == HolderState::Handling || candidate->m_descriptors == 0 || candidate == &account)
                continue;
            auto score = descriptorWeight(candidate->m_state) * secondsStuck(candidate->m_progressAt, now) * static_cast<double>(candidate->m_address->second.accounts);
            if (score > highestScore) {
                highestScore = score;
                victim = candidate;
            }
        }
        if (!victim)
            return false;
        shed(*victim, ShedCause::Descriptors);
    }
    return true;
}

void MemoryBudget::count(const MemoryAccount& account, ShedCause cause)
{
    ++m_shedCounts[static_cast<std::size_t>(account.m_state)][static_cast<std::size_t>(cause)];
}

/// What the account holds counts as free from now on; the connection releases it as soon as its coroutine runs.
void MemoryBudget::shed(MemoryAccount& account, ShedCause cause)
{
    count(account, cause);
    account.m_isShed = true;
    account.releaseBytes();
    if (cause == ShedCause::Descriptors)
        account.setDescriptors(0);
    account.m_shedAction(cause);
}

MemoryAccount::MemoryAccount(MemoryBudget& budget, const std::string& address, ShedAction shedAction, TimePoint now)
    : m_budget(budget)
    , m_address(budget.m_addresses.try_emplace(address).first)
    , m_position(budget.m_accounts.insert(budget.m_accounts.end(), this))
    , m_shedAction(std::move(shedAction))
    , m_progressAt(now)
{
    ++m_address->second.accounts;
}

MemoryAccount::~MemoryAccount()
{
    releaseBytes();
    setDescriptors(0);
    m_budget.m_accounts.erase(m_position);
    if (--m_address->second.accounts == 0)
        m_budget.m_addresses.erase(m_address);
}

bool MemoryAccount::open(TimePoint now)
{
    if (!m_budget.makeDescriptorRoom(*this, now)) {
        m_budget.count(*this, ShedCause::Descriptors);
        return false;
    }
    setDescriptors(1);
    return true;
}

bool MemoryAccount::hold(MemoryUse use, std::size_t bytes, TimePoint now)
{
    if (m_isShed)
        return false;
    auto& held = m_bytes[static_cast<std::size_t>(use)];
    if (bytes > held) {
        if (!m_budget.makeRoom(*this, bytes - held, now)) {
            m_budget.count(*this, ShedCause::Memory);
            return false;
        }
        if (use == MemoryUse::Request)
            m_progressAt = now;
    }
    auto& total = m_budget.m_heldBytes[static_cast<std::size_t>(use)];
    total = total - held + bytes;
    m_address->second.bytes = m_address->second.bytes - held + bytes;
    held = bytes;
    return true;
}

bool MemoryAccount::setState(HolderState state, TimePoint now)
{
    bool needsTarget = state == HolderState::Handling && m_state != HolderState::Handling;
    if (needsTarget && m_descriptors == 1) {
        if (!m_budget.makeDescriptorRoom(*this, now)) {
            m_budget.count(*this, ShedCause::Descriptors);
            return false;
        }
        setDescriptors(2);
    }
    if (state != HolderState::Handling && state != HolderState::Answering && m_descriptors == 2)
        setDescriptors(1);
    if (state != m_state)
        m_progressAt = now;
    m_state = state;
    return true;
}

void MemoryAccount::resume(TimePoint now)
{
    m_isShed = false;
    m_progressAt = now;
}

std::size_t MemoryAccount::bytes() const
{
    return std::accumulate(m_bytes.begin(), m_bytes.end(), std::size_t(0));
}

void MemoryAccount::releaseBytes()
{
    for (std::size_t use = 0; use < memoryUseCount; ++use)
        m_budget.m_heldBytes[use] -= m_bytes[use];
    m_address->second.bytes -= bytes();
    m_bytes = {};
}

void MemoryAccount::setDescriptors(std::size_t count)
{
    m_budget.m_descriptors = m_budget.m_descriptors - m_descriptors + count;
    m_descriptors = count;
}

}
