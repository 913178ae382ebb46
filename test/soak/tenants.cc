#include "soak/tenants.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::soak {

namespace json = boost::json;

namespace {
    constexpr int64_t minCap = 5'000;
    constexpr int64_t maxCap = 8'000;
    // The jobs that this rate admits take less than the cap, so that they end in time.
    constexpr int weightWithCap = 1;
    constexpr int weightWithoutCap = 100;
} // namespace

Tenants::Tenants(World& world, int count)
    : m_world(world)
    , m_count(count)
    , m_known(static_cast<size_t>(count))
{
    for (int i = 0; i < count; ++i)
        addKey(i);
    m_settings.cap = maxCap;
}

void Tenants::addKey(int tenant)
{
    m_known[static_cast<size_t>(tenant)].push_back(absl::StrCat("key-", tenant, "-", m_nextKey++));
    m_settings.keys[newestKey(tenant)] = tenant;
}

json::array Tenants::describe() const
{
    json::array tenants;
    for (int i = 0; i < m_count; ++i) {
        json::array keys;
        for (const auto& [key, owner] : m_settings.keys) {
            if (owner == i)
                keys.emplace_back(key);
        }
        tenants.push_back(json::object { { "name", absl::StrCat("tenant-", i) }, { "api-keys", std::move(keys) },
            { "priority", 1 }, { "weight", i == 0 ? weightWithCap : weightWithoutCap },
            { "cap", json::object { { "cpu", i == 0 ? m_settings.cap : 0 }, { "mem-mb", 0 }, { "gpu", 0 } } } });
    }
    return tenants;
}

void Tenants::change()
{
    if (m_count == 0)
        return;
    const auto tenant = static_cast<int>(m_world.random(0, m_count - 1));
    switch (m_world.random(0, 3)) {
    case 0:
        return addKey(tenant);
    case 1:
        m_settings.cap = m_world.random(minCap, maxCap);
        return;
    case 2: // Removes all keys but the newest.
        std::erase_if(m_settings.keys,
            [&](const auto& item) { return item.second == tenant && item.first != newestKey(tenant); });
        return;
    default:
        return;
    }
}

std::string Tenants::anyKey(int tenant)
{
    const auto choice = m_world.random(0, 19);
    if (choice == 0)
        return absl::StrCat("never-", tenant);
    if (choice <= 2)
        return m_world.pick(m_known[static_cast<size_t>(tenant)]);
    return newestKey(tenant);
}

} // namespace turmericpier::soak
