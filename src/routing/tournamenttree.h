#pragma once

#include <cstddef>
#include <limits>
#include <vector>

namespace Filbertmount {

/** Keeps track of the smallest of n keys. Changing a key takes O(log n) and allocates no memory. */
class TournamentTree
{
public:
    /** Key of a leaf that is not considered. */
    static constexpr double Absent = std::numeric_limits<double>::infinity();

    /** Grows the tree to at least @p count keys and keeps existing ones; new ones are Absent. */
    void resize(std::size_t count);
    void set(std::size_t leaf, double key);
    [[nodiscard]] double key(std::size_t leaf) const;
    /** Leaf with the smallest key, which is Absent when all are. The tree must not be empty. */
    [[nodiscard]] std::size_t best() const;
    [[nodiscard]] bool empty() const;

private:
    /** Recomputes the winner of a node from its two children. */
    void updateWinner(std::size_t node);

    std::size_t m_leaves = 0;
    std::vector<double> m_keys;
    /** Leaf with the smallest key below each node; node 1 is the root, the children of n are 2n and 2n+1. */
    std::vector<std::size_t> m_winners;
};

} // namespace Filbertmount
