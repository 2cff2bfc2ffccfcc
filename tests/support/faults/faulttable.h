#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Filbertmount::Testing {

/** Faults that strike one instance when it reaches a step of a protocol. */
enum class Fault : std::uint8_t {
    None,
    Kill,
    Freeze,
    /** Past the retention of its claims. */
    FreezeLong,
    CutOut,
    CutIn,
    CutBoth,
    CutStoreOut,
    CutStoreIn,
    StoreDown,
    SlowStore,
    SlowPeers,
    AnswerLost,
    LateWrite,
    StaleRead,
    Duplicate,
    Reorder,
    ClockStep,
};

inline constexpr std::array<const char *, 18> FaultNames = {"none",
                                                            "kill",
                                                            "freeze",
                                                            "freeze-long",
                                                            "cut-out",
                                                            "cut-in",
                                                            "cut-both",
                                                            "cut-store-out",
                                                            "cut-store-in",
                                                            "store-down",
                                                            "slow-store",
                                                            "slow-peers",
                                                            "answer-lost",
                                                            "late-write",
                                                            "stale-read",
                                                            "duplicate",
                                                            "reorder",
                                                            "clock-step"};

/** Steps of a claimed request at the instance that reaches them. */
enum class ClaimStep : std::uint8_t {
    Queued,
    Forwarded,
    WriteSent,
    WriteAcknowledged,
    Owned,
    Dispatched,
    Answered,
    Completed,
    Released,
};

inline constexpr std::array<const char *, 9> ClaimStepNames =
    {"queued", "forwarded", "write-sent", "write-acknowledged", "owned", "dispatched", "answered", "completed", "released"};

/** One fault at one step. */
struct FaultInjection {
    Fault fault = Fault::None;
    ClaimStep step = ClaimStep::Queued;
};

struct CellResult {
    /** False when the run never reached the step of a fault. */
    bool covered = true;
    /** Empty when every invariant held. */
    std::string violation;
    std::string trace;
};

} // namespace Filbertmount::Testing
