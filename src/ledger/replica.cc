#include "turmericpier/ledger/replica.h"

#include "log.pb.h"
#include "peer/refusal.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"
#include "turmericpier/consensus/hand-over.h"
#include "turmericpier/ledger/state.h"
#include "turmericpier/peer/convert.h"

#include <boost/json.hpp>
#include <map>
#include <mutex>

namespace turmericpier::ledger {

namespace {
    // At about 200 bytes per record, a page stays well below the frame limit of 4 MiB.
    constexpr size_t recordsPerPage = 2'000;
    // Claims get an outcome within milliseconds unless their entry failed, so there are rarely more; the remaining ones
    // are left to a later scan.
    constexpr size_t claimsPerScan = 1'000;

    std::vector<uint8_t> toBytes(const std::string& text) { return { text.begin(), text.end() }; }
} // namespace

GroupId groupOf(const RegionId& region) { return GroupId("ledger-" + region.str()); }

struct Replica::Impl {
    Impl(const settings::Settings& settings, const RegionId& region, Send send, const Clock& clock, Metrics& metrics)
        : m_self(settings.instance)
        , m_groupId(groupOf(region))
        , m_clock(clock)
        , m_send(std::move(send))
        , m_metrics(metrics)
        , m_voters(settings.ledgerVoters.at(region))
        , m_state(LedgerOptions { .folder = settings.dataFolder / (m_groupId.str() + "-records") })
    {
    }

    consensus::GroupOptions groupOptions(const settings::Settings& settings, const RegionId& region) const
    {
        return { .group = m_groupId,
            .self = m_self,
            .voters = settings.ledgerVoters.at(region),
            .preferredLeaders = {},
            .folder = settings.dataFolder / m_groupId.str(),
            .heartbeat = settings.consensus.heartbeat,
            .electionTimeoutMin = settings.consensus.electionTimeoutMin,
            .electionTimeoutMax = settings.consensus.electionTimeoutMax,
            .snapshotEvery = settings.consensus.snapshotEvery,
            .seed = std::hash<std::string> {}(m_self.str() + m_groupId.str()) };
    }

    consensus::GroupHooks groupHooks()
    {
        consensus::GroupHooks hooks;
        hooks.send = [this](const InstanceId& to, const consensus::Message& message) {
            peer::wire::EnvelopeT envelope;
            envelope.body.Set(peer::toWire(m_groupId, message));
            m_send(to, std::move(envelope));
        };
        hooks.apply = [this](Index index, std::string_view data) { return apply(index, data); };
        hooks.snapshot = [this] {
            std::lock_guard lock(m_mutex);
            return m_state.snapshot();
        };
        hooks.restore = [this](std::string_view data) {
            std::lock_guard lock(m_mutex);
            return m_state.restore(data);
        };
        hooks.roleChanged = [this](const consensus::RoleChange& change) {
            std::lock_guard lock(m_mutex);
            m_leaderHint = change.leader;
            m_isLeader = change.isLeader;
            logState("ledger", change.isLeader ? "became leader" : "follows",
                { { "group", m_groupId.str() }, { "term", std::to_string(change.term.value) },
                    { "leader", change.leader.str() } });
        };
        return hooks;
    }

    std::string apply(Index index, std::string_view data)
    {
        log::LedgerBatch batch;
        if (!batch.ParseFromArray(data.data(), static_cast<int>(data.size())))
            return {};
        m_metrics.counter("ledger_items_total").increment(static_cast<uint64_t>(batch.items_size()));
        std::lock_guard lock(m_mutex);
        return m_state.apply(index, batch).SerializeAsString();
    }

    void refuse(const peer::Envelope& request, const absl::Status& status)
    {
        InstanceId hint;
        {
            std::lock_guard lock(m_mutex);
            hint = m_leaderHint;
        }
        m_send(InstanceId(request.from), peer::refusalOf(request, status, hint));
    }

