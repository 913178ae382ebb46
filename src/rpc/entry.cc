#include "turmericpier/rpc/entry.h"

#include "peer/bytes.h"
#include "peer_generated.h"
#include "rpc/claim-resolver.h"
#include "rpc/peer-calls.h"
#include "rpc/request-driver.h"
#include "rpc/services.h"
#include "rpc/worker-streams.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/log.h"
#include "turmericpier/ledger/client.h"
#include "turmericpier/ledger/replica.h"

#include <algorithm>
#include <boost/json.hpp>
#include <future>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace turmericpier::rpc {

namespace {
    using peer::toBytes;

    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration operatorTimeout = std::chrono::seconds(10);
    constexpr Duration heartbeatTimeout = std::chrono::milliseconds(600);
    // Longer than one round trip over a paid link with 8 ms one-way latency. A burst waits for at most a few intervals.
    constexpr Duration urgentHeartbeatInterval = std::chrono::milliseconds(20);
    // Above all correlation ids of PeerCalls, so that replies to the ledger client can be distinguished.
    constexpr uint64_t firstLedgerCorrelation = uint64_t { 1 } << 62U;
    constexpr Duration claimScanInterval = std::chrono::seconds(1);
    // Added to the longest deadline, because the entry that made the claim may still be resolving the request itself.
    constexpr Duration claimGracePeriod = std::chrono::seconds(30);
    constexpr Duration recordTimeout = std::chrono::minutes(10);
    constexpr auto drainPollInterval = std::chrono::milliseconds(20);

    template <typename Message>
    absl::StatusOr<Message> parseReply(const absl::StatusOr<peer::wire::EnvelopeT>& reply, const std::string& self)
    {
        if (!reply.ok())
            return reply.status();
        Message message;
        const auto* body = reply->body.AsForwardReply();
        if (!body || !message.ParseFromArray(body->reply.data(), static_cast<int>(body->reply.size())))
            return makeError(
                { absl::StatusCode::kInternal, turmericpier::Outcome::Unknown, "MALFORMED_REPLY", "forward", self },
                "reply of the control leader cannot be parsed");
        return message;
    }
} // namespace

struct Entry::Impl {
    Impl(const settings::Settings& settings, Incarnation incarnation, SendFunction send,
        AbandonedClaims abandonedClaims, const Clock& clock, Metrics& metrics)
        : m_settings(settings)
        , m_incarnation(incarnation)
        , m_clock(clock)
        , m_metrics(metrics)
        , m_loop("entry", clock)
        , m_send(std::move(send))
        , m_calls(m_send)
        , m_controlCalls(m_calls, settings.controlVoters)
        , m_ledger(ledgerOptions(), ledgerHooks(), metrics)
        , m_abandonedClaims(std::move(abandonedClaims))
        , m_streams(metrics)
        , m_driver(m_settings, incarnation, driverHooks(), m_loop, clock, metrics)
        , m_resolver(
              m_driver.endpoints(), m_loop, [this](const LedgerRecord& record) { recordOutcome(record, [] {}); },
              metrics)
        , m_callerService(
              [this](const CallRequest& request, CallerService::Done done) { call(request, std::move(done)); })
        , m_operatorService(operatorHandlers())
    {
        for (const auto& [region, voters] : settings.ledgerVoters)
            m_ledgerReadCalls.emplace(region, std::make_unique<LeaderCalls>(m_calls, voters));
        m_loop.setBatchEnd([this] { m_ledger.flush(m_clock.now()); });
    }

    ledger::ClientOptions ledgerOptions() const
    {
        ledger::ClientOptions options;
        for (const auto& [region, voters] : m_settings.ledgerVoters)
            options.groups.push_back({ ledger::groupOf(region), voters });
        options.firstCorrelation = firstLedgerCorrelation;
        options.seed = m_incarnation.value;
        return options;
    }

    ledger::ClientHooks ledgerHooks()
    {
        ledger::ClientHooks hooks;
        hooks.send = [this](const InstanceId& to, uint64_t correlation, peer::wire::LedgerSubmitT submit) {
            peer::wire::EnvelopeT envelope;
            envelope.correlation = correlation;
            envelope.body.Set(std::move(submit));
            return m_send(to, std::move(envelope));
        };
        return hooks;
    }

