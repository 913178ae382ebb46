#include "turmericpier/control/service.h"

#include "control/convert.h"
#include "control/leader.h"
#include "control/read.h"
#include "control/state.h"
#include "peer/bytes.h"
#include "peer/refusal.h"
#include "turmericpier/base/event-loop.h"
#include "turmericpier/base/log.h"
#include "turmericpier/consensus/hand-over.h"
#include "turmericpier/peer/convert.h"

#include <boost/json.hpp>

namespace turmericpier::control {

namespace {
    using peer::toBytes;

    constexpr Duration tickInterval = std::chrono::milliseconds(20);

    absl::Status statusFromRpc(const rpc::Failure& failure)
    {
        return makeError({ absl::StatusCode::kFailedPrecondition, fromRpc(failure.outcome()), failure.reason(),
                             failure.step(), failure.peer() },
            failure.message());
    }
} // namespace

struct Service::Impl {
    Impl(const settings::Settings& settings, ServiceHooks hooks, const Clock& clock, Metrics& metrics)
        : m_settings(settings)
        , m_hooks(std::move(hooks))
        , m_clock(clock)
        , m_metrics(metrics)
        , m_loop("control", clock)
    {
    }

    consensus::GroupOptions groupOptions() const
    {
        return { .group = GroupId("control"),
            .self = m_settings.instance,
            .voters = m_settings.controlVoters,
            .preferredLeaders = m_settings.preferredLeaders,
            .folder = m_settings.dataFolder / "control",
            .heartbeat = m_settings.consensus.heartbeat,
            .electionTimeoutMin = m_settings.consensus.electionTimeoutMin,
            .electionTimeoutMax = m_settings.consensus.electionTimeoutMax,
            .snapshotEvery = m_settings.consensus.snapshotEvery,
            .seed = std::hash<InstanceId> {}(m_settings.instance) };
    }

    consensus::GroupHooks groupHooks()
    {
        consensus::GroupHooks hooks;
        hooks.send = [this](const InstanceId& to, const consensus::Message& message) { sendConsensus(to, message); };
        hooks.apply = [this](Index index, std::string_view data) { return apply(index, data); };
        hooks.snapshot = [this] {
            std::lock_guard lock(m_mutex);
            return m_state.snapshot();
        };
        hooks.restore = [this](std::string_view data) {
            std::lock_guard lock(m_mutex);
            return m_state.restore(data);
        };
        hooks.roleChanged = [this](const consensus::RoleChange& change) { roleChanged(change); };
        return hooks;
    }

    void sendConsensus(const InstanceId& to, const consensus::Message& message)
    {
        peer::wire::EnvelopeT envelope;
        envelope.body.Set(peer::toWire(GroupId("control"), message));
        m_hooks.send(to, std::move(envelope));
    }

    /// Applies an entry of the log. Runs on the thread of the consensus group.
    std::string apply(Index index, std::string_view data)
    {
        std::string result;
        {
            std::lock_guard lock(m_mutex);
            result = m_state.apply(index, data);
            m_appliedIndex = index;
        }
        if (!m_isLeader)
            return result;
        const bool queued
            = m_loop.post([this, index, command = std::string(data), result] { onApplied(index, command, result); });
        if (!queued)
            m_missedApplied = true;
        return result;
    }

    /// Runs on the thread of the consensus group.
    void roleChanged(const consensus::RoleChange& change)
    {
        logState("control", change.isLeader ? "became leader" : "follows",
            { { "term", std::to_string(change.term.value) }, { "leader", change.leader.str() } });
        m_isLeader = change.isLeader;
        m_loop.post([this, change] {
            m_leaderHint = change.leader;
            dropLeader();
            if (change.isLeader)
                becomeLeader(change.term);
        });
    }

    void dropLeader()
    {
        std::lock_guard lock(m_mutex);
        m_leader.reset();
        ++m_generation;
    }

