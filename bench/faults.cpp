// Runs the fault matrix: injects each fault, and pairs of faults, at each step of each protocol into the production
// decision code.
#include "../tests/support/faults/faultmatrix.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <map>

using namespace Filbertmount;
using namespace Filbertmount::Testing;

namespace {

struct Tally {
    int runs = 0;
    int passed = 0;
    /** Runs that did not reach the step at which the fault is injected. */
    int notReached = 0;
};

struct Options {
    std::uint64_t seed = 1;
    int rounds = 1;
    std::string cell;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Runs the fault matrix on a virtual clock.", ' ', FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the first round", false, 1, "number", line);
    TCLAP::ValueArg<int> rounds("r", "rounds", "number of rounds, each with the next seed", false, 1, "number", line);
    TCLAP::ValueArg<std::string> cell("c", "cell", "run only cells whose name contains this text", false, "", "text", line);
    line.parse(argc, argv);
    return {.seed = seed.getValue(), .rounds = rounds.getValue(), .cell = cell.getValue()};
}

using Table = std::map<std::string, std::map<std::string, Tally>>;

void printTable(const std::string &protocol, const std::vector<Cell> &cells, const Table &table)
{
    std::vector<std::string> columns;
    for (const Cell &cell : cells) {
        if (cell.protocol == protocol && std::find(columns.begin(), columns.end(), cell.column) == columns.end()) {
            columns.push_back(cell.column);
        }
    }
    std::printf("\nprotocol %s: passed/run(-step not reached)\n%-16s", protocol.c_str(), "");
    for (const std::string &column : columns) {
        std::printf(" %18s", column.c_str());
    }
    std::printf("\n");
    for (const auto &[row, entries] : table) {
        std::printf("%-16s", row.c_str());
        for (const std::string &column : columns) {
            const auto found = entries.find(column);
            const Tally tally = found == entries.end() ? Tally{} : found->second;
            const std::string missed = tally.notReached > 0 ? "(-" + std::to_string(tally.notReached) + ")" : "";
            const std::string text = std::to_string(tally.passed) + "/" + std::to_string(tally.runs) + missed;
            std::printf(" %18s", tally.runs == 0 ? "" : text.c_str());
        }
        std::printf("\n");
    }
}

/** Runs one cell; an exception in the decision code counts as a violation in this cell. */
CellResult runCell(const Cell &cell, std::uint64_t seed)
{
    try {
        return cell.run(seed);
    } catch (const std::exception &error) {
        return {.covered = true, .violation = std::string("exception: ") + error.what(), .trace = {}};
    }
}

int runMatrix(const Options &options)
{
    std::vector<Cell> cells = allCells();
    std::erase_if(cells, [&](const Cell &cell) {
        return cell.name.find(options.cell) == std::string::npos;
    });
    if (cells.empty()) {
        std::fprintf(stderr, "no cell has \"%s\" in its name\n", options.cell.c_str());
        return 2;
    }
    std::map<std::string, Table> tables;
    Tally total;
    for (int round = 0; round < options.rounds; ++round) {
        const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(round);
        for (const Cell &cell : cells) {
            const CellResult result = runCell(cell, seed);
            Tally &tally = tables[cell.protocol][cell.row][cell.column];
            for (Tally *counted : {&tally, &total}) {
                ++counted->runs;
                counted->passed += result.violation.empty() ? 1 : 0;
                counted->notReached += result.covered ? 0 : 1;
            }
            if (!result.violation.empty()) {
                std::printf("%s\nINVARIANT VIOLATED: %s\ncell %s, seed %llu\n",
                            result.trace.c_str(),
                            result.violation.c_str(),
                            cell.name.c_str(),
                            static_cast<unsigned long long>(seed));
                return 1;
            }
        }
    }
    for (const auto &[protocol, table] : tables) {
        printTable(protocol, cells, table);
    }
    std::printf("cells %zu, seeds %d from %llu, runs %d, passed %d, fault's step not reached %d\n",
                cells.size(),
                options.rounds,
                static_cast<unsigned long long>(options.seed),
                total.runs,
                total.passed,
                total.notReached);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runMatrix(parseOptions(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "filbertmount-bench-faults: %s\n", error.what());
        return 2;
    }
}
