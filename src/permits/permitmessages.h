#pragma once

#include "scheduling/schedulingtypes.h"

#include <string>
#include <variant>
#include <vector>

namespace guavaspan {

/// A request for a permit, sent to the owner of the model's pool.
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
    int produced = 0;
    bool preempted = false;
};

struct PermitFinish {
    std::string model;
    PermitId id;
    int produced = 0;
    GenerationOutcome kind = GenerationOutcome::Completed;
};

/// Tells a new owner of a generation that an earlier one granted.
struct PermitAdopt {
    std::string model;
    PermitRequest request;
    std::string engine;
    int produced = 0;
};

/// The owner's answer.
struct PermitDecision {
    SchedulingAction action;
};

/// Everything that an instance holds or waits for at this owner; what is not
/// named for a while is taken to be over.
struct PermitRenewal {
    std::string model;
    std::uint64_t instance = 0;
    /// Sequence of each permit and the tokens produced.
    std::vector<std::pair<std::uint64_t, int>> held;
};

/// The owner has no record of these; they are to be told again.
struct PermitsUnknown {
    std::vector<std::uint64_t> sequences;
};

using PermitMessage = std::variant<PermitSubmit, PermitWithdraw, PermitProgress, PermitFinish, PermitAdopt, PermitDecision, PermitRenewal, PermitsUnknown>;

}
