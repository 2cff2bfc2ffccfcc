#pragma once

#include "claimsimulation.h"
#include "documentsimulation.h"
#include "quarantinesimulation.h"

#include <functional>
#include <string>
#include <vector>

namespace Filbertmount::Testing {

/** One cell of the matrix: a fault or a pair of faults, each at a step of a protocol. */
struct Cell {
    std::string protocol;
    /** "claim/freeze@owned" or "claim/freeze@owned+late-write@write-sent". */
    std::string name;
    std::string row;
    std::string column;
    std::function<CellResult(std::uint64_t seed)> run;
};

inline Cell claimCell(const std::vector<FaultInjection> &injections)
{
    std::string name = "claim/";
    for (const FaultInjection &injection : injections) {
        name.append(name.back() == '/' ? "" : "+").append(FaultNames.at(static_cast<std::size_t>(injection.fault)));
        name.append("@").append(ClaimStepNames.at(static_cast<std::size_t>(injection.step)));
    }
    const bool pair = injections.size() > 1;
    return {.protocol = "claim",
            .name = name,
            .row = FaultNames.at(static_cast<std::size_t>(injections.front().fault)),
            .column = pair ? "pairs" : ClaimStepNames.at(static_cast<std::size_t>(injections.front().step)),
            .run = [injections](std::uint64_t seed) {
                return runClaimCell(seed, injections);
            }};
}

/** Returns every fault at every step of a claim, and every pair of faults with a varying pair of steps. */
inline std::vector<Cell> claimCells()
{
    std::vector<Cell> cells;
    for (std::size_t fault = 0; fault < FaultNames.size(); ++fault) {
        for (std::size_t step = 0; step < ClaimStepNames.size(); ++step) {
            cells.push_back(claimCell({{.fault = static_cast<Fault>(fault), .step = static_cast<ClaimStep>(step)}}));
        }
    }
    std::size_t turn = 0;
    for (std::size_t first = 1; first < FaultNames.size(); ++first) {
        for (std::size_t second = 1; second < FaultNames.size(); ++second, ++turn) {
            const auto firstStep = static_cast<ClaimStep>(turn % ClaimStepNames.size());
            const auto secondStep = static_cast<ClaimStep>((turn / ClaimStepNames.size() + second) % ClaimStepNames.size());
            cells.push_back(claimCell({{.fault = static_cast<Fault>(first), .step = firstStep},
                                       {.fault = static_cast<Fault>(second), .step = secondStep}}));
        }
    }
    return cells;
}

/** Returns every fault at every step of a crashing request, and each with every second fault at StrikeSent. */
inline std::vector<Cell> quarantineCells()
{
    std::vector<Cell> cells;
    const auto text = [](const QuarantineFaultInjection &injection) {
        return std::string(QuarantineFaultNames.at(static_cast<std::size_t>(injection.fault))) + "@"
            + QuarantineStepNames.at(static_cast<std::size_t>(injection.step));
    };
    const auto add = [&](const std::vector<QuarantineFaultInjection> &injections) {
        const bool pair = injections.size() > 1;
        cells.push_back({.protocol = "quarantine",
                         .name = "quarantine/" + text(injections.front()) + (pair ? "+" + text(injections.back()) : ""),
                         .row = QuarantineFaultNames.at(static_cast<std::size_t>(injections.front().fault)),
                         .column = pair ? "pairs" : QuarantineStepNames.at(static_cast<std::size_t>(injections.front().step)),
                         .run = [injections](std::uint64_t seed) {
                             return runQuarantineCell(seed, injections);
                         }});
    };
    for (std::size_t fault = 0; fault < QuarantineFaultNames.size(); ++fault) {
        for (std::size_t step = 0; step < QuarantineStepNames.size(); ++step) {
            const QuarantineFaultInjection first{.fault = static_cast<QuarantineFault>(fault),
                                                 .step = static_cast<QuarantineStep>(step)};
            add({first});
            for (std::size_t second = 1; fault > 0 && second < QuarantineFaultNames.size(); ++second) {
                // False strikes of one peer do not quarantine a harmless request. Those of two peers do, by design.
                const bool twoFaultyPeers = first.fault == QuarantineFault::ConfusedPeer && second == fault;
                if (twoFaultyPeers) {
                    continue;
                }
                add({first, {.fault = static_cast<QuarantineFault>(second), .step = QuarantineStep::StrikeSent}});
            }
        }
    }
    return cells;
}

/** Returns every fault at every step of the replication of a document. */
inline std::vector<Cell> documentCells()
{
    std::vector<Cell> cells;
    for (std::size_t fault = 0; fault < DocumentFaultNames.size(); ++fault) {
        for (std::size_t step = 0; step < DocumentStepNames.size(); ++step) {
            cells.push_back({.protocol = "document",
                             .name = std::string("document/") + DocumentFaultNames.at(fault) + "@" + DocumentStepNames.at(step),
                             .row = DocumentFaultNames.at(fault),
                             .column = DocumentStepNames.at(step),
                             .run = [fault, step](std::uint64_t seed) {
                                 return runDocumentCell(seed, static_cast<DocumentFault>(fault), static_cast<DocumentStep>(step));
                             }});
        }
    }
    return cells;
}

inline std::vector<Cell> allCells()
{
    std::vector<Cell> cells = claimCells();
    for (std::vector<Cell> &more : std::vector<std::vector<Cell>>{quarantineCells(), documentCells()}) {
        std::move(more.begin(), more.end(), std::back_inserter(cells));
    }
    return cells;
}

} // namespace Filbertmount::Testing