    void submit(const std::shared_ptr<peer::Envelope>& envelope)
    {
        const auto* body = envelope->body.AsLedgerSubmit();
        m_metrics.counter("ledger_batches_total").increment();
        std::string data(body->batch.begin(), body->batch.end());
        log::LedgerBatch batch;
        if (!batch.ParseFromString(data))
            return refuse(*envelope,
                makeError(
                    { absl::StatusCode::kInvalidArgument, Outcome::NotRun, "MALFORMED_BATCH", "ledger", m_self.str() },
                    "ledger batch cannot be parsed"));
        m_group->propose(std::move(data), [this, envelope](const absl::StatusOr<consensus::Applied>& result) {
            if (!result.ok())
                return refuse(*envelope, result.status());
            peer::wire::LedgerReplyT reply;
            reply.results = toBytes(result->result);
            m_send(InstanceId(envelope->from), peer::replyTo(*envelope, std::move(reply)));
        });
    }

    void read(const std::shared_ptr<peer::Envelope>& envelope)
    {
        if (envelope->body.AsLedgerRead()->fills_replica) {
            m_send(InstanceId(envelope->from), peer::replyTo(*envelope, readPage(*envelope->body.AsLedgerRead())));
            return;
        }
        m_group->read([this, envelope](const absl::Status& status) {
            if (!status.ok())
                return refuse(*envelope, status);
            if (isIncomplete())
                return refuse(*envelope,
                    makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "LEDGER_INCOMPLETE", "export",
                                  m_self.str() },
                        "this replica is still fetching older outcomes from another one"));
            m_send(InstanceId(envelope->from), peer::replyTo(*envelope, readPage(*envelope->body.AsLedgerRead())));
        });
    }

    peer::wire::LedgerReadReplyT readPage(const peer::wire::LedgerReadT& request) const
    {
        peer::wire::LedgerReadReplyT reply;
        log::LedgerResults results;
        std::lock_guard lock(m_mutex);
        if (!request.key.empty()) {
            *results.add_results() = m_state.find(request.key);
        } else {
            results = m_state.outcomesAfter(Index { request.from_index }, request.partner, recordsPerPage);
            if (results.results_size() > 0)
                reply.next_index = results.results(results.results_size() - 1).outcome().index();
        }
        reply.results = toBytes(results.SerializeAsString());
        reply.group = m_groupId.str();
        reply.fills_replica = request.fills_replica;
        return reply;
    }

    bool isLeader() const
    {
        std::lock_guard lock(m_mutex);
        return m_isLeader;
    }

    bool isIncomplete() const
    {
        std::lock_guard lock(m_mutex);
        return m_state.missingAfter().has_value();
    }

    void requestBackfill()
    {
        peer::wire::LedgerReadT request;
        InstanceId source;
        {
            std::lock_guard lock(m_mutex);
            const auto after = m_state.missingAfter();
            if (!after || m_voters.size() < 2)
                return;
            do {
                source = m_voters[m_nextSource++ % m_voters.size()];
            } while (source == m_self);
            request.from_index = after->value;
        }
        request.group = m_groupId.str();
        request.fills_replica = true;
        m_metrics.counter("ledger_fill_requests_total").increment();
        peer::wire::EnvelopeT envelope;
        envelope.body.Set(std::move(request));
        m_send(source, std::move(envelope));
    }

    void handleBackfillReply(const peer::Envelope& envelope)
    {
        const auto* reply = envelope.body.AsLedgerReadReply();
        log::LedgerResults results;
        if (!results.ParseFromArray(reply->results.data(), static_cast<int>(reply->results.size())))
            return;
        bool hasProgress = false;
        {
            std::lock_guard lock(m_mutex);
            const auto before = m_state.missingAfter();
            if (const auto status = m_state.backfill(results); !status.ok())
                logError("ledger", "failed to store missing outcomes",
                    { { "group", m_groupId.str() }, { "error", std::string(status.message()) } });
            hasProgress = m_state.missingAfter() != before;
        }
        // Requests the next page immediately. Without progress, the timer asks another replica.
        if (hasProgress)
            requestBackfill();
    }

    std::vector<log::Claim> abandonedClaims(Duration age)
    {
        std::lock_guard lock(m_mutex);
        std::vector<log::Claim> result;
        std::map<std::string, FirstSeen> seen;
        if (m_isLeader) {
            const auto now = m_clock.now();
            const auto claims = m_state.openClaims(claimsPerScan);
            for (const auto& open : claims.results()) {
                const auto before = m_claimsSeen.find(open.claim().key());
                const bool isSame = before != m_claimsSeen.end() && before->second.attempt == open.claim().attempt();
                const auto first = isSame ? before->second : FirstSeen { open.claim().attempt(), now };
                seen.emplace(open.claim().key(), first);
                if (now - first.at >= age)
                    result.push_back(open.claim());
            }
        }
        m_claimsSeen = std::move(seen);
        return result;
    }

    /// Attempt of an open claim, and the time of the first scan that found it.
    struct FirstSeen {
        uint32_t attempt = 0;
        TimePoint at;
    };

    const InstanceId m_self;
    const GroupId m_groupId;
    const Clock& m_clock;
    Send m_send;
    Metrics& m_metrics;
    std::unique_ptr<consensus::Group> m_group;
    mutable std::mutex m_mutex; ///< Guards the non-constant members below.
    const std::vector<InstanceId> m_voters;
    size_t m_nextSource = 0; ///< Index, modulo the number of voters, of the next one to ask for missing outcomes.
    LedgerState m_state;
    InstanceId m_leaderHint;
    bool m_isLeader = false;
    std::map<std::string, FirstSeen> m_claimsSeen; ///< Open claims by key, as of the last scan.
};

