#include "turmericpier/cell/replica.h"

#include "cell/bytes.h"
#include "cell/reply.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <future>
#include <thread>

namespace turmericpier::cell {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {
    constexpr milliseconds tickInterval { 50 };
    // A follower has nothing that is urgent, and each wake-up costs processor time.
    constexpr milliseconds followerTickInterval { 250 };
    constexpr milliseconds formationInterval { 100 };
    constexpr milliseconds formationTimeout { 400 };
    // Interval at which a replica tries to store its identity or to open its log again.
    constexpr milliseconds storageRetryInterval { 500 };
    // Time for one voter to take over, which needs a vote and a sync to disk, with some margin.
    constexpr milliseconds handOverAttemptTimeout { 400 };
    // Longer than any call to the advisor for which the leader waits.
    constexpr milliseconds adviceTimeout { 4'000 };
    constexpr milliseconds voterCheckInterval { 300 };
    constexpr milliseconds heartbeatReportTimeout { 600 };
    // Voters answer heartbeats every 100 ms. Orders that a silent one may hold are sent again through another replica.
    constexpr milliseconds maxProxySilence { 500 };
} // namespace

Replica::Replica(asio::io_context& io, ReplicaOptions options, Identity identity, LeaderHooks workerHooks, Links& links,
    Relay& relay, const Clock& clock, Metrics& metrics)
    : m_io(io)
    , m_options(std::move(options))
    , m_identity(std::move(identity))
    , m_links(links)
    , m_relay(relay)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_orderProxy(forwardingHooks(workerHooks), clock, metrics)
    , m_dispatcher(forwardingHooks(workerHooks), clock, metrics)
    , m_leader(m_options.leader, leaderHooks(std::move(workerHooks)), m_state, clock, metrics)
    , m_heartbeatsAnswered(metrics.counter("cell_heartbeats_answered_total"))
    , m_timer(io)
    , m_membership(m_options.membership)
{
    m_links.setMessageHandler([this](InstanceId from, consensus::Message message) {
        if (auto* group = m_receiver.load())
            group->receive(std::move(from), std::move(message));
    });
    m_relay.setLocalHandler([this](std::unique_ptr<record::CallT> call, Links::Answer answer) {
        handleHere(std::move(call), std::move(answer));
    });
    m_relay.setLocateCall([this] { return locateCall(); });
}

Replica::~Replica() { stop(); }

void Replica::runAfter(Duration delay, std::function<void()> function)
{
    if (delay <= Duration::zero()) {
        asio::post(m_io, std::move(function));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code& error) {
        if (!error)
            function();
    });
}

ForwardingHooks Replica::forwardingHooks(const OrderHooks& direct)
{
    return { direct, [this](const std::string& replica, const record::CallT& call) { m_links.notify(replica, call); },
        [this](Duration delay, std::function<void()> function) { runAfter(delay, std::move(function)); } };
}

LeaderHooks Replica::leaderHooks(LeaderHooks workerHooks)
{
    static_cast<OrderHooks&>(workerHooks) = m_dispatcher.orderHooks();
    workerHooks.propose
        = [this](const record::CommandT& command, const LeaderHooks::ProposeCallback& done) { propose(command, done); };
    workerHooks.advise = [this](const std::string& proxy, const StepKey& step, const std::vector<std::string>& workers,
                             const std::function<void(AdviceAnswer)>& done) {
        record::CallT call;
        call.kind = record::CallKind::Advise;
        call.step = stepName(step);
        call.workers = workers;
        m_links.call(proxy, call, adviceTimeout, [done](const std::optional<record::ReplyT>& reply) {
            AdviceAnswer answer;
            answer.ok = reply && reply->verdict == record::Verdict::Ok;
            if (answer.ok) {
                for (const auto& ticket : reply->tickets)
                    answer.tickets[ticket->worker] = ticket->value;
            }
            done(std::move(answer));
        });
    };
    workerHooks.runAfter
        = [this](Duration delay, std::function<void()> function) { runAfter(delay, std::move(function)); };
    workerHooks.holdsLease = [this] { return m_group && m_group->holdsLease(); };
    return workerHooks;
}

absl::Status Replica::start()
{
    if (m_identity.stored && joinsGroup()) {
        if (auto status = openGroup(); !status.ok())
            return status;
    }
    tick();
    return absl::OkStatus();
}

/// True if the group exists, or is formed by others.
bool Replica::joinsGroup() const
{
    const bool isSeed = m_options.seeds.contains(addressOf(m_identity.replica));
    const bool hasLog = std::filesystem::exists(m_options.folder / "log");
    return !m_identity.initialVoters.empty() || hasLog || !m_identity.mayFormGroup || !isSeed;
}

void Replica::stop()
{
    if (std::exchange(m_stopped, true))
        return;
    m_timer.cancel();
    m_leader.deactivate();
    m_dispatcher.deactivate();
    // The group's thread may wait for a snapshot of the state, which is taken on this thread.
    if (m_group) {
        std::atomic<bool> done = false;
        std::thread stopper([&] {
            m_group->stop();
            done = true;
        });
        while (!done) {
            // An event loop that was stopped or ran out of work runs nothing until it is restarted.
            m_io.restart();
            m_io.poll();
            std::this_thread::sleep_for(milliseconds(1));
        }
        stopper.join();
    }
}

absl::Status Replica::openGroup()
{
    consensus::GroupOptions options;
    options.group = GroupId("cell");
    options.self = InstanceId(m_identity.replica);
    for (const auto& voter : m_identity.initialVoters)
        options.voters.emplace_back(voter);
    options.folder = m_options.folder / "log";
    options.electionTimeoutMin = m_options.electionTimeoutMin;
    options.electionTimeoutMax = m_options.electionTimeoutMax;
    options.servesByLease = true;
    options.snapshotEvery = m_options.snapshotEvery;
    options.snapshotBytes = m_options.snapshotBytes;
    options.seed = std::random_device {}();
    auto group = consensus::Group::open(std::move(options), groupHooks(), m_clock, m_metrics);
    if (!group.ok())
        return group.status();
    m_group = *std::move(group);
    m_group->start();
    m_receiver = m_group.get();
    return absl::OkStatus();
}

consensus::GroupHooks Replica::groupHooks()
{
    consensus::GroupHooks hooks;
    hooks.send = [this](const InstanceId& to, const consensus::Message& message) { m_links.send(to, message); };
    hooks.apply = [this](Index, std::string_view data) {
        asio::post(m_io, [this, data = std::string(data)] {
            record::CommandT command;
            if (!unpack<record::Command>(data, command)) {
                logError("cell", "cannot decode the log entry", { { "bytes", std::to_string(data.size()) } });
                return;
            }
            m_state.apply(command);
            m_leader.applied(command);
        });
        return std::string();
    };
    hooks.snapshot = [this] {
        // Runs after all entries that were passed to apply before, so the snapshot includes the last of them.
        std::promise<std::string> result;
        asio::post(m_io, [this, &result] { result.set_value(m_state.snapshot()); });
        return result.get_future().get();
    };
    hooks.restore = [this](std::string_view data) {
        asio::post(m_io, [this, data = std::string(data)] {
            if (auto status = m_state.restore(data); !status.ok())
                logError("cell", "cannot restore the snapshot", { { "message", std::string(status.message()) } });
        });
        return absl::OkStatus();
    };
    hooks.roleChanged
        = [this](const consensus::RoleChange& change) { asio::post(m_io, [this, change] { onRoleChange(change); }); };
    return hooks;
}

void Replica::onRoleChange(const consensus::RoleChange& change)
{
    const bool sameLeadership = m_role.isLeader && change.isLeader && m_role.term == change.term;
    m_role = change;
    m_relay.setLeader(change.leader.str(), change.term.value);
    if (sameLeadership)
        return;
    const auto number = ++m_roleChanges;
    m_leader.deactivate();
    m_dispatcher.deactivate();
    if (!change.isLeader || m_stopped)
        return;
    // Everything that earlier leaders have committed must be applied before this one acts.
    m_group->read([this, number, term = change.term](const absl::Status& status) {
        asio::post(m_io, [this, number, term, ok = status.ok()] {
            if (number != m_roleChanges || !ok || m_stopped)
                return;
            m_dispatcher.activate(term.value);
            m_leader.activate(term.value);
        });
    });
}

void Replica::propose(const record::CommandT& command, const LeaderHooks::ProposeCallback& done)
{
    if (m_stopped || !m_group) {
        asio::post(m_io, [done] {
            done(makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "STOPPING", "propose", "" },
                "this replica is stopping"));
        });
        return;
    }
    m_group->propose(pack<record::Command>(command), [this, done](const absl::StatusOr<consensus::Applied>& result) {
        asio::post(m_io, [done, status = result.status()] { done(status); });
    });
}

