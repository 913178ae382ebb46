#pragma once

#include "cell_generated.h"
#include "turmericpier/base/units.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The tenants of a cell: their keys, weights and caps, and the resources that each of them uses.
///
///     Tenants tenants;
///     tenants.assign(config.tenants);
///     if (const auto* tenant = tenants.findByKey(key))
///         tenants.addUsage(tenant->name, resourcesOf(step));
namespace turmericpier::cell {

/// Returns the resources that count towards the usage of a tenant for each placed task of the step. Unlike the
/// occupancy of a worker they include the processors of a task that fills unused capacity.
Resources resourcesOf(const record::StepT& step);

/// A part of the replicated state. Replicas with the same jobs and configuration hold the same tenants.
class Tenants {
public:
    Tenants();

    /// Replaces the tenants by those of a new configuration. Those that it omits lose their keys, and are kept with
    /// their weight and cap while they have jobs.
    void assign(const std::vector<std::unique_ptr<record::TenantT>>& configured);
    /// Adds a tenant from a snapshot unless it is one of the configuration, which is assigned before.
    void restore(const record::TenantT& tenant) { m_tenants.try_emplace(tenant.name, tenant); }

    /// Returns true if calls need a key.
    bool areConfigured() const { return m_areConfigured; }
    /// All tenants, also those that the configuration omits and that still have jobs.
    const std::map<std::string, record::TenantT>& all() const { return m_tenants; }
    const record::TenantT* find(const std::string& name) const;
    /// Returns the configured tenant with this key, or null. The time taken does not depend on how much of the key
    /// matches.
    const record::TenantT* findByKey(std::string_view key) const;

    /// Counts the jobs of a tenant; the name is empty for jobs without a tenant.
    void addJob(const std::string& name) { ++m_jobs[name]; }
    void removeJob(const std::string& name);
    /// Counts the resources of placed tasks.
    void addUsage(const std::string& name, const Resources& resources) { m_usage[name] += resources; }
    void removeUsage(const std::string& name, const Resources& resources);
    Resources usage(const std::string& name) const;
    /// Returns how many more tasks of this size a tenant that uses `used` may run; at most `count`. A tenant below half
    /// of its cap may run one task that exceeds it, because smaller tasks would otherwise delay a large one without
    /// end.
    uint64_t tasksWithinCap(
        const std::string& name, const Resources& used, const Resources& each, uint64_t count) const;

private:
    struct KeyOwner {
        std::string key;
        std::string tenant;
    };

    uint64_t digestOf(std::string_view key) const;

    std::map<std::string, record::TenantT> m_tenants; ///< By name.
    bool m_areConfigured = false;
    /// Random, so that the place of a key in the hash table cannot be computed by others.
    std::array<unsigned char, 192> m_secret;
    std::unordered_multimap<uint64_t, KeyOwner> m_keys; ///< By digest.
    std::map<std::string, uint32_t> m_jobs; ///< Number of jobs in the state, by tenant.
    std::map<std::string, Resources> m_usage; ///< By tenant; without those that use nothing.
};

} // namespace turmericpier::cell