Replica::Replica(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Replica::~Replica() = default;

absl::StatusOr<std::unique_ptr<Replica>> Replica::open(
    const settings::Settings& settings, const RegionId& region, Send send, const Clock& clock, Metrics& metrics)
{
    auto impl = std::make_unique<Impl>(settings, region, std::move(send), clock, metrics);
    auto group = consensus::Group::open(impl->groupOptions(settings, region), impl->groupHooks(), clock, metrics);
    if (!group.ok())
        return group.status();
    impl->m_group = std::move(*group);
    return std::unique_ptr<Replica>(new Replica(std::move(impl)));
}

void Replica::start() { m_impl->m_group->start(); }

void Replica::stop()
{
    auto others = m_impl->m_voters;
    std::erase(others, m_impl->m_self);
    consensus::handOverLeadership(*m_impl->m_group, others, [this] { return m_impl->isLeader(); });
    m_impl->m_group->stop();
}

void Replica::receiveConsensus(const InstanceId& from, consensus::Message message)
{
    m_impl->m_group->receive(from, std::move(message));
}

void Replica::submit(peer::Envelope envelope) { m_impl->submit(std::make_shared<peer::Envelope>(std::move(envelope))); }

void Replica::read(peer::Envelope envelope) { m_impl->read(std::make_shared<peer::Envelope>(std::move(envelope))); }

void Replica::requestBackfill() { m_impl->requestBackfill(); }

void Replica::handleBackfillReply(const peer::Envelope& envelope) { m_impl->handleBackfillReply(envelope); }

std::vector<log::Claim> Replica::abandonedClaims(Duration age) { return m_impl->abandonedClaims(age); }

std::string Replica::dump() const
{
    boost::json::object result;
    boost::json::error_code error;
    {
        std::lock_guard lock(m_impl->m_mutex);
        result["state"] = boost::json::parse(m_impl->m_state.dump(), error);
    }
    result["log"] = boost::json::parse(m_impl->m_group->dump(), error);
    return boost::json::serialize(result);
}

} // namespace turmericpier::ledger
