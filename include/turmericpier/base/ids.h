#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// Strongly typed identifiers. Ids of different types do not convert into each other:
///
///     WorkerId worker("w1");
///     JobId job = worker; // does not compile
namespace turmericpier {

/// A string identifier. Each tag makes a type of its own.
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const Id&, const Id&) = default;
    friend std::strong_ordering operator<=>(const Id&, const Id&) = default;

    template <typename H> friend H AbslHashValue(H state, const Id& id) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), id.m_value);
    }

private:
    std::string m_value;
};

/// An unsigned 64-bit number. Each tag makes a type of its own.
template <typename Tag> struct Number {
    uint64_t value = 0;

    friend bool operator==(Number, Number) = default;
    friend std::strong_ordering operator<=>(Number, Number) = default;
    Number next() const { return Number { value + 1 }; }

    template <typename H> friend H AbslHashValue(H state, Number number) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), number.value);
    }
};

using InstanceId = Id<struct InstanceTag>; ///< A turmericpier process.
using WorkerId = Id<struct WorkerTag>; ///< A machine that runs tasks and requests.
using JobId = Id<struct JobTag>;
using TaskId = Id<struct TaskTag>;
using RequestId = Id<struct RequestTag>;
using TeamId = Id<struct TeamTag>;
using PolicyId = Id<struct PolicyTag>;
using ServiceId = Id<struct ServiceTag>;
using PartnerId = Id<struct PartnerTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using RackId = Id<struct RackTag>;
using GroupId = Id<struct GroupTag>; ///< A consensus group, which replicates one log.

using Epoch = Number<struct EpochTag>; ///< Fencing epoch; increases with each placement or grant.
using Incarnation = Number<struct IncarnationTag>; ///< Increases with each start of a process.
using Term = Number<struct TermTag>; ///< Election term of a replicated log.
using Index = Number<struct IndexTag>; ///< Position in a replicated log; the first entry has index 1.

} // namespace turmericpier

template <typename Tag> struct std::hash<turmericpier::Id<Tag>> {
    size_t operator()(const turmericpier::Id<Tag>& id) const { return std::hash<std::string> {}(id.str()); }
};
