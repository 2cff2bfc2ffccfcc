#include "routing/tournamenttree.h"

#include <bit>

namespace Filbertmount {

void TournamentTree::resize(std::size_t count)
{
    if (count <= m_leaves) {
        return;
    }
    m_leaves = std::bit_ceil(count);
    m_keys.resize(m_leaves, Absent);
    m_winners.assign(2 * m_leaves, 0);
    for (std::size_t leaf = 0; leaf < m_leaves; ++leaf) {
        m_winners[m_leaves + leaf] = leaf;
    }
    for (std::size_t node = m_leaves - 1; node >= 1; --node) {
        updateWinner(node);
    }
}

void TournamentTree::updateWinner(std::size_t node)
{
    const std::size_t left = m_winners[2 * node];
    const std::size_t right = m_winners[2 * node + 1];
    m_winners[node] = m_keys[right] < m_keys[left] ? right : left;
}

void TournamentTree::set(std::size_t leaf, double key)
{
    if (m_keys[leaf] == key) {
        return;
    }
    m_keys[leaf] = key;
    for (std::size_t node = (m_leaves + leaf) / 2; node >= 1; node /= 2) {
        updateWinner(node);
    }
}

double TournamentTree::key(std::size_t leaf) const
{
    return m_keys[leaf];
}

std::size_t TournamentTree::best() const
{
    return m_leaves == 1 ? 0 : m_winners[1];
}

bool TournamentTree::empty() const
{
    return m_leaves == 0;
}

} // namespace Filbertmount
