#pragma once

#include "common/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

namespace guavaspan {

/// What memory is held for.
enum class MemoryUse {
    /// The connection itself and bytes that are not parsed yet.
    Connection,
    /// The request, and the copy of it that is sent on.
    Request,
    /// What the caller has not read of its answer.
    Answer,
};

inline constexpr std::size_t memoryUseCount = 3;

enum class ShedCause {
    Memory,
    Descriptors,
};

/// What a connection does at the moment.
enum class HolderState {
    Idle,
    /// A request is awaited or has been read in part; it has not run.
    Reading,
    /// The request may run, so it can no longer be refused. Needs a second descriptor to reach a target.
    Handling,
    /// The answer is complete, or a part of it waits for the caller.
    Answering,
    Closing,
};

inline constexpr std::size_t holderStateCount = 5;

const char* toString(MemoryUse);
const char* toString(HolderState);
const char* toString(ShedCause);

/// What all connections may hold together.
struct MemoryLimits {
    std::size_t bytes = 0;
    /// 0 means no limit.
    std::size_t descriptors = 0;

    friend bool operator==(const MemoryLimits&, const MemoryLimits&) = default;
};

/// The host's resources as stated in the settings; 0 if not stated.
struct HostLimits {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;

    friend bool operator==(const HostLimits&, const HostLimits&) = default;
};

/// What connections may hold on such a host, after the program's own needs. No memory stated means no budget.
MemoryLimits connectionLimitsFor(const HostLimits&);

class MemoryAccount;

/// Divides memory and descriptors among connections. If an account needs more than is left, others are shed: those first that hold
/// most for longest without progress, at equal delay those of the address that holds most.
class MemoryBudget {
public:
    explicit MemoryBudget(MemoryLimits limits)
        : m_limits(limits)
    {
    }

    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    std::size_t heldBytes(MemoryUse use) const { return m_heldBytes[static_cast<std::size_t>(use)]; }
    std::size_t heldBytes() const;
    std::size_t heldDescriptors() const { return m_descriptors; }
    /// Number of accounts that were shed or refused in this state.
    std::uint64_t shedCount(HolderState state, ShedCause cause) const { return m_shedCounts[static_cast<std::size_t>(state)][static_cast<std::size_t>(cause)]; }

private:
    friend class MemoryAccount;

    struct AddressUse {
        std::size_t bytes = 0;
        std::size_t accounts = 0;
    };

    bool makeRoom(MemoryAccount&, std::size_t bytes, TimePoint now);
    bool makeDescriptorRoom(MemoryAccount&, TimePoint now);
    void shed(MemoryAccount&, ShedCause);
    void count(const MemoryAccount&, ShedCause);

    MemoryLimits m_limits;
    std::list<MemoryAccount*> m_accounts;
    std::unordered_map<std::string, AddressUse> m_addresses;
    std::array<std::size_t, memoryUseCount> m_heldBytes {};
    std::size_t m_descriptors = 0;
    std::array<std::array<std::uint64_t, 2>, holderStateCount> m_shedCounts {};
};

/// What one connection holds of a budget.
class MemoryAccount {
public:
    /// Ends the connection's current operation. Must not destroy an account before it returns.
    using ShedAction = std::function<void(ShedCause)>;

    MemoryAccount(MemoryBudget&, const std::string& address, ShedAction, TimePoint now);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;

    /// Takes the connection's descriptor. False if there is none and no other connection can be shed.
    bool open(TimePoint now);

    /// Sets what is held for this use. False if more is neither free nor can be made so, or if this account was shed. A larger
    /// request counts as progress.
    bool hold(MemoryUse, std::size_t bytes, TimePoint now);

    /// False if the state needs a descriptor that is not available.
    bool setState(HolderState, TimePoint now);

    /// Called when the caller has taken a part of its answer.
    void onProgress(TimePoint now) { m_progressAt = now; }

    HolderState state() const { return m_state; }

    /// True after the shed action was called, until resume().
    bool isShed() const { return m_isShed; }

    /// Holds again after what was shed is released.
    void resume(TimePoint now);

    std::size_t bytes() const;

private:
    friend class MemoryBudget;

    void releaseBytes();
    void setDescriptors(std::size_t);

    MemoryBudget& m_budget;
    std::unordered_map<std::string, MemoryBudget::AddressUse>::iterator m_address;
    std::list<MemoryAccount*>::iterator m_position;
    ShedAction m_shedAction;
    std::array<std::size_t, memoryUseCount> m_bytes {};
    HolderState m_state = HolderState::Reading;
    TimePoint m_progressAt;
    std::size_t m_descriptors = 0;
    bool m_isShed = false;
};

}
