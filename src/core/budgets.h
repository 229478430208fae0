// The budgets of a bundle, hashed into immutable segments. Bundle versions share unchanged
// segments, so changing a budget copies one segment instead of the whole table.
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
    /// Cumulative tokens paid for; a top-up increases the value.
    Tokens funded_;
};

using BudgetEntry = std::pair<BudgetId, Budget>;

/// @brief The budgets whose ids hash to the same segment.
///
/// Invariant: entries_ is sorted by id and contains no duplicate ids.
struct BudgetSegment
{
    std::vector<BudgetEntry> entries_;
};

/// @brief Returns the segment of a budget: a hash of its id modulo the number of segments.
std::uint32_t budgetSegmentOf(const BudgetId &budget, std::uint32_t segments);

/// @brief Inserts a budget in sorted order.
/// @return false if the segment already contains the id
/// @note O(entries) unless ids arrive in ascending order
bool addBudget(BudgetSegment &segment, Budget budget);

/// @brief All budgets of a bundle, with a subset of the interface of std::map.
class BudgetTable
{
public:
    /// @brief Forward iterator over the entries, segment by segment.
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
    /// @param segments segment i contains the budgets with
    /// budgetSegmentOf(id, segments.size()) == i
    explicit BudgetTable(std::vector<std::shared_ptr<const BudgetSegment>> segments);

    Iterator begin() const { return {*this, 0, 0}; }
    Iterator end() const { return {*this, segments_.size(), 0}; }
    /// @brief Returns an iterator to the entry with @a id, or end() if there is none.
    /// @note O(log(entries of the segment))
    Iterator find(const BudgetId &id) const;
    bool contains(const BudgetId &id) const { return find(id) != end(); }
    /// @brief Returns the budget with @a id.
    /// @pre contains(id)
    /// @throws std::out_of_range if the table does not contain the id
    const Budget &at(const BudgetId &id) const;
    std::size_t size() const;
    bool empty() const { return size() == 0; }
    /// @brief Inserts a budget unless its id is present; copies the segment.
    /// @return false if the table already contains the id
    bool insert(Budget budget);
    /// @brief Returns a mutable budget, creating it if absent; copies the segment.
    Budget &operator[](const BudgetId &id);

    const std::vector<std::shared_ptr<const BudgetSegment>> &segments() const { return segments_; }

private:
    BudgetSegment &copySegment(const BudgetId &id);

    std::vector<std::shared_ptr<const BudgetSegment>> segments_;
};

} // namespace tamarack