void Replica::handle(std::unique_ptr<record::CallT> call, milliseconds deadline, Links::Answer answer)
{
    if (call->kind == record::CallKind::Beat) {
        // Later heartbeats come here and not to the leader, so that the load of heartbeats is spread.
        answer = [this, answer = std::move(answer)](record::ReplyT reply) {
            reply.beat_address = m_options.heartbeatAddress;
            answer(std::move(reply));
        };
        if (!m_role.isLeader && m_heartbeats.collect(m_state, *call->worker, m_clock.now())) {
            m_heartbeatsAnswered.increment();
            return answer(makeReply(record::Verdict::Ok));
        }
    }
    m_relay.handle(std::move(call), deadline, std::move(answer));
}

/// Tells the leader which workers have sent heartbeats here since the last report.
void Replica::reportHeartbeats()
{
    if (m_reportInFlight || m_role.isLeader || m_role.leader.empty())
        return;
    const auto sentAt = m_clock.now();
    auto serials = m_heartbeats.take(sentAt);
    if (serials.empty())
        return;
    record::CallT call;
    call.kind = record::CallKind::Seen;
    call.seen = std::move(serials);
    m_reportInFlight = true;
    m_links.call(
        m_role.leader.str(), call, heartbeatReportTimeout, [this, sentAt](const std::optional<record::ReplyT>& reply) {
            m_reportInFlight = false;
            m_heartbeats.onReported(sentAt, reply && reply->verdict == record::Verdict::Ok);
        });
}