    RequestDriverHooks driverHooks()
    {
        RequestDriverHooks hooks;
        hooks.commit
            = [this](const RegionId& region, log::LedgerItem item, TimePoint deadline, ledger::Client::Callback done) {
                  m_ledger.submit(ledger::groupOf(region), std::move(item), deadline, std::move(done), m_clock.now());
              };
        return hooks;
    }

    absl::Status makeOverloadedError() const
    {
        return makeError({ absl::StatusCode::kResourceExhausted, turmericpier::Outcome::NotRun, "ENTRY_OVERLOADED",
                             "admit", m_settings.instance.str() },
            "the entry's work queue is full");
    }

    void call(const CallRequest& request, CallerService::Done done)
    {
        // gRPC keeps `request` alive until `done` has run.
        auto sharedDone = std::make_shared<CallerService::Done>(std::move(done));
        if (!m_loop.post([this, &request, sharedDone] { m_driver.submit(request, *sharedDone); }))
            (*sharedDone)(makeOverloadedError(), {});
    }

    OperatorHandlers operatorHandlers()
    {
        OperatorHandlers handlers;
        handlers.operate = [this](const OperateRequest& request, auto done) {
            forward<OperateReply>(false, request, std::move(done));
        };
        handlers.read
            = [this](const ReadRequest& request, auto done) { forward<ReadReply>(true, request, std::move(done)); };
        handlers.exportLedger = [this](const ExportLedgerRequest& request, uint64_t after, auto done) {
            exportLedger(request, after, std::move(done));
        };
        return handlers;
    }

    template <typename Reply>
    void forward(
        bool isRead, const google::protobuf::MessageLite& request, std::function<void(absl::StatusOr<Reply>)> done)
    {
        auto sharedDone = std::make_shared<std::function<void(absl::StatusOr<Reply>)>>(std::move(done));
        const bool isQueued = m_loop.post([this, isRead, bytes = toBytes(request), sharedDone] {
            const auto now = m_clock.now();
            m_controlCalls.call(
                [isRead, bytes] {
                    peer::wire::ForwardT body;
                    body.read = isRead;
                    body.request = bytes;
                    peer::wire::EnvelopeT envelope;
                    envelope.body.Set(std::move(body));
                    return envelope;
                },
                now, now + operatorTimeout,
                [this, sharedDone](const absl::StatusOr<peer::wire::EnvelopeT>& reply) {
                    (*sharedDone)(parseReply<Reply>(reply, m_settings.instance.str()));
                });
        });
        if (!isQueued)
            (*sharedDone)(makeOverloadedError());
    }

    void exportLedger(
        const ExportLedgerRequest& request, uint64_t after, std::function<void(absl::StatusOr<LedgerPage>)> done)
    {
        auto sharedDone = std::make_shared<std::function<void(absl::StatusOr<LedgerPage>)>>(std::move(done));
        const bool isQueued = m_loop.post([this, request, after, sharedDone] {
            const auto ledger = m_ledgerReadCalls.find(RegionId(request.region()));
            if (ledger == m_ledgerReadCalls.end()) {
                (*sharedDone)(makeError({ absl::StatusCode::kNotFound, turmericpier::Outcome::NotRun, "NOT_FOUND",
                                            "export", m_settings.instance.str() },
                    "region \"" + request.region() + "\" has no ledger"));
                return;
            }
            const auto now = m_clock.now();
            ledger->second->call(
                [request, after] {
                    peer::wire::LedgerReadT body;
                    body.group = ledger::groupOf(RegionId(request.region())).str();
                    body.from_index = after;
                    body.partner = request.partner();
                    peer::wire::EnvelopeT envelope;
                    envelope.body.Set(std::move(body));
                    return envelope;
                },
                now, now + operatorTimeout,
                [this, sharedDone](
                    const absl::StatusOr<peer::wire::EnvelopeT>& reply) { (*sharedDone)(parsePage(reply)); });
        });
        if (!isQueued)
            (*sharedDone)(makeOverloadedError());
    }

