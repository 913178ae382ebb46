#include "soak/operator.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace turmericpier::soak {

namespace json = boost::json;

namespace {
    constexpr milliseconds callTimeout { 1'000 };
    constexpr milliseconds readInterval { 60 };
    constexpr int maxInFlight = 8;
    constexpr size_t maxRoutes = 12;
    constexpr double lostAnswerShare = 0.15;
    constexpr double resendShare = 0.3; // Acknowledged versions that are sent again some time later.
    constexpr const char* path = "/turmericpier/config";

    json::object routeOf(const std::string& prefix)
    {
        return { { "name", "r" + prefix }, { "host", Operator::host }, { "path-prefix", prefix },
            { "kind", "non_idempotent" }, { "timeout-ms", 3'000 }, { "target-runtime-ms", 1'200 }, { "priority", 0 },
            { "service", "svc" }, { "attempts", 3 }, { "stretch", 1.5 } };
    }

    json::object documentOf(int64_t version, const std::set<std::string>& prefixes, const Tenants& tenants)
    {
        json::array routes;
        for (const auto& prefix : prefixes)
            routes.push_back(routeOf(prefix));
        json::object document { { "version", version }, { "routes", std::move(routes) },
            { "services",
                json::array { json::object { { "name", "svc" }, { "health-path", "/health" }, { "max-conns", 64 },
                    { "protocol", "h1" }, { "tls", false }, { "admission-check", false }, { "spare", false } } } },
            { "limits",
                json::object { { "max-header-bytes", 16'384 }, { "max-body-bytes", 262'144 },
                    { "header-timeout-ms", 3'000 }, { "idle-timeout-ms", 15'000 } } } };
        if (tenants.count() > 0)
            document["tenants"] = tenants.describe();
        return document;
    }

    bool endsCall(unsigned status)
    {
        return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
    }
} // namespace

Operator::Operator(World& world, Cluster& cluster, http::Client& client, int tenants)
    : m_world(world)
    , m_cluster(cluster)
    , m_client(client)
    , m_tenants(world, tenants)
{
    m_routes.insert(baseRoute());
}

int64_t Operator::addVersion()
{
    const auto number = (m_versions.empty() ? 0 : m_versions.rbegin()->first) + m_world.random(1, 9);
    auto& version = m_versions[number];
    version.routes = m_routes;
    version.tenants = m_tenants.settings();
    version.document = json::serialize(documentOf(number, m_routes, m_tenants));
    return number;
}

void Operator::sendFirst(std::function<void()> done)
{
    if (m_versions.empty())
        put(addVersion(), Resend::UntilAcknowledged);
    if (m_versions.begin()->second.acknowledgedAt)
        return done();
    m_world.after(readInterval, [this, done = std::move(done)] { sendFirst(done); });
}

void Operator::start()
{
    change();
    readLoop();
}

/// Sends the next change, and at times several at once.
void Operator::change()
{
    if (m_stopped)
        return;
    const auto count = m_world.chance(0.2) ? m_world.random(2, maxInFlight) : 1;
    for (int64_t i = 0; i < count && m_inFlight < maxInFlight; ++i) {
        if (m_world.chance(0.2)) {
            ++m_inFlight;
            putInvalid(makeInvalidDocument(), 1);
            continue;
        }
        const bool removes = m_routes.size() > 2 && (m_routes.size() >= maxRoutes || m_world.chance(0.4));
        if (removes) {
            auto removed = std::next(m_routes.begin(), m_world.random(0, static_cast<int64_t>(m_routes.size()) - 1));
            if (*removed != baseRoute())
                m_routes.erase(removed);
        } else {
            m_knownRoutes.push_back(absl::StrCat("/route-", m_nextRoute++, "/"));
            m_routes.insert(m_knownRoutes.back());
        }
        m_tenants.change();
        put(addVersion(), Resend::UntilAcknowledged);
    }
    m_world.after(m_world.randomTime(20, 1'200), [this] { change(); });
}

std::string Operator::makeInvalidDocument()
{
    // A version far above all others would stay in force, and the next valid one is lower.
    auto document = documentOf(m_versions.rbegin()->first + 1'000'000, m_routes, m_tenants);
    auto& routes = document["routes"].get_array();
    switch (m_world.random(0, 4)) {
    case 0:
        routes[0].get_object()["service"] = "unknown";
        break;
    case 1:
        routes.push_back(routes[0]);
        break;
    case 2:
        routes[0].get_object()["timeout-ms"] = 0;
        break;
    case 3:
        document.erase("services");
        break;
    default: {
        auto text = json::serialize(document);
        text.resize(text.size() / 2);
        return text;
    }
    }
    return json::serialize(document);
}

void Operator::put(int64_t number, Resend resend)
{
    auto& version = m_versions.at(number);
    version.sentAt = version.sentAt.value_or(m_world.now());
    ++m_inFlight;
    auto& control = m_cluster.anyControl();
    m_client.call(m_cluster.controlAddress(control), { "PUT", path, version.document, {} }, callTimeout,
        [this, number, resend, name = control.name](const http::ClientResponse& response) {
            --m_inFlight;
            auto& sent = m_versions.at(number);
            if (endsCall(response.status)) {
                m_world.report("CONFIG",
                    absl::StrCat(name, " refused version ", number, " with ", response.status, ": ", response.body));
                return;
            }
            const bool acknowledged = response.status == 200 && !m_world.chance(lostAnswerShare);
            if (acknowledged && !sent.acknowledgedAt) {
                sent.acknowledgedAt = m_world.now();
                m_world.trace(absl::StrCat(name, " acknowledged version ", number));
            }
            if (acknowledged && m_world.chance(resendShare))
                m_world.after(m_world.randomTime(0, 3'000), [this, number] { put(number, Resend::Once); });
            if (!acknowledged && resend == Resend::UntilAcknowledged)
                m_world.after(m_world.randomTime(20, 300), [this, number] { put(number, Resend::UntilAcknowledged); });
        });
}

void Operator::putInvalid(const std::string& document, int attempts)
{
    constexpr int maxAttempts = 5;
    auto& control = m_cluster.anyControl();
    m_client.call(m_cluster.controlAddress(control), { "PUT", path, document, {} }, callTimeout,
        [this, document, attempts, name = control.name](const http::ClientResponse& response) {
            if (response.status == 200)
                m_world.report("CONFIG", absl::StrCat(name, " acknowledged an invalid configuration"));
            if (!endsCall(response.status) && attempts < maxAttempts)
                return putInvalid(document, attempts + 1);
            --m_inFlight;
        });
}

int64_t Operator::acknowledgedBy(Time time) const
{
    for (auto it = m_versions.rbegin(); it != m_versions.rend(); ++it) {
        if (it->second.acknowledgedAt && *it->second.acknowledgedAt <= time)
            return it->first;
    }
    return 0;
}

void Operator::readLoop()
{
    if (m_stopped)
        return;
    read(m_cluster.anyControl());
    m_world.after(readInterval, [this] { readLoop(); });
}

void Operator::read(Process& control)
{
    const auto atLeast = acknowledgedBy(m_world.now() - configApplyTime);
    m_client.call(m_cluster.controlAddress(control), { "GET", path, {}, {} }, callTimeout,
        [this, atLeast, sentAt = m_world.now(), name = control.name](const http::ClientResponse& response) {
            if (response.status != 200)
                return;
            m_readBack += m_readingBack ? 1 : 0;
            boost::system::error_code error;
            const auto value = json::parse(response.body, error);
            const auto* number = error || !value.is_object() ? nullptr : value.get_object().if_contains("version");
            const auto found = number && number->is_int64() ? m_versions.find(number->get_int64()) : m_versions.end();
            const auto where = absl::StrCat(name, ", asked at ", sentAt.count(), ", ");
            if (found == m_versions.end() || found->second.document != response.body)
                return m_world.report("CONFIG", absl::StrCat(where, "gave what was never sent: ", response.body));
            if (found->first < atLeast)
                m_world.report("CONFIG", absl::StrCat(where, "gave version ", found->first, " after ", atLeast));
        });
}

void Operator::readBack(Time until)
{
    m_readingBack = true;
    if (m_world.now() >= until)
        return;
    for (auto* control : m_cluster.controls())
        read(*control);
    m_world.after(milliseconds(500), [this, until] { readBack(until); });
}

void Operator::checkReadBack() const
{
    if (m_readBack == 0)
        m_world.report("CONFIG", "no control process gives the configuration at the end");
    for (const auto& [number, version] : m_versions) {
        if (version.sentAt && !version.acknowledgedAt)
            m_world.report("CONFIG", absl::StrCat("version ", number, " was never acknowledged"));
    }
}

std::string Operator::anyRoute()
{
    const auto choice = m_world.random(0, 9);
    if (m_knownRoutes.empty() || choice == 0)
        return "/never/";
    if (choice < 6) // One of the latest.
        return m_knownRoutes[m_knownRoutes.size()
            - static_cast<size_t>(m_world.random(1, std::min<int64_t>(4, static_cast<int64_t>(m_knownRoutes.size()))))];
    return m_world.pick(m_knownRoutes);
}

std::vector<const Operator::Version*> Operator::versionsFor(Time sentAt) const
{
    const auto first = m_versions.find(acknowledgedBy(sentAt - configApplyTime));
    std::vector<const Version*> versions;
    if (first == m_versions.end())
        versions.push_back(nullptr);
    for (auto it = first == m_versions.end() ? m_versions.begin() : first; it != m_versions.end(); ++it) {
        if (it->second.sentAt)
            versions.push_back(&it->second);
    }
    return versions;
}

void Operator::onRouteAnswer(const std::string& route, Time sentAt, unsigned status)
{
    bool mayExist = false;
    bool mayBeMissing = false;
    for (const auto* version : versionsFor(sentAt))
        (version && version->routes.contains(route) ? mayExist : mayBeMissing) = true;
    if ((status == 200 && !mayExist) || (status == 404 && !mayBeMissing))
        m_world.report("CONFIG",
            absl::StrCat("route ", route, ", asked at ", sentAt.count(), ", is answered with ", status,
                " from version ", acknowledgedBy(sentAt - configApplyTime), " on"));
}

void Operator::onKeyAnswer(const std::string& key, Time sentAt, unsigned status)
{
    bool mayExist = false;
    bool mayBeMissing = false;
    for (const auto* version : versionsFor(sentAt))
        (version && version->tenants.keys.contains(key) ? mayExist : mayBeMissing) = true;
    const bool wasKnown = status == 200 || status == 410 || status == 429;
    if ((wasKnown && !mayExist) || (status == 401 && !mayBeMissing))
        m_world.report("CONFIG",
            absl::StrCat("key ", key, ", sent at ", sentAt.count(), ", is answered with ", status, " from version ",
                acknowledgedBy(sentAt - configApplyTime), " on"));
}

int64_t Operator::maxCapAt(Time time) const
{
    int64_t cap = 0;
    // An order may reach its worker some time after the start was committed.
    for (const auto* version : versionsFor(time - contactTime))
        cap = std::max(cap, version ? version->tenants.cap : INT64_MAX / 2);
    return cap;
}

} // namespace turmericpier::soak
