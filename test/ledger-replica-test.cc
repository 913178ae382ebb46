#include "turmericpier/ledger/replica.h"

#include "full-disk.h"
#include "log.pb.h"
#include "peer_generated.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <mutex>

using namespace turmericpier;

namespace {
/// Queues the messages that the replica sends. next() waits without a timeout, so that the test also passes on a slow
/// machine.
class Outbox {
public:
    void push(peer::Envelope envelope)
    {
        std::lock_guard lock(m_mutex);
        m_sent.push_back(std::move(envelope));
        m_ready.notify_all();
    }
    peer::Envelope next()
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait(lock, [this] { return !m_sent.empty(); });
        auto envelope = std::move(m_sent.front());
        m_sent.pop_front();
        return envelope;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<peer::Envelope> m_sent;
};

/// A replica that is the only voter of its ledger.
class Ledger {
public:
    explicit Ledger(std::filesystem::path folder)
    {
        m_settings.instance = InstanceId("e1");
        m_settings.dataFolder = std::move(folder);
        m_settings.ledgerVoters[RegionId("east")] = { InstanceId("e1") };
        auto replica = ledger::Replica::open(
            m_settings, RegionId("east"),
            [this](const InstanceId&, peer::Envelope envelope) {
                m_outbox.push(std::move(envelope));
                return true;
            },
            m_clock, m_metrics);
        REQUIRE(replica.ok());
        m_replica = std::move(*replica);
        m_replica->start();
    }
    ~Ledger() { m_replica->stop(); }

    /// Submits the batch until the replica is the leader and accepts it.
    log::LedgerResults submit(const log::LedgerBatch& batch)
    {
        for (;;) {
            const auto reply = submitOnce(batch);
            if (const auto* results = reply.body.AsLedgerReply())
                return parse(results->results);
        }
    }
    peer::Envelope submitOnce(const log::LedgerBatch& batch)
    {
        peer::wire::LedgerSubmitT body;
        const auto bytes = batch.SerializeAsString();
        body.batch.assign(bytes.begin(), bytes.end());
        peer::Envelope envelope;
        envelope.body.Set(std::move(body));
        m_replica->submit(std::move(envelope));
        return m_outbox.next();
    }
    log::LedgerResults read(bool fillsReplica)
    {
        for (;;) {
            peer::wire::LedgerReadT body;
            body.fills_replica = fillsReplica;
            peer::Envelope envelope;
            envelope.body.Set(std::move(body));
            m_replica->read(std::move(envelope));
            const auto reply = m_outbox.next();
            if (const auto* page = reply.body.AsLedgerReadReply()) {
                CHECK(page->fills_replica == fillsReplica);
                return parse(page->results);
            }
        }
    }
    ledger::Replica& replica() { return *m_replica; }

private:
    static log::LedgerResults parse(const std::vector<uint8_t>& bytes)
    {
        log::LedgerResults results;
        REQUIRE(results.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
        return results;
    }

    settings::Settings m_settings;
    SteadyClock m_clock;
    Metrics m_metrics;
    Outbox m_outbox;
    std::unique_ptr<ledger::Replica> m_replica;
};

/// A temporary folder that is removed at the end of the test.
class Folder {
public:
    Folder()
        : path(std::filesystem::temp_directory_path() / ("ledger-replica-test-" + std::to_string(getpid())))
    {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    ~Folder() { std::filesystem::remove_all(path); }
    const std::filesystem::path path;
};

log::LedgerBatch outcome(const std::string& id, rpc::Outcome value)
{
    log::LedgerBatch batch;
    auto& record = *batch.add_items()->mutable_outcome();
    record.set_partner("duftwerk");
    record.set_home_region("east");
    record.set_request_id(id);
    record.set_service("till");
    record.set_outcome(value);
    return batch;
}
} // namespace

// Guards against an acknowledged outcome that is lost, or recorded twice, after a restart.
TEST_CASE("outcomes survive a restart and stay unique", "[ledger]")
{
    const Folder folder;
    {
        Ledger ledger(folder.path);
        CHECK(ledger.submit(outcome("r1", rpc::RAN)).results(0).code() == log::LedgerResult::ACCEPTED);
    }
    Ledger ledger(folder.path);
    CHECK(ledger.submit(outcome("r1", rpc::NOT_RUN)).results(0).code() == log::LedgerResult::ENDED_BEFORE);
    const auto page = ledger.read(false);
    REQUIRE(page.results_size() == 1);
    CHECK(page.results(0).outcome().outcome() == rpc::RAN);
    CHECK(ledger.read(true).results_size() == 1);
}

// Guards against claims of failed entries that are never reported as abandoned, or are reported too early.
TEST_CASE("claims without an outcome are abandoned once they are old enough", "[ledger]")
{
    const Folder folder;
    Ledger ledger(folder.path);
    log::LedgerBatch batch;
    auto& claim = *batch.add_items()->mutable_claim();
    claim.set_key("duftwerk/east/r1");
    claim.set_entry("e9");
    claim.set_worker("w1");
    claim.set_attempt(1);
    ledger.submit(batch);
    CHECK(ledger.replica().abandonedClaims(std::chrono::hours(1)).empty());
    const auto abandoned = ledger.replica().abandonedClaims(Duration::zero());
    REQUIRE(abandoned.size() == 1);
    CHECK(abandoned[0].worker() == "w1");
    ledger.submit(outcome("r1", rpc::RAN));
    CHECK(ledger.replica().abandonedClaims(Duration::zero()).empty());
}

// Guards against a ledger that records nothing more after its disk was full for a moment, or that loses an outcome.
TEST_CASE("a ledger records outcomes again after its disk was full", "[ledger]")
{
    const Folder folder;
    {
        Ledger ledger(folder.path);
        ledger.submit(outcome("r1", rpc::RAN));
        {
            const test::FullDisk full;
            CHECK(ledger.submitOnce(outcome("r2", rpc::RAN)).body.AsRefusal());
        }
        ledger.submit(outcome("r3", rpc::RAN));
    }
    Ledger ledger(folder.path);
    CHECK(ledger.submit(outcome("r1", rpc::NOT_RUN)).results(0).code() == log::LedgerResult::ENDED_BEFORE);
    CHECK(ledger.submit(outcome("r3", rpc::NOT_RUN)).results(0).code() == log::LedgerResult::ENDED_BEFORE);
}
