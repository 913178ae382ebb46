#include "turmericpier/app/process.h"

#include "log.pb.h"
#include "operator.pb.h"
#include "peer/refusal.h"
#include "turmericpier/admin/server.h"
#include "turmericpier/base/clock.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"
#include "turmericpier/base/metrics.h"
#include "turmericpier/control/service.h"
#include "turmericpier/ledger/replica.h"
#include "turmericpier/peer/convert.h"
#include "turmericpier/peer/transport.h"
#include "turmericpier/rpc/entry.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>

namespace turmericpier::app {

namespace {
    // Longer than 60 s, the default of entry.max_deadline_ms, so that requests in flight can end.
    constexpr Duration drainTimeout = std::chrono::seconds(65);

    /// Returns the system time in microseconds since 1970, which increases with each start even if the disk was lost.
    Incarnation newIncarnation()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return Incarnation { static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count()) };
    }
} // namespace

struct Process::Impl {
    explicit Impl(settings::Settings settings)
        : m_settings(std::move(settings))
        , m_incarnation(newIncarnation())
        , m_transport({ m_settings.instance, m_incarnation, m_settings.peerAddress, m_settings.peers }, m_metrics)
    {
    }

    bool hasRole(settings::Role role) const { return m_settings.roles.count(role) > 0; }

    absl::Status open()
    {
        const auto send = [this](const InstanceId& to, peer::Envelope envelope) {
            return m_transport.send(to, std::move(envelope));
        };
        if (hasRole(settings::Role::Control)) {
            control::ServiceHooks hooks;
            hooks.send = send;
            hooks.recordJob = [this](rpc::LedgerRecord record, std::function<void()> done) {
                m_entry->recordOutcome(std::move(record), std::move(done));
            };
            auto control = control::Service::open(m_settings, std::move(hooks), m_clock, m_metrics);
            if (!control.ok())
                return control.status();
            m_control = std::move(*control);
        }
        for (const auto& [region, voters] : m_settings.ledgerVoters) {
            if (!hasRole(settings::Role::Ledger) || std::count(voters.begin(), voters.end(), m_settings.instance) == 0)
                continue;
            auto replica = ledger::Replica::open(m_settings, region, send, m_clock, m_metrics);
            if (!replica.ok())
                return replica.status();
            m_ledgers[ledger::groupOf(region)] = std::move(*replica);
        }
        m_entry = std::make_unique<rpc::Entry>(
            m_settings, m_incarnation, send, [this](Duration age) { return maintainLedgers(age); }, m_clock, m_metrics);
        m_admin = std::make_unique<admin::Server>(
            admin::ServerOptions { m_settings.adminAddress.host, m_settings.adminAddress.port }, adminHooks(),
            m_metrics);
        return absl::OkStatus();
    }

    /// Makes every ledger replica request its missing outcomes. Returns the claims that had no outcome for `age`.
    std::vector<log::Claim> maintainLedgers(Duration age)
    {
        std::vector<log::Claim> claims;
        for (auto& [group, replica] : m_ledgers) {
            replica->requestBackfill();
            for (auto& claim : replica->abandonedClaims(age))
                claims.push_back(std::move(claim));
        }
        return claims;
    }

    admin::ServerHooks adminHooks()
    {
        admin::ServerHooks hooks;
        hooks.dump = [this] { return dump(); };
        hooks.metrics = [this] { return m_metrics.toPrometheusText(); };
        hooks.health = [] { return absl::OkStatus(); };
        hooks.readiness = [this] { return readiness(); };
        return hooks;
    }

    absl::Status readiness() const
    {
        if (m_isStopping)
            return absl::UnavailableError("stopping");
        if (hasRole(settings::Role::Entry) && !m_entry->isReady())
            return absl::UnavailableError("no control leader has answered yet");
        return absl::OkStatus();
    }

    void receive(peer::Envelope envelope)
    {
        using peer::wire::Body;
        switch (envelope.body.type) {
        case Body::Consensus:
            receiveConsensus(envelope);
            break;
        case Body::Forward:
            m_control ? m_control->forward(std::move(envelope)) : refuse(envelope);
            break;
        case Body::EntryHeartbeat:
            m_control ? m_control->heartbeat(std::move(envelope)) : refuse(envelope);
            break;
        case Body::LedgerSubmit:
        case Body::LedgerRead:
            receiveLedger(std::move(envelope));
            break;
        case Body::ForwardReply:
        case Body::Refusal:
        case Body::EntryHeartbeatReply:
        case Body::LedgerReply:
            m_entry->receive(std::move(envelope));
            break;
        case Body::LedgerReadReply:
            receiveLedgerReadReply(std::move(envelope));
            break;
        case Body::CellCall: // Only the processes of a cell, which other commands start, receive these.
        case Body::CellReply:
        case Body::CellProbe:
            m_metrics.counter("envelopes_unexpected_total").increment();
            break;
        case Body::NONE:
            m_metrics.counter("envelopes_without_body_total").increment();
            break;
        }
    }