    /// Creates the leader once a read barrier shows that the state is up to date; retries if the barrier fails.
    void becomeLeader(Term term)
    {
        m_group->read([this, term, generation = m_generation](const absl::Status& status) {
            m_loop.post([this, term, generation, status] {
                if (generation != m_generation)
                    return;
                if (!status.ok()) {
                    m_loop.postAfter(tickInterval, [this, term, generation] {
                        if (generation == m_generation)
                            becomeLeader(term);
                    });
                    return;
                }
                std::lock_guard lock(m_mutex);
                createLeader(term);
            });
        });
    }

    /// Requires m_mutex to be held.
    void createLeader(Term term)
    {
        m_missedApplied = false;
        m_leaderStartIndex = m_appliedIndex;
        LeaderOptions options;
        options.term = term;
        options.workerTimeout = m_settings.leases.workerLostTimeout;
        options.taskLease = m_settings.leases.task;
        options.grants.inRegionLease = m_settings.leases.grantInRegion;
        options.grants.crossRegionLease = m_settings.leases.grantCrossRegion;
        options.grants.clockSkewBound = m_settings.leases.clockSkewBound;
        options.engine.taskLease = m_settings.leases.task;
        options.engine.clockSkewBound = m_settings.leases.clockSkewBound;
        LeaderHooks hooks;
        hooks.propose = [this](const log::ControlCommand& command, std::function<void(absl::Status)> failed) {
            propose(command, std::move(failed));
        };
        hooks.push
            = [this](const InstanceId& entry, const std::map<WorkerId, std::vector<rpc::WorkerCommand>>& commands) {
                  push(entry, commands);
              };
        hooks.recordJob = [this](const JobRecord& job) { recordJob(job); };
        m_term = term;
        m_leader = std::make_unique<Leader>(options, std::move(hooks), m_state, m_clock.now());
    }

    void propose(const log::ControlCommand& command, std::function<void(absl::Status)> failed)
    {
        m_group->propose(command.SerializeAsString(),
            [this, generation = m_generation, failed = std::move(failed)](
                const absl::StatusOr<consensus::Applied>& result) {
                if (result.ok())
                    return;
                m_loop.post([this, generation, failed, status = result.status()] {
                    if (generation == m_generation && m_leader)
                        failed(status);
                });
            });
    }

    void push(const InstanceId& entry, const std::map<WorkerId, std::vector<rpc::WorkerCommand>>& commands)
    {
        peer::wire::EntryHeartbeatReplyT reply;
        reply.term = m_term.value;
        for (const auto& [worker, list] : commands) {
            for (const auto& command : list) {
                auto blob = std::make_unique<peer::wire::WorkerBlobT>();
                blob->worker = worker.str();
                blob->data = toBytes(command);
                reply.commands.push_back(std::move(blob));
            }
        }
        peer::wire::EnvelopeT envelope;
        envelope.body.Set(std::move(reply));
        m_hooks.send(entry, std::move(envelope));
    }

    void recordJob(const JobRecord& job)
    {
        rpc::LedgerRecord record;
        record.set_partner(job.job.partner());
        record.set_home_region(m_settings.region.str());
        record.set_request_id("job:" + job.job.name());
        record.set_service(job.job.name());
        record.set_outcome(job.outcome);
        record.set_reason(job.reason);
        record.set_job(true);
        m_hooks.recordJob(std::move(record),
            [this, name = job.job.name()] { m_loop.post([this, name] { *m_recordedJobs.add_jobs() = name; }); });
    }

    void onApplied(Index index, const std::string& data, const std::string& result)
    {
        if (!m_leader || index <= m_leaderStartIndex)
            return;
        log::ControlCommand command;
        if (!command.ParseFromString(data))
            return;
        std::lock_guard lock(m_mutex);
        m_leader->onApplied(m_state, index, command, result, m_clock.now());
    }

