// Runs the fault matrix: each fault, and pairs of faults, at each step of each protocol, over the real decision code.
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
    int notCovered = 0;
};

struct Options {
    std::uint64_t seed = 1;
    int rounds = 1;
    std::string cell;
};

Options parse(int argc, char **argv)
{
    TCLAP::CmdLine line("Runs the fault matrix on a virtual clock.", ' ', FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of the first round", false, 1, "number", line);
    TCLAP::ValueArg<int> rounds("r", "rounds", "rounds, each with the next seed", false, 1, "number", line);
    TCLAP::ValueArg<std::string> cell("c", "cell", "run only cells whose name contains this text", false, "", "text", line);
    line.parse(argc, argv);
    return {.seed = seed.getValue(), .rounds = rounds.getValue(), .cell = cell.getValue()};
}

using Table = std::map<std::string, std::map<std::string, Tally>>;

void print(const std::string &protocol, const std::vector<Cell> &cells, const Table &table)
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
            const std::string missed = tally.notCovered > 0 ? "(-" + std::to_string(tally.notCovered) + ")" : "";
            const std::string text = std::to_string(tally.passed) + "/" + std::to_string(tally.runs) + missed;
            std::printf(" %18s", tally.runs == 0 ? "" : text.c_str());
        }
        std::printf("\n");
    }
}

/** An exception of the decision code breaks the cell, not the whole run. */
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
            for (Tally *one : {&tally, &total}) {
                ++one->runs;
                one->passed += result.violation.empty() ? 1 : 0;
                one->notCovered += result.covered ? 0 : 1;
            }
            if (!result.violation.empty()) {
                std::printf("%s\nBROKEN INVARIANT: %s\ncell %s, seed %llu\n",
                            result.trace.c_str(),
                            result.violation.c_str(),
                            cell.name.c_str(),
                            static_cast<unsigned long long>(seed));
                return 1;
            }
        }
    }
    for (const auto &[protocol, table] : tables) {
        print(protocol, cells, table);
    }
    std::printf("cells %zu, seeds %d from %llu, runs %d, passed %d, fault's step not reached %d\n",
                cells.size(),
                options.rounds,
                static_cast<unsigned long long>(options.seed),
                total.runs,
                total.passed,
                total.notCovered);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runMatrix(parse(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "filbertmount-bench-faults: %s\n", error.what());
        return 2;
    }
}
