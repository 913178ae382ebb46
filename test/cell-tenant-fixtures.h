#pragma once

#include "cell-fixtures.h"

/// Functions that make tenants for the tests of the cell.
namespace turmericpier::cell::test {

inline std::unique_ptr<record::TenantT> tenant(
    const std::string& name, std::vector<std::string> keys, double weight = 1, int64_t capCpu = 0)
{
    auto made = std::make_unique<record::TenantT>();
    made->name = name;
    made->keys = std::move(keys);
    made->weight = weight;
    made->cap_cpu = capCpu;
    return made;
}

template <typename... Tenants> std::unique_ptr<record::ConfigT> configWithTenants(uint64_t version, Tenants... tenants)
{
    auto made = config(version);
    (made->tenants.push_back(std::move(tenants)), ...);
    return made;
}

template <typename... Steps>
std::unique_ptr<record::JobT> jobOf(const std::string& tenant, const std::string& id, Steps... steps)
{
    auto made = job(id, std::move(steps)...);
    made->tenant = tenant;
    return made;
}

} // namespace turmericpier::cell::test
