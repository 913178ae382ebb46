#pragma once

#include "soak/world.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

/// Tenants of the configuration whose keys and caps change while the cell runs.
namespace turmericpier::soak {

/// What one version of the configuration says of the tenants.
struct TenantSettings {
    std::map<std::string, int> keys; ///< Number of the tenant by key.
    int64_t cap = 0; ///< Of the first tenant, in thousandths of a core; the others have none.
};

class Tenants {
public:
    /// Without tenants, calls need no key and no random numbers are drawn.
    Tenants(World& world, int count);

    int count() const { return m_count; }
    const TenantSettings& settings() const { return m_settings; }
    boost::json::array describe() const;
    /// Adds or removes a key, or changes the cap. Each tenant keeps at least one key.
    void change();
    /// Returns the newest key of the tenant, or at times one that it had, or one that no tenant has ever had.
    std::string anyKey(int tenant);
    std::string newestKey(int tenant) const { return m_known[static_cast<size_t>(tenant)].back(); }

private:
    void addKey(int tenant);

    World& m_world;
    const int m_count;
    TenantSettings m_settings;
    std::vector<std::vector<std::string>> m_known; ///< All keys that each tenant has had; the last one is in use.
    int m_nextKey = 1;
};

} // namespace turmericpier::soak
