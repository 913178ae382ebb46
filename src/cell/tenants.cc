#include "turmericpier/cell/tenants.h"

#include <algorithm>
#include <random>
#include <set>
#include <xxhash.h>

namespace turmericpier::cell {

namespace {
    /// Compares all bytes, so that the time does not show the first difference.
    bool isEqualInConstantTime(std::string_view a, std::string_view b)
    {
        if (a.size() != b.size())
            return false;
        volatile unsigned char difference = 0;
        for (size_t i = 0; i < a.size(); ++i)
            difference = static_cast<unsigned char>(difference | (a[i] ^ b[i]));
        return difference == 0;
    }
} // namespace

Resources resourcesOf(const record::StepT& step)
{
    return { MilliCpu { step.cpu }, MemoryMib { step.memory }, Accelerators { step.accelerators } };
}

Tenants::Tenants()
{
    static_assert(std::tuple_size_v<decltype(m_secret)> >= XXH3_SECRET_SIZE_MIN);
    std::random_device random;
    for (auto& byte : m_secret)
        byte = static_cast<unsigned char>(random());
}

uint64_t Tenants::digestOf(std::string_view key) const
{
    return XXH3_64bits_withSecret(key.data(), key.size(), m_secret.data(), m_secret.size());
}

void Tenants::assign(const std::vector<std::unique_ptr<record::TenantT>>& configured)
{
    m_keys.clear();
    for (auto& [name, tenant] : m_tenants)
        tenant.keys.clear();
    std::set<std::string_view> names;
    for (const auto& tenant : configured) {
        names.insert(tenant->name);
        m_tenants[tenant->name] = *tenant;
        for (const auto& key : tenant->keys)
            m_keys.emplace(digestOf(key), KeyOwner { key, tenant->name });
    }
    std::erase_if(
        m_tenants, [&](const auto& item) { return !names.contains(item.first) && !m_jobs.contains(item.first); });
    m_areConfigured = !configured.empty();
}

const record::TenantT* Tenants::find(const std::string& name) const
{
    const auto found = m_tenants.find(name);
    return found == m_tenants.end() ? nullptr : &found->second;
}

const record::TenantT* Tenants::findByKey(std::string_view key) const
{
    const auto [first, last] = m_keys.equal_range(digestOf(key));
    for (auto it = first; it != last; ++it) {
        if (isEqualInConstantTime(it->second.key, key))
            return find(it->second.tenant);
    }
    return nullptr;
}

void Tenants::removeJob(const std::string& name)
{
    const auto found = m_jobs.find(name);
    if (found != m_jobs.end() && --found->second == 0)
        m_jobs.erase(found);
}

void Tenants::removeUsage(const std::string& name, const Resources& resources)
{
    const auto found = m_usage.find(name);
    if (found == m_usage.end())
        return;
    found->second -= resources;
    if (found->second == Resources {})
        m_usage.erase(found);
}

Resources Tenants::usage(const std::string& name) const
{
    const auto found = m_usage.find(name);
    return found == m_usage.end() ? Resources {} : found->second;
}

uint64_t Tenants::tasksWithinCap(
    const std::string& name, const Resources& used, const Resources& each, uint64_t count) const
{
    const auto* tenant = find(name);
    if (!tenant)
        return count;
    const auto orUnlimited = [](int64_t cap) { return cap > 0 ? cap : INT64_MAX; };
    const Resources cap { MilliCpu { orUnlimited(tenant->cap_cpu) }, MemoryMib { orUnlimited(tenant->cap_memory) },
        Accelerators { orUnlimited(tenant->cap_accelerators) } };
    const auto tasks = countThatFit(each, cap - used, count);
    const bool isBelowHalf = fits(used, cap - used);
    return tasks == 0 && isBelowHalf ? std::min<uint64_t>(count, 1) : tasks;
}

} // namespace turmericpier::cell
