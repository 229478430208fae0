// Typed identifiers. Objects are stored in containers and refer to each other by id; distinct types
// prevent an id of one kind from being passed where another kind is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tamarack {

/// @brief A string identifier.
/// @tparam Tag makes identifiers of different kinds distinct types
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

/// @brief A numeric identifier.
/// @tparam Tag makes identifiers of different kinds distinct types
template <typename Tag>
struct NumericId
{
    std::uint64_t value_ = 0;

    auto operator<=>(const NumericId &) const = default;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
/// A group of availability zones.
using RegionId = Id<struct RegionTag>;
using AccountId = Id<struct AccountTag>;
using BudgetId = Id<struct BudgetTag>;
using UpstreamId = Id<struct UpstreamTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
/// Version of the software that a process of an upstream runs.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
/// A fine-tuned adapter that an engine loads in addition to a base model.
using AdapterId = Id<struct AdapterTag>;
using ModelVersionId = Id<struct ModelVersionTag>;
using OperatorId = Id<struct OperatorTag>;
/// One run of a daemon, which holds grants: the host id and a random suffix. A restart creates a
/// new holder id.
using HolderId = Id<struct HolderTag>;
using GrantId = Id<struct GrantTag>;
using RequestId = Id<struct RequestTag>;
/// One admission of a request by one daemon. A retry by the caller gets a new admission id.
using AdmissionId = Id<struct AdmissionTag>;
/// One request sent to one upstream on behalf of an admission.
using AttemptId = Id<struct AttemptTag>;
using StoreKey = Id<struct StoreKeyTag>;

using ShardNumber = NumericId<struct ShardTag>;
using BundleVersion = NumericId<struct BundleVersionTag>;
/// Correlates a store call with its reply.
using CallId = NumericId<struct CallTag>;
/// A revision of the store. As the revision of a key, 0 means that the key does not exist.
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