    absl::StatusOr<LedgerPage> parsePage(const absl::StatusOr<peer::wire::EnvelopeT>& reply) const
    {
        if (!reply.ok())
            return reply.status();
        const auto* body = reply->body.AsLedgerReadReply();
        log::LedgerResults results;
        if (!body || !results.ParseFromArray(body->results.data(), static_cast<int>(body->results.size())))
            return makeError({ absl::StatusCode::kInternal, turmericpier::Outcome::Unknown, "MALFORMED_REPLY", "export",
                                 m_settings.instance.str() },
                "reply of the ledger cannot be parsed");
        LedgerPage page;
        page.next = body->next_index;
        for (auto& result : *results.mutable_results())
            page.records.push_back(std::move(*result.mutable_outcome()));
        return page;
    }

    void receive(peer::Envelope& envelope)
    {
        if (const auto* reply = envelope.body.AsEntryHeartbeatReply(); reply && envelope.correlation == 0) {
            sendCommands(*reply);
            return;
        }
        if (envelope.correlation < firstLedgerCorrelation) {
            m_calls.receive(std::move(envelope));
            return;
        }
        if (const auto* reply = envelope.body.AsLedgerReply())
            m_ledger.handleReply(envelope.correlation, *reply, m_clock.now());
        else if (const auto* refusal = envelope.body.AsRefusal())
            m_ledger.handleRefusal(envelope.correlation, *refusal, m_clock.now());
    }

    void tick()
    {
        m_loop.postAfter(tickInterval, [this] { tick(); });
        const auto now = m_clock.now();
        m_calls.tick(now);
        m_controlCalls.tick(now);
        m_ledger.tick(now);
        for (auto& [region, reads] : m_ledgerReadCalls)
            reads->tick(now);
        m_driver.tick();
        sendHeartbeatIfDue(now);
        resolveClaimsIfDue(now);
        m_isIdle = m_driver.isIdle();
    }

    void resolveClaimsIfDue(TimePoint now)
    {
        if (now - m_lastClaimScan < claimScanInterval)
            return;
        m_lastClaimScan = now;
        for (const auto& claim : m_abandonedClaims(m_settings.entry.maxDeadline + claimGracePeriod))
            m_resolver.resolve(claim, now);
    }

    /// Sends a heartbeat when the interval has passed. The heartbeat carries the demand, so the interval is shorter
    /// while requests wait for a slot.
    void sendHeartbeatIfDue(TimePoint now)
    {
        const auto demand = m_driver.router().demand();
        const bool hasWaiting
            = std::any_of(demand.begin(), demand.end(), [](const auto& service) { return service.waiting > 0; });
        const Duration interval = hasWaiting ? urgentHeartbeatInterval : Duration(m_settings.entry.heartbeat);
        if (!m_heartbeatInFlight && now - m_heartbeatSentAt >= interval)
            sendHeartbeat(now);
    }

    void sendHeartbeat(TimePoint sentAt)
    {
        m_heartbeatInFlight = true;
        m_heartbeatSentAt = sentAt;
        const auto to = m_controlCalls.leader();
        peer::wire::EnvelopeT envelope;
        envelope.body.Set(makeHeartbeat());
        m_calls.call(to, std::move(envelope), sentAt + heartbeatTimeout,
            [this, to, sentAt](const absl::StatusOr<peer::wire::EnvelopeT>& reply) {
                m_heartbeatInFlight = false;
                if (!reply.ok()) {
                    m_metrics.counter("heartbeats_failed_total").increment();
                    m_controlCalls.suspectLeader(to);
                    return;
                }
                handleHeartbeatReply(*reply->body.AsEntryHeartbeatReply(), sentAt);
            });
    }

    peer::wire::EntryHeartbeatT makeHeartbeat()
    {
        peer::wire::EntryHeartbeatT heartbeat;
        heartbeat.entry = m_settings.instance.str();
        heartbeat.incarnation = m_incarnation.value;
        heartbeat.data_centre = m_settings.dataCentre.str();
        heartbeat.region = m_settings.region.str();
        heartbeat.draining = m_isDraining;
        heartbeat.config_version = m_configVersion;
        heartbeat.state_version = m_stateVersion;
        heartbeat.grants_version = m_grantsVersion;
        for (const auto& demand : m_driver.router().demand()) {
            auto item = std::make_unique<peer::wire::ServiceDemandT>();
            item->service = demand.service.str();
            item->waiting = demand.waiting;
            item->running = demand.running;
            item->arrivals_per_s = demand.arrivalsPerSecond;
            heartbeat.demand.push_back(std::move(item));
        }
        for (const auto& use : m_driver.router().grantUse()) {
            auto item = std::make_unique<peer::wire::HeldGrantT>();
            item->worker = use.worker.str();
            item->epoch = use.epoch.value;
            item->in_use = use.inUse;
            heartbeat.held.push_back(std::move(item));
        }
        for (const auto& report : m_streams.takeReports()) {
            auto blob = std::make_unique<peer::wire::WorkerBlobT>();
            blob->worker = report.worker();
            blob->data = toBytes(report);
            heartbeat.reports.push_back(std::move(blob));
        }
        for (const auto& worker : m_streams.attachedWorkers())
            heartbeat.streams.push_back(worker.str());
        return heartbeat;
    }