    void receiveConsensus(const peer::Envelope& envelope)
    {
        const auto* body = envelope.body.AsConsensus();
        auto message = peer::fromWire(*body);
        if (!message.ok()) {
            m_metrics.counter("consensus_messages_malformed_total").increment();
            return;
        }
        const InstanceId from(envelope.from);
        const auto ledger = m_ledgers.find(GroupId(body->group));
        if (body->group == "control" && m_control)
            m_control->receiveConsensus(from, std::move(*message));
        else if (ledger != m_ledgers.end())
            ledger->second->receiveConsensus(from, std::move(*message));
        else
            m_metrics.counter("consensus_messages_unknown_group_total").increment();
    }

    void receiveLedger(peer::Envelope envelope)
    {
        const bool isSubmit = envelope.body.type == peer::wire::Body::LedgerSubmit;
        const auto& group = isSubmit ? envelope.body.AsLedgerSubmit()->group : envelope.body.AsLedgerRead()->group;
        const auto ledger = m_ledgers.find(GroupId(group));
        if (ledger == m_ledgers.end())
            refuse(envelope);
        else if (isSubmit)
            ledger->second->submit(std::move(envelope));
        else
            ledger->second->read(std::move(envelope));
    }

    void receiveLedgerReadReply(peer::Envelope envelope)
    {
        const auto* body = envelope.body.AsLedgerReadReply();
        const auto ledger = m_ledgers.find(GroupId(body->group));
        if (!body->fills_replica)
            m_entry->receive(std::move(envelope));
        else if (ledger != m_ledgers.end())
            ledger->second->handleBackfillReply(envelope);
    }

    void refuse(const peer::Envelope& request)
    {
        const auto status = makeError(
            { absl::StatusCode::kUnavailable, Outcome::NotRun, "MISSING_ROLE", "receive", m_settings.instance.str() },
            m_settings.instance.str() + " does not have the role for this message");
        m_transport.send(InstanceId(request.from), peer::refusalOf(request, status, InstanceId()));
    }

    std::string dump() const
    {
        boost::json::object result { { "instance", m_settings.instance.str() }, { "incarnation", m_incarnation.value },
            { "data_centre", m_settings.dataCentre.str() }, { "region", m_settings.region.str() } };
        boost::json::error_code error;
        if (m_control)
            result["control"] = boost::json::parse(m_control->dump(), error);
        for (const auto& [group, replica] : m_ledgers)
            result[group.str()] = boost::json::parse(replica->dump(), error);
        result["entry"] = boost::json::parse(m_entry->dump(), error);
        result["transport"] = boost::json::parse(m_transport.dump(), error);
        return boost::json::serialize(result);
    }

    absl::Status start()
    {
        if (auto status = m_admin->start(); !status.ok())
            return status;
        m_transport.setHandler([this](peer::Envelope envelope) { receive(std::move(envelope)); });
        if (hasRole(settings::Role::Entry)) {
            if (auto status = m_entry->start(); !status.ok())
                return status;
        }
        if (auto status = m_transport.start(); !status.ok())
            return status;
        for (auto& [group, replica] : m_ledgers)
            replica->start();
        if (m_control)
            m_control->start();
        logState("process", "started");
        return absl::OkStatus();
    }

    void shutDown()
    {
        m_isStopping = true;
        if (hasRole(settings::Role::Entry)) {
            m_entry->drain(drainTimeout);
            m_entry->stop();
        }
        if (m_control)
            m_control->stop();
        for (auto& [group, replica] : m_ledgers)
            replica->stop();
        m_transport.stop();
        m_admin->stop();
        logState("process", "stopped");
    }

    const settings::Settings m_settings;
    const Incarnation m_incarnation;
    SteadyClock m_clock;
    Metrics m_metrics;
    peer::Transport m_transport;
    std::unique_ptr<control::Service> m_control;
    std::map<GroupId, std::unique_ptr<ledger::Replica>> m_ledgers;
    std::unique_ptr<admin::Server> m_admin;
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<rpc::Entry> m_entry; ///< Instances without the role entry use it for calls to ledgers.
};

Process::Process(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Process::~Process() = default;

absl::StatusOr<std::unique_ptr<Process>> Process::open(settings::Settings settings)
{
    auto impl = std::make_unique<Impl>(std::move(settings));
    if (auto status = impl->open(); !status.ok())
        return status;
    return std::unique_ptr<Process>(new Process(std::move(impl)));
}

absl::Status Process::start() { return m_impl->start(); }

void Process::shutDown() { m_impl->shutDown(); }

} // namespace turmericpier::app