    void tick()
    {
        m_loop.postAfter(tickInterval, [this] { tick(); });
        if (!m_leader)
            return;
        std::lock_guard lock(m_mutex);
        if (m_leader->needsRebuild() || m_missedApplied) {
            m_metrics.counter("control_rebuilds_total").increment();
            m_leader.reset();
            ++m_generation;
            m_loop.post([this, term = m_term] { becomeLeader(term); });
            return;
        }
        m_leader->tick(m_state, m_clock.now());
        if (m_recordedJobs.jobs_size() > 0) {
            log::ControlCommand command;
            command.mutable_recorded_jobs()->Swap(&m_recordedJobs);
            m_recordedJobs.Clear();
            // If the proposal fails, the next leader records the jobs again; the ledger ignores duplicates.
            propose(command, [](const absl::Status&) {});
        }
    }

    void sendRefusal(const peer::Envelope& request, const absl::Status& status)
    {
        m_hooks.send(InstanceId(request.from), peer::refusalOf(request, status, m_leaderHint));
    }

    absl::Status notLeaderError(std::string step) const
    {
        return makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "NOT_LEADER", std::move(step),
                             m_settings.instance.str() },
            "this instance does not lead the control log");
    }

    void forward(const std::shared_ptr<peer::Envelope>& envelope)
    {
        const auto* body = envelope->body.AsForward();
        if (!m_leader)
            return sendRefusal(*envelope, notLeaderError("forward"));
        if (body->read)
            return read(envelope);
        log::ControlCommand command;
        if (!command.mutable_operate()->ParseFromArray(body->request.data(), static_cast<int>(body->request.size())))
            return sendRefusal(*envelope,
                makeError({ absl::StatusCode::kInvalidArgument, Outcome::NotRun, "MALFORMED_COMMAND", "forward",
                              m_settings.instance.str() },
                    "operator command cannot be parsed"));
        m_metrics.counter("control_commands_total").increment();
        m_group->propose(command.SerializeAsString(), [this, envelope](absl::StatusOr<consensus::Applied> result) {
            m_loop.post([this, envelope, result = std::move(result)] { replyOperate(*envelope, result); });
        });
    }

    void replyOperate(const peer::Envelope& request, const absl::StatusOr<consensus::Applied>& result)
    {
        if (!result.ok())
            return sendRefusal(request, result.status());
        log::KeptReply kept;
        kept.ParseFromString(result->result);
        if (!kept.ok())
            return sendRefusal(request, statusFromRpc(kept.failure()));
        rpc::OperateReply reply;
        reply.set_version(kept.version());
        peer::wire::ForwardReplyT body;
        body.reply = toBytes(reply);
        m_hooks.send(InstanceId(request.from), peer::replyTo(request, std::move(body)));
    }

    void read(const std::shared_ptr<peer::Envelope>& envelope)
    {
        m_group->read([this, envelope](const absl::Status& status) {
            m_loop.post([this, envelope, status] {
                if (!status.ok() || !m_leader)
                    return sendRefusal(*envelope, status.ok() ? notLeaderError("read") : status);
                replyRead(*envelope);
            });
        });
    }

    void replyRead(const peer::Envelope& envelope)
    {
        const auto* body = envelope.body.AsForward();
        rpc::ReadRequest request;
        request.ParseFromArray(body->request.data(), static_cast<int>(body->request.size()));
        absl::StatusOr<std::string> json;
        {
            std::lock_guard lock(m_mutex);
            json = readJson(request, m_state, *m_leader, m_settings.instance);
        }
        if (!json.ok())
            return sendRefusal(envelope, json.status());
        rpc::ReadReply reply;
        reply.set_json(*json);
        peer::wire::ForwardReplyT forwardReply;
        forwardReply.reply = toBytes(reply);
        m_hooks.send(InstanceId(envelope.from), peer::replyTo(envelope, std::move(forwardReply)));
    }

    void heartbeat(const peer::Envelope& envelope)
    {
        if (!m_leader)
            return sendRefusal(envelope, notLeaderError("heartbeat"));
        peer::wire::EntryHeartbeatReplyT reply;
        {
            std::lock_guard lock(m_mutex);
            m_leader->handleHeartbeat(m_state, *envelope.body.AsEntryHeartbeat(), reply, m_clock.now());
        }
        m_hooks.send(InstanceId(envelope.from), peer::replyTo(envelope, std::move(reply)));
    }

    std::string dump() const
    {
        boost::json::object result;
        {
            std::lock_guard lock(m_mutex);
            result = { { "applied_index", m_appliedIndex.value }, { "jobs", m_state.jobs().size() },
                { "placements", m_state.placements().size() }, { "workers", m_state.workers().size() },
                { "config_version", m_state.configVersion() } };
            boost::json::array grants;
            for (const auto& [key, grant] : m_state.grants()) {
                grants.push_back(boost::json::object { { "worker", grant.worker() }, { "entry", grant.entry() },
                    { "epoch", grant.epoch() }, { "slots", grant.slots() }, { "held_slots", grant.held_slots() },
                    { "lease_ms", grant.lease_ms() } });
            }
            result["grants"] = std::move(grants);
            if (m_leader)
                result["leader"] = boost::json::parse(m_leader->dump());
        }
        boost::json::error_code error;
        result["log"] = boost::json::parse(m_group->dump(), error);
        return boost::json::serialize(result);
    }

    const settings::Settings m_settings;
    ServiceHooks m_hooks;
    const Clock& m_clock;
    Metrics& m_metrics;
    EventLoop m_loop;
    std::unique_ptr<consensus::Group> m_group;
    std::atomic<bool> m_isLeader { false };
    std::atomic<bool> m_missedApplied { false }; ///< An applied command could not be queued for the leader.

    mutable std::mutex m_mutex; ///< Guards the members from here to m_leader.
    ControlState m_state;
    Index m_appliedIndex;
    std::unique_ptr<Leader> m_leader; ///< Changed only on the thread of m_loop.

    // Used only on the thread of m_loop.
    InstanceId m_leaderHint;
    log::RecordedJobs m_recordedJobs; ///< Jobs that the ledger has recorded and that are not proposed yet.
    Term m_term;
    Index m_leaderStartIndex; ///< Log index of the state the leader was built from; commands up to it are skipped.
    uint64_t m_generation = 0; ///< Incremented for each leader dropped, so that its late callbacks are ignored.
};

