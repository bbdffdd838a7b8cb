#pragma once

#include "scheduling/schedulingtypes.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// Submits a permit request to the owner of the model's pool.
struct PermitSubmit {
    std::string model;
    PermitRequest request;
};

struct PermitWithdraw {
    std::string model;
    PermitId id;
};

struct PermitProgress {
    std::string model;
    PermitId id;
    int producedTokens = 0;
    bool preempted = false;
};

struct PermitFinish {
    std::string model;
    PermitId id;
    int producedTokens = 0;
    GenerationOutcome outcome = GenerationOutcome::Completed;
};

/// Hands a running generation that a previous owner granted over to the new owner.
struct PermitAdopt {
    std::string model;
    PermitRequest request;
    std::string engine;
    int producedTokens = 0;
};

/// The owner's decision, sent to the instance that holds the permit or waits for it.
struct PermitDecision {
    SchedulingAction action;
};

/// Renews all permits that an instance holds or waits for at this owner; the
/// owner ends generations whose permits are no longer renewed.
struct PermitRenewal {
    std::string model;
    std::uint64_t instance = 0;
    /// Sequence number and produced tokens of each permit.
    std::vector<std::pair<std::uint64_t, int>> permits;
};

/// Lists permits that the owner has no record of; the sender of the renewal resubmits them.
struct PermitsUnknown {
    std::vector<std::uint64_t> sequences;
};

using PermitMessage = std::variant<PermitSubmit, PermitWithdraw, PermitProgress, PermitFinish, PermitAdopt, PermitDecision, PermitRenewal, PermitsUnknown>;

}
