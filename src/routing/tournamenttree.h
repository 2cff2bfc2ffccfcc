#pragma once

#include <cstddef>
#include <limits>
#include <vector>

namespace Filbertmount {

/** Keeps the position of the smallest of n keys. Changing a key takes O(log n) and allocates nothing. */
class TournamentTree
{
public:
    static constexpr double Absent = std::numeric_limits<double>::infinity();

    /** Holds @p count keys from now on; existing ones are kept. */
    void resize(std::size_t count);
    void set(std::size_t position, double key);
    [[nodiscard]] double key(std::size_t position) const;
    /** Position of the smallest key; its key is Absent when there is none. Needs at least one position. */
    [[nodiscard]] std::size_t best() const;
    [[nodiscard]] bool empty() const;

private:
    void updateWinner(std::size_t node);

    std::size_t m_leaves = 0;
    std::vector<double> m_keys;
    /** Winning position per node; node 1 is the root and the children of n are 2n and 2n+1. */
    std::vector<std::size_t> m_winners;
};

} // namespace Filbertmount