void Replica::nameLeader(record::ReplyT& reply) const
{
    reply.leader = m_role.leader.str();
    reply.term = m_role.term.value;
}

void Replica::handleHere(std::unique_ptr<record::CallT> call, Links::Answer answer)
{
    m_leader.handle(std::move(call), [this, answer = std::move(answer)](record::ReplyT reply) {
        if (reply.verdict == record::Verdict::NotLeader && !m_role.isLeader)
            nameLeader(reply);
        answer(std::move(reply));
    });
}

record::CallT Replica::locateCall() const
{
    record::CallT call;
    if (m_group) // Others can add only a replica that takes part.
        call.replica = m_identity.replica;
    call.zone = m_options.zone;
    call.clock_ms = m_orderProxy.clockMs();
    return call;
}

void Replica::onPeerCall(const std::string& from, std::unique_ptr<record::CallT> call, Links::Answer answer)
{
    if (call->kind == record::CallKind::Orders)
        return m_orderProxy.handle(from, *call, m_role.term.value);
    if (call->kind == record::CallKind::OrderAnswers)
        return m_dispatcher.onAnswers(from, *call);
    if (call->kind != record::CallKind::Locate)
        return handleHere(std::move(call), std::move(answer));
    record::ReplyT reply;
    reply.replica = m_identity.replica;
    reply.unformed = !m_group && m_identity.stored;
    nameLeader(reply);
    if (m_group) {
        for (const auto& voter : m_group->voters())
            reply.members.push_back(voter.id.str());
    }
    if (call->unformed) {
        recordSeed(call->replica, true, {});
        reply.members = m_identity.initialVoters;
    } else if (m_leader.isActive()) {
        m_leader.recordAdvisorProxy(from);
        if (call->clock_ms.has_value() && reachableVoters().contains(from))
            m_dispatcher.recordProxy(from, call->zone, call->clock_ms.value());
        // Only replicas send their identity; entries merely offer to call the advisor.
        if (!call->replica.empty() && !isVoter(call->replica))
            m_membership.recordRequest(call->replica, m_clock.now());
    }
    answer(std::move(reply));
}

