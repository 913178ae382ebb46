#include "turmericpier/cell/relay.h"

#include "cell/reply.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::cell {

namespace asio = boost::asio;
using record::Verdict;
using std::chrono::milliseconds;

namespace {
    // Delay between two attempts of a call while no leader is known.
    constexpr milliseconds retryDelay { 40 };
    constexpr milliseconds locateTimeout { 600 };
    constexpr milliseconds minSearchInterval { 50 };
    constexpr milliseconds minLogInterval { 1'000 }; // Between two lines about the same leader.
    // A leader that has not answered for this long is searched for again.
    constexpr milliseconds leaderTimeout { 1'600 };
    // Without a leader a call is refused after two fifths of its caller's time, which leaves the rest for another
    // attempt.
    constexpr int refusalDivisor = 5;
} // namespace

Relay::Relay(asio::io_context& io, RelayOptions options, Links& links, const Clock& clock, Metrics& metrics)
    : m_io(io)
    , m_options(std::move(options))
    , m_links(links)
    , m_clock(clock)
    , m_retries(metrics.counter("cell_relay_retries_total"))
    , m_refused(metrics.counter("cell_relay_refused_total"))
    , m_unknown(metrics.counter("cell_relay_unknown_total"))
    , m_timer(io)
    , m_addresses(m_options.seeds)
{
}

void Relay::start() { locate(); }

bool Relay::isConnected() const { return !m_leader.empty() && m_clock.now() - m_leaderLastContact < leaderTimeout; }

void Relay::addSeeds(const std::set<std::string>& addresses) { m_addresses.insert(addresses.begin(), addresses.end()); }

void Relay::setLeader(const std::string& leader, uint64_t term)
{
    // A deposed leader whose disk hangs does not know of its successor, and says that it leads.
    if (leader.empty() || isOutdated(term))
        return;
    m_latestTerm = std::max(m_latestTerm, term);
    m_formerLeaders.erase(leader);
    if (leader == m_leader)
        return;
    m_leader = leader;
    m_leaderLastContact = m_clock.now();
    m_addresses.insert(addressOf(leader));
    logLeaderFound();
}

/// A leader without its lease may be found and refuse calls many times a second.
void Relay::logLeaderFound()
{
    const auto now = m_clock.now();
    if (m_leader == m_loggedLeader && now - m_loggedAt < minLogInterval)
        return;
    m_loggedLeader = m_leader;
    m_loggedAt = now;
    logState("cell", "leader found", { { "leader", m_leader } });
}

bool Relay::isCredible(const std::string& leader, uint64_t term) const
{
    return !leader.empty() && !isOutdated(term) && !m_formerLeaders.contains(leader);
}

void Relay::locate()
{
    if (m_stopped)
        return;
    if (!m_leader.empty() && m_clock.now() - m_leaderLastContact >= leaderTimeout) {
        logState("cell", "leader lost", { { "leader", m_leader } });
        m_formerLeaders.insert(std::exchange(m_leader, {}));
    }
    m_lastSearchAt = m_clock.now();
    record::CallT call;
    if (m_makeLocateCall)
        call = m_makeLocateCall();
    call.kind = record::CallKind::Locate;
    const auto ask = [&](const std::string& to) {
        m_links.call(to, call, locateTimeout, [this](const std::optional<record::ReplyT>& reply) { onLocated(reply); });
    };
    if (!m_leader.empty()) {
        ask(addressOf(m_leader));
    } else {
        for (const auto& address : m_addresses) {
            if (address != addressOf(m_links.self()))
                ask(address);
        }
    }
    locateAfter(m_leader.empty() ? m_options.locateInterval : m_options.confirmInterval);
}

void Relay::locateAfter(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            locate();
    });
}

void Relay::onLocated(const std::optional<record::ReplyT>& reply)
{
    if (!reply || m_stopped)
        return;
    for (const auto& member : reply->members)
        m_addresses.insert(addressOf(member));
    if (!reply->leader.empty() && reply->leader == reply->replica) {
        setLeader(reply->leader, reply->term);
        if (m_leader == reply->leader)
            m_leaderLastContact = m_clock.now();
    } else if (m_leader.empty() && isCredible(reply->leader, reply->term)) {
        setLeader(reply->leader, reply->term);
    }
}

