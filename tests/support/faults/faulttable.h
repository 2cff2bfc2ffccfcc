#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Filbertmount::Testing {

/** Faults that are injected at an instance when it reaches a step of the claim protocol. */
enum class Fault : std::uint8_t {
    None,
    Kill,
    Freeze,
    /** Longer than the retention of the instance's claims. */
    FreezeLong,
    /** Messages to other instances are lost. */
    CutOut,
    /** Messages from other instances are lost. */
    CutIn,
    CutBoth,
    /** Requests to the store are lost. */
    CutStoreOut,
    /** Responses from the store are lost. */
    CutStoreIn,
    /** The store responds to no instance. */
    StoreDown,
    SlowStore,
    SlowPeers,
    /** The responses to the next writes are lost. */
    AnswerLost,
    /** The next writes take effect after the instance has timed out. */
    LateWrite,
    /** Reads of the store return older versions. */
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

/** Steps of a claimed request, at the instance that handles it. */
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

/** A fault to inject when an instance reaches a step. */
struct FaultInjection {
    Fault fault = Fault::None;
    ClaimStep step = ClaimStep::Queued;
};

/** Result of one run of a cell of the fault matrix. */
struct CellResult {
    /** False when no instance reached the step of a fault, so that the fault was not injected. */
    bool covered = true;
    /** Description of the first violated invariant; empty when all held. */
    std::string violation;
    std::string trace;
};

} // namespace Filbertmount::Testing
