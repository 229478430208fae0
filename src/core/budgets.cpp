// The budgets of a bundle in immutable segments.
#include "core/budgets.h"

#include "core/hash.h"

#include <algorithm>
#include <stdexcept>

namespace tamarack {

namespace {

bool precedes(const BudgetEntry &entry, const BudgetId &id)
{
    return entry.first < id;
}

} // namespace

std::uint32_t budgetSegmentOf(const BudgetId &budget, std::uint32_t segments)
{
    return static_cast<std::uint32_t>(hash64(budget.value_) % segments);
}

bool addBudget(BudgetSegment &segment, Budget budget)
{
    const auto at
        = std::lower_bound(segment.entries_.begin(), segment.entries_.end(), budget.id_, precedes);
    if (at != segment.entries_.end() && at->first == budget.id_)
        return false;
    const BudgetId id = budget.id_;
    segment.entries_.emplace(at, id, std::move(budget));
    return true;
}

BudgetTable::Iterator::Iterator(const BudgetTable &table, std::size_t segment, std::size_t entry)
    : table_(&table)
    , segment_(segment)
    , entry_(entry)
{
    skipEmpty();
}

const BudgetEntry &BudgetTable::Iterator::operator*() const
{
    return table_->segments_[segment_]->entries_[entry_];
}

BudgetTable::Iterator &BudgetTable::Iterator::operator++()
{
    ++entry_;
    skipEmpty();
    return *this;
}

bool BudgetTable::Iterator::operator==(const Iterator &other) const
{
    return segment_ == other.segment_ && entry_ == other.entry_;
}

void BudgetTable::Iterator::skipEmpty()
{
    while (segment_ < table_->segments_.size()
           && entry_ >= table_->segments_[segment_]->entries_.size()) {
        ++segment_;
        entry_ = 0;
    }
}

BudgetTable::BudgetTable(std::vector<std::shared_ptr<const BudgetSegment>> segments)
    : segments_(std::move(segments))
{ }

BudgetTable::Iterator BudgetTable::find(const BudgetId &id) const
{
    if (segments_.empty())
        return end();
    const std::size_t number = budgetSegmentOf(id, static_cast<std::uint32_t>(segments_.size()));
    const std::vector<BudgetEntry> &entries = segments_[number]->entries_;
    const auto at = std::lower_bound(entries.begin(), entries.end(), id, precedes);
    if (at == entries.end() || at->first != id)
        return end();
    return {*this, number, static_cast<std::size_t>(at - entries.begin())};
}

const Budget &BudgetTable::at(const BudgetId &id) const
{
    const Iterator found = find(id);
    if (found == end())
        throw std::out_of_range("budget " + id.value_ + " is not in the bundle");
    return found->second;
}

std::size_t BudgetTable::size() const
{
    std::size_t count = 0;
    for (const auto &segment : segments_)
        count += segment->entries_.size();
    return count;
}

BudgetSegment &BudgetTable::copySegment(const BudgetId &id)
{
    if (segments_.empty())
        segments_.push_back(std::make_shared<const BudgetSegment>());
    auto &segment = segments_[budgetSegmentOf(id, static_cast<std::uint32_t>(segments_.size()))];
    auto copy = std::make_shared<BudgetSegment>(*segment);
    segment = copy;
    return *copy;
}

bool BudgetTable::insert(Budget budget)
{
    BudgetSegment &segment = copySegment(budget.id_);
    return addBudget(segment, std::move(budget));
}

Budget &BudgetTable::operator[](const BudgetId &id)
{
    BudgetSegment &segment = copySegment(id);
    addBudget(segment, Budget {id, {}, {}});
    return std::lower_bound(segment.entries_.begin(), segment.entries_.end(), id, precedes)->second;
}

} // namespace tamarack