void Relay::handle(std::unique_ptr<record::CallT> call, milliseconds deadline, Answer answer)
{
    auto pending = std::make_shared<PendingCall>();
    pending->call = std::move(call);
    pending->answer = std::move(answer);
    pending->receivedAt = m_clock.now();
    pending->giveUpAt = m_clock.now() + std::min(deadline, m_options.maxWait);
    pending->refuseAt = m_clock.now() + std::min<Duration>(deadline * 2 / refusalDivisor, m_options.maxWait);
    attempt(pending);
}

void Relay::attempt(const std::shared_ptr<PendingCall>& pending)
{
    const auto now = m_clock.now();
    const auto giveUpAt = limited(pending->giveUpAt);
    if (now >= giveUpAt || (m_leader.empty() && now >= pending->refuseAt))
        return giveUp(pending);
    if (m_leader.empty())
        return retry(pending);
    ++pending->attempts;
    const auto done = [this, pending, leader = m_leader](
                          std::optional<record::ReplyT> answer) { onAnswer(pending, leader, std::move(answer)); };
    if (m_leader == m_links.self()) {
        if (m_localHandler)
            m_localHandler(std::make_unique<record::CallT>(*pending->call), done);
        else
            retry(pending);
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(giveUpAt - now);
    m_links.call(m_leader, *pending->call, std::min(m_options.attemptTimeout, left + milliseconds(1)), done);
}

void Relay::restartSearch()
{
    if (!m_leader.empty())
        m_formerLeaders.insert(std::exchange(m_leader, {}));
    // Many calls may fail together, and one search serves them all.
    locateAfter(std::max<Duration>(Duration::zero(), minSearchInterval - (m_clock.now() - m_lastSearchAt)));
}

/// Answers as soon as the outcome is certain, so that the caller still has time to try again.
void Relay::giveUp(const std::shared_ptr<PendingCall>& pending)
{
    (pending->inDoubt ? m_unknown : m_refused).increment();
    auto reply = pending->inDoubt ? makeReply(Verdict::Unknown, "no leader has answered in time")
                                  : makeReply(Verdict::NotRun, "no leader is known");
    const auto waited = std::chrono::duration_cast<milliseconds>(m_clock.now() - pending->receivedAt).count();
    logDecision("cell", "relay", pending->call->path, pending->inDoubt ? "in doubt" : "refused",
        { { "inputs",
            absl::StrCat(reply.message, ", waited_ms=", waited, " attempts=", pending->attempts,
                " call=", record::EnumNameCallKind(pending->call->kind), " leader=", m_leader) } });
    finish(pending, std::move(reply));
}

void Relay::onAnswer(
    const std::shared_ptr<PendingCall>& pending, const std::string& leader, std::optional<record::ReplyT> answer)
{
    if (!answer) {
        pending->inDoubt = true;
        if (m_leader == leader)
            restartSearch();
        return retry(pending);
    }
    if (answer->verdict == Verdict::NotLeader) {
        // A leader may lack its lease for a moment. A former leader names the current one.
        if (answer->leader != leader && isCredible(answer->leader, answer->term))
            setLeader(answer->leader, answer->term);
        else if (m_leader == leader && leader != m_links.self())
            restartSearch();
        return retry(pending);
    }
    if (m_leader == leader)
        m_leaderLastContact = m_clock.now();
    const auto kind = pending->call->kind;
    const bool mayChangeState = kind == record::CallKind::Submit || kind == record::CallKind::Cancel;
    // An earlier attempt may have taken effect before the key was removed, or before the tenant had sent too much.
    if (pending->inDoubt && mayChangeState
        && (answer->verdict == Verdict::Unauthorized || answer->verdict == Verdict::TooMany))
        answer = makeReply(Verdict::Unknown, "an earlier attempt got no answer, and a later one was refused");
    finish(pending, *std::move(answer));
}

void Relay::retry(const std::shared_ptr<PendingCall>& pending)
{
    m_retries.increment();
    auto timer = std::make_shared<asio::steady_timer>(m_io, retryDelay);
    timer->async_wait([this, pending, timer, alive = std::weak_ptr(m_alive)](const boost::system::error_code&) {
        if (alive.lock())
            attempt(pending);
    });
}

void Relay::finish(const std::shared_ptr<PendingCall>& pending, record::ReplyT reply)
{
    auto answer = std::exchange(pending->answer, nullptr);
    if (answer)
        answer(std::move(reply));
}

} // namespace turmericpier::cell