Service::Service(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Service::~Service() = default;

absl::StatusOr<std::unique_ptr<Service>> Service::open(
    const settings::Settings& settings, ServiceHooks hooks, const Clock& clock, Metrics& metrics)
{
    auto impl = std::make_unique<Impl>(settings, std::move(hooks), clock, metrics);
    auto group = consensus::Group::open(impl->groupOptions(), impl->groupHooks(), clock, metrics);
    if (!group.ok())
        return group.status();
    impl->m_group = std::move(*group);
    return std::unique_ptr<Service>(new Service(std::move(impl)));
}

void Service::start()
{
    m_impl->m_loop.postAfter(tickInterval, [this] { m_impl->tick(); });
    m_impl->m_loop.start();
    m_impl->m_group->start();
}

void Service::stop()
{
    auto others = m_impl->m_settings.controlVoters;
    std::erase(others, m_impl->m_settings.instance);
    consensus::handOverLeadership(*m_impl->m_group, others, [this] { return m_impl->m_isLeader.load(); });
    m_impl->m_group->stop();
    m_impl->m_loop.stop();
}

void Service::receiveConsensus(const InstanceId& from, consensus::Message message)
{
    m_impl->m_group->receive(from, std::move(message));
}

void Service::forward(peer::Envelope envelope)
{
    auto shared = std::make_shared<peer::Envelope>(std::move(envelope));
    if (!m_impl->m_loop.post([this, shared] { m_impl->forward(shared); }))
        m_impl->m_metrics.counter("control_dropped_total").increment();
}

void Service::heartbeat(peer::Envelope envelope)
{
    auto shared = std::make_shared<peer::Envelope>(std::move(envelope));
    if (!m_impl->m_loop.post([this, shared] { m_impl->heartbeat(*shared); }))
        m_impl->m_metrics.counter("control_dropped_total").increment();
}

std::string Service::dump() const { return m_impl->dump(); }

} // namespace turmericpier::control
