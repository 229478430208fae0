// The budgets of a bundle in immutable segments. Two versions of a bundle share every segment that
// did not change, so a change costs one segment and not a copy of all budgets.
#pragma once

#include "core/ids.h"
#include "core/tokens.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief One prepaid budget.
struct Budget
{
    BudgetId id_;
    AccountId account_;
    /// Cumulative tokens paid for; a top-up raises it.
    Tokens funded_;
};

using BudgetEntry = std::pair<BudgetId, Budget>;

/// @brief Budgets whose id hashes to the same segment.
///
/// Invariant: entries_ is sorted by id without duplicates.
struct BudgetSegment
{
    std::vector<BudgetEntry> entries_;
};

/// @brief Returns the segment of a budget: a hash of its id modulo the number of segments.
std::uint32_t budgetSegmentOf(const BudgetId &budget, std::uint32_t segments);

/// @brief Adds an entry at its place.
/// @return false if the segment has the id already
/// @note O(entries) unless ids arrive in ascending order
bool addBudget(BudgetSegment &segment, Budget budget);

/// @brief All budgets. The functions are those of a map, as far as they are used.
class BudgetTable
{
public:
    /// @brief Visits the entries segment by segment.
    class Iterator
    {
    public:
        Iterator(const BudgetTable &table, std::size_t segment, std::size_t entry);
        const BudgetEntry &operator*() const;
        const BudgetEntry *operator->() const { return &**this; }
        Iterator &operator++();
        bool operator==(const Iterator &other) const;

    private:
        void skipEmpty();

        const BudgetTable *table_;
        std::size_t segment_;
        std::size_t entry_;
    };

    BudgetTable() = default;
    /// @param segments segment i holds the budgets with budgetSegmentOf(id, count) == i
    explicit BudgetTable(std::vector<std::shared_ptr<const BudgetSegment>> segments);

    Iterator begin() const { return {*this, 0, 0}; }
    Iterator end() const { return {*this, segments_.size(), 0}; }
    /// @note O(log entries of the segment)
    Iterator find(const BudgetId &id) const;
    bool contains(const BudgetId &id) const { return find(id) != end(); }
    /// @pre contains(id)
    const Budget &at(const BudgetId &id) const;
    std::size_t size() const;
    bool empty() const { return size() == 0; }
    /// @brief Adds a budget unless its id is present; copies the segment.
    bool insert(Budget budget);
    /// @brief Returns a changeable entry, created if absent; copies the segment.
    Budget &operator[](const BudgetId &id);

    const std::vector<std::shared_ptr<const BudgetSegment>> &segments() const { return segments_; }

private:
    BudgetSegment &copySegment(const BudgetId &id);

    std::vector<std::shared_ptr<const BudgetSegment>> segments_;
};

} // namespace tamarack