    void handleHeartbeatReply(const peer::wire::EntryHeartbeatReplyT& reply, TimePoint sentAt)
    {
        if (reply.term < m_controlTerm)
            return; // The reply comes from a deposed leader.
        m_controlTerm = reply.term;
        if (!reply.state.empty() && reply.state_version >= m_stateVersion) {
            log::ControlSnapshot state;
            if (state.ParseFromArray(reply.state.data(), static_cast<int>(reply.state.size())))
                applyState(state, reply.state_version);
        }
        if (reply.grants_version < m_grantsVersion)
            return;
        if (reply.grants_version != m_grantsVersion) {
            log::GrantChanges grants;
            grants.ParseFromArray(reply.grants.data(), static_cast<int>(reply.grants.size()));
            m_driver.setGrants(grants, sentAt);
            m_grantsVersion = reply.grants_version;
        } else if (reply.renewed) {
            m_driver.renewGrants(sentAt);
        }
        sendCommands(reply);
        m_isReady = m_stateVersion > 0;
    }

    void applyState(const log::ControlSnapshot& state, uint64_t version)
    {
        m_driver.setState(state);
        m_stateVersion = version;
        if (state.config_version() > m_configVersion) {
            m_configVersion = state.config_version();
            logState("entry", "configuration in force", { { "version", std::to_string(m_configVersion) } });
        }
    }

    void sendCommands(const peer::wire::EntryHeartbeatReplyT& reply)
    {
        for (const auto& blob : reply.commands) {
            WorkerCommand command;
            if (!command.ParseFromArray(blob->data.data(), static_cast<int>(blob->data.size()))
                || !m_streams.send(WorkerId(blob->worker), std::move(command)))
                m_metrics.counter("worker_commands_dropped_total").increment();
        }
    }

    void recordOutcome(const LedgerRecord& record, const std::function<void()>& done)
    {
        log::LedgerItem item;
        *item.mutable_outcome() = record;
        const RegionId region(record.home_region());
        if (!m_ledgerReadCalls.count(region)) {
            logError("entry", "cannot record outcome: region has no ledger", { { "region", record.home_region() } });
            return;
        }
        const auto now = m_clock.now();
        m_ledger.submit(
            ledger::groupOf(region), std::move(item), now + recordTimeout,
            [this, record, done](const absl::StatusOr<log::LedgerResult>& result) {
                if (result.ok())
                    done();
                else
                    m_loop.post([this, record, done] { recordOutcome(record, done); });
            },
            now);
    }

    absl::Status start()
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(m_settings.rpcAddress, grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(
            GRPC_ARG_ALLOW_REUSEPORT, 0); // A second process must fail to listen on the same address.
        constexpr size_t mebibyte = size_t { 1 } << 20U;
        grpc::ResourceQuota quota("entry");
        quota.Resize(m_settings.entry.maxMemoryMib * mebibyte);
        builder.SetResourceQuota(quota);
        builder.AddChannelArgument(
            GRPC_ARG_MAX_CONCURRENT_STREAMS, static_cast<int>(m_settings.entry.maxStreamsPerConnection));
        builder.RegisterService(&m_callerService);
        builder.RegisterService(&m_operatorService);
        builder.RegisterService(&m_streams);
        m_server = builder.BuildAndStart();
        if (!m_server || port == 0)
            return makeError({ absl::StatusCode::kUnavailable, turmericpier::Outcome::NotRun, "ADDRESS_IN_USE",
                                 "listen", m_settings.rpcAddress },
                "cannot listen on " + m_settings.rpcAddress);
        m_loop.postAfter(tickInterval, [this] { tick(); });
        m_loop.start();
        return absl::OkStatus();
    }

