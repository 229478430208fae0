// Typed identifiers. Objects live in containers and refer to each other by these ids, so an id of
// one kind cannot be passed where another kind is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tamarack {

/// @brief A textual identifier whose tag type keeps the kinds apart.
template <typename Tag>
struct Id
{
    std::string value_;

    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    { }

    auto operator<=>(const Id &) const = default;
    bool isEmpty() const { return value_.empty(); }
};

/// @brief A numeric identifier whose tag type keeps the kinds apart.
template <typename Tag>
struct NumericId
{
    std::uint64_t value_ = 0;

    auto operator<=>(const NumericId &) const = default;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
using AccountId = Id<struct AccountTag>;
using BudgetId = Id<struct BudgetTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
/// A fine-tuned adapter that is loaded beside a model.
using AdapterId = Id<struct AdapterTag>;
using ModelVersionId = Id<struct ModelVersionTag>;
using OperatorId = Id<struct OperatorTag>;
/// One run of one daemon: the host id and a random suffix. A restarted daemon is a new holder.
using HolderId = Id<struct HolderTag>;
using GrantId = Id<struct GrantTag>;
using RequestId = Id<struct RequestTag>;
/// One admission of a request by one daemon; a retry by the caller is a new admission.
using AdmissionId = Id<struct AdmissionTag>;
/// One exchange with one upstream on behalf of an admission.
using AttemptId = Id<struct AttemptTag>;
using StoreKey = Id<struct StoreKeyTag>;

using ShardNumber = NumericId<struct ShardTag>;
using BundleVersion = NumericId<struct BundleVersionTag>;
/// Identifies a call to the store until its reply arrives.
using CallId = NumericId<struct CallTag>;
/// Revision of a store key; 0 means that the key does not exist.
using Revision = NumericId<struct RevisionTag>;
using LeaseId = NumericId<struct LeaseTag>;

} // namespace tamarack

template <typename Tag>
struct std::hash<tamarack::Id<Tag>>
{
    std::size_t operator()(const tamarack::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value_);
    }
};

template <typename Tag>
struct std::hash<tamarack::NumericId<Tag>>
{
    std::size_t operator()(const tamarack::NumericId<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value_);
    }
};