void Replica::tick()
{
    if (m_stopped)
        return;
    if (!m_group && m_clock.now() >= m_nextPreparation)
        prepareGroup();
    m_leader.tick();
    if (m_leader.isActive()) {
        removeSilentProxies();
        m_dispatcher.tick(m_state.workers().size());
        m_leader.recordAdvisorProxy(m_links.self());
        maintainVoters();
    }
    reportHeartbeats();
    m_timer.expires_after(m_group && !m_leader.isActive() ? followerTickInterval : tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

/// Stores the identity if the disk refused it before, and then joins or forms the group.
void Replica::prepareGroup()
{
    m_nextPreparation = m_clock.now() + storageRetryInterval;
    if (!m_identity.stored) {
        if (!saveIdentity(m_options.folder, m_identity).ok()) // openIdentity() has logged the error
            return;
        m_identity.stored = true;
        logState("cell", "identity stored", { { "replica", m_identity.replica } });
    }
    if (!joinsGroup())
        return tryFormGroup();
    if (const auto status = openGroup(); !status.ok())
        logError("cell", "cannot open the group", { { "message", std::string(status.message()) } });
}

/// Exchanges identities with the other seeds. The group is formed of all seeds, and only at the first start of the
/// system; replicas that start later join through the leader.
void Replica::tryFormGroup()
{
    m_nextPreparation = m_clock.now() + formationInterval;
    recordSeed(m_identity.replica, true, {});
    record::CallT call;
    call.kind = record::CallKind::Locate;
    call.replica = m_identity.replica;
    call.unformed = true;
    for (const auto& seed : m_options.seeds) {
        if (m_group || seed == addressOf(m_identity.replica))
            continue;
        m_links.call(seed, call, formationTimeout, [this](const std::optional<record::ReplyT>& reply) {
            if (reply)
                recordSeed(reply->replica, reply->unformed, reply->members);
        });
    }
}

void Replica::recordSeed(const std::string& replica, bool unformed, const std::vector<std::string>& initialVoters)
{
    if (m_group || m_stopped || !m_options.seeds.contains(addressOf(replica)))
        return;
    if (std::ranges::find(initialVoters, m_identity.replica) != initialVoters.end())
        return formGroup(initialVoters);
    if (!unformed)
        return;
    m_seedReplicas[addressOf(replica)] = replica;
    if (m_seedReplicas.size() < m_options.seeds.size())
        return;
    std::vector<std::string> voters;
    for (const auto& [address, id] : m_seedReplicas)
        voters.push_back(id);
    formGroup(std::move(voters));
}

void Replica::formGroup(std::vector<std::string> voters)
{
    m_identity.initialVoters = std::move(voters);
    auto status = saveIdentity(m_options.folder, m_identity);
    if (status.ok())
        status = openGroup();
    if (status.ok()) {
        logState("cell", "group formed", { { "voters", std::to_string(m_identity.initialVoters.size()) } });
        return;
    }
    m_identity.initialVoters.clear();
    logError("cell", "cannot form the group", { { "message", std::string(status.message()) } });
}

bool Replica::isVoter(const std::string& replica) const
{
    return std::ranges::any_of(m_group->voters(), [&](const auto& voter) { return voter.id.str() == replica; });
}

/// Returns the voters that have answered this leader recently.
std::set<std::string> Replica::reachableVoters() const
{
    std::set<std::string> reachable;
    for (const auto& voter : m_group->voters()) {
        if (voter.silentFor <= maxProxySilence)
            reachable.insert(voter.id.str());
    }
    return reachable;
}

void Replica::removeSilentProxies()
{
    const auto reachable = reachableVoters();
    for (const auto& proxy : m_dispatcher.proxies()) {
        if (!reachable.contains(proxy))
            m_dispatcher.removeProxy(proxy);
    }
}

/// Makes one change of the voters at a time.
void Replica::maintainVoters()
{
    const auto now = m_clock.now();
    if (now < m_nextVoterCheck)
        return;
    m_nextVoterCheck = now + voterCheckInterval;
    if (m_changingVoters) {
        if (m_membership.isRemovalDue(m_group->voters(), now))
            m_group->cancelAddition();
        return;
    }
    if (const auto change = m_membership.nextChange(m_group->voters(), now))
        changeVoters(*change);
}

void Replica::changeVoters(const VoterChange& change)
{
    m_changingVoters = true;
    const auto voters = m_group->voters().size();
    logDecision("cell", "membership", change.replica, change.add ? "adding" : "removing",
        { { "inputs", absl::StrCat(change.reason, ", voters=", voters, " reachable=", reachableVoters().size()) } });
    const auto done = [this, replica = change.replica](const absl::StatusOr<consensus::Applied>& result) {
        asio::post(m_io, [this, replica, status = result.status()] {
            m_changingVoters = false;
            if (!status.ok())
                logDecision("cell", "membership", replica, "refused", { { "inputs", std::string(status.message()) } });
        });
    };
    if (change.add)
        m_group->addVoter(InstanceId(change.replica), done);
    else
        m_group->removeVoter(InstanceId(change.replica), done);
}

void Replica::handOver(std::function<void()> done)
{
    if (!m_group || !m_role.isLeader)
        return done();
    // Each voter is tried in turn, because a voter that is down never takes over.
    auto others = std::make_shared<std::deque<InstanceId>>();
    auto voters = m_group->voters();
    std::ranges::sort(voters, [](const auto& a, const auto& b) { return a.silentFor < b.silentFor; });
    for (const auto& voter : voters) {
        if (voter.id.str() != m_identity.replica)
            others->push_back(voter.id);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    auto next = std::make_shared<std::function<void()>>();
    *next = [this, others, timer, done = std::move(done), weak = std::weak_ptr(next)] {
        if (!m_role.isLeader || others->empty())
            return done();
        m_group->transferLeadership(others->front());
        others->pop_front();
        timer->expires_after(handOverAttemptTimeout);
        // Only the timer keeps the function alive, so it is freed after the last attempt.
        timer->async_wait([keep = weak.lock()](const boost::system::error_code&) { (*keep)(); });
    };
    (*next)();
}

std::string Replica::dump() const
{
    boost::json::error_code error;
    return boost::json::serialize(boost::json::object { { "replica", m_identity.replica },
        { "group", m_group ? boost::json::parse(m_group->dump(), error) : boost::json::value() },
        { "leader", boost::json::parse(m_leader.dump(), error) } });
}

} // namespace turmericpier::cell
