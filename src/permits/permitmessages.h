#pragma once

#include "scheduling/schedulingtypes.h"

#include <string>
#include <variant>

namespace guavaspan {

/// A request for a permit, sent to the owner of the model's pool.
struct PermitAsk {
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
    FinishKind kind = FinishKind::Completed;
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

using PermitMessage = std::variant<PermitAsk, PermitWithdraw, PermitProgress, PermitFinish, PermitAdopt, PermitDecision>;

}