    void drain(Duration limit)
    {
        logState("entry", "draining");
        m_isIdle = false;
        m_loop.post([this] {
            m_isDraining = true;
            m_driver.beginDrain();
        });
        const auto deadline = std::chrono::steady_clock::now() + limit;
        // Waits for two idle polls in a row, because the first may miss a request that is just being accepted.
        for (int consecutiveIdlePolls = 0; consecutiveIdlePolls < 2 && std::chrono::steady_clock::now() < deadline;) {
            std::this_thread::sleep_for(drainPollInterval);
            consecutiveIdlePolls = m_isIdle ? consecutiveIdlePolls + 1 : 0;
        }
        logState("entry", "drained", { { "idle", m_isIdle ? "true" : "false" } });
    }

    void stop()
    {
        m_streams.closeAll();
        // Server shutdown waits for all calls, including those that wait for a ledger without a majority.
        m_loop.post([this] { m_driver.abandon(); });
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
        m_loop.stop();
        m_server.reset();
    }

    std::string dump()
    {
        std::promise<std::string> result;
        auto future = result.get_future();
        const bool isQueued = m_loop.post([this, &result] {
            boost::json::object object { { "instance", m_settings.instance.str() },
                { "control_leader", m_controlCalls.leader().str() }, { "state_version", m_stateVersion },
                { "grants_version", m_grantsVersion }, { "config_version", m_configVersion },
                { "draining", m_isDraining.load() }, { "calls_waiting", m_calls.inFlight() },
                { "workers_attached", m_streams.attachedWorkers().size() } };
            boost::json::error_code error;
            object["router"] = boost::json::parse(m_driver.router().dump(), error);
            result.set_value(boost::json::serialize(object));
        });
        return isQueued ? future.get() : "{}";
    }

    const settings::Settings& m_settings;
    const Incarnation m_incarnation;
    const Clock& m_clock;
    Metrics& m_metrics;
    EventLoop m_loop;
    SendFunction m_send;
    PeerCalls m_calls;
    LeaderCalls m_controlCalls;
    std::map<RegionId, std::unique_ptr<LeaderCalls>> m_ledgerReadCalls;
    ledger::Client m_ledger;
    AbandonedClaims m_abandonedClaims;
    WorkerStreams m_streams;
    RequestDriver m_driver;
    ClaimResolver m_resolver;
    TimePoint m_lastClaimScan;
    CallerService m_callerService;
    OperatorService m_operatorService;
    std::unique_ptr<grpc::Server> m_server;
    bool m_heartbeatInFlight = false;
    TimePoint m_heartbeatSentAt;
    uint64_t m_controlTerm = 0;
    uint64_t m_stateVersion = 0;
    uint64_t m_grantsVersion = 0;
    uint64_t m_configVersion = 0;
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_isIdle { false };
    std::atomic<bool> m_isReady { false };
};

Entry::Entry(const settings::Settings& settings, Incarnation incarnation, SendFunction send,
    AbandonedClaims abandonedClaims, const Clock& clock, Metrics& metrics)
    : m_impl(std::make_unique<Impl>(settings, incarnation, std::move(send), std::move(abandonedClaims), clock, metrics))
{
}

Entry::~Entry() = default;

absl::Status Entry::start() { return m_impl->start(); }

void Entry::drain(Duration limit) { m_impl->drain(limit); }

void Entry::stop() { m_impl->stop(); }

void Entry::receive(peer::Envelope envelope)
{
    auto sharedEnvelope = std::make_shared<peer::Envelope>(std::move(envelope));
    if (!m_impl->m_loop.post([this, sharedEnvelope] { m_impl->receive(*sharedEnvelope); }))
        m_impl->m_metrics.counter("entry_dropped_total").increment();
}

void Entry::recordOutcome(LedgerRecord record, std::function<void()> done)
{
    m_impl->m_loop.post(
        [this, record = std::move(record), done = std::move(done)] { m_impl->recordOutcome(record, done); });
}

bool Entry::isReady() const { return m_impl->m_isReady; }

std::string Entry::dump() const { return m_impl->dump(); }

} // namespace turmericpier::rpc
