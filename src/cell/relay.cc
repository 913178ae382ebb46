#include "turmericpier/cell/relay.h"

#include "cell/reply.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>

namespace turmericpier::cell {

namespace asio = boost::asio;
using record::Verdict;
using std::chrono::milliseconds;

namespace {
    // Between two attempts of one call while no leader is known.
    constexpr milliseconds retryDelay { 40 };
    constexpr milliseconds locateTimeout { 600 };
    constexpr milliseconds searchPause { 50 };
    // A leader that has not answered for this long is looked for again.
    constexpr milliseconds leaderSilent { 1'600 };
    // Without a leader a call is refused after two fifths of its caller's time, so that the rest is left for another
    // try.
    constexpr int refusalFraction = 5;
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

bool Relay::isConnected() const { return !m_leader.empty() && m_clock.now() - m_leaderHeard < leaderSilent; }

void Relay::addSeeds(const std::set<std::string>& addresses) { m_addresses.insert(addresses.begin(), addresses.end()); }

void Relay::setLeader(const std::string& leader)
{
    if (leader.empty() || leader == m_leader)
        return;
    m_leader = leader;
    m_leaderHeard = m_clock.now();
    m_addresses.insert(addressOf(leader));
    logState("cell", "leader found", { { "leader", leader } });
}

void Relay::locate()
{
    if (m_stopped)
        return;
    if (!m_leader.empty() && m_clock.now() - m_leaderHeard >= leaderSilent) {
        logState("cell", "leader lost", { { "leader", m_leader } });
        m_leader.clear();
    }
    m_locatedAt = m_clock.now();
    record::CallT call;
    if (m_makeLocate)
        call = m_makeLocate();
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
    locateAfter(m_leader.empty() ? m_options.locateEvery : m_options.confirmEvery);
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
        setLeader(reply->leader);
        m_leaderHeard = m_clock.now();
    } else if (m_leader.empty()) {
        setLeader(reply->leader);
    }
}

void Relay::handle(std::unique_ptr<record::CallT> call, milliseconds deadline, Answer answer)
{
    auto waiting = std::make_shared<Waiting>();
    waiting->call = std::move(call);
    waiting->answer = std::move(answer);
    waiting->since = m_clock.now();
    waiting->giveUpAt = m_clock.now() + std::min(deadline, m_options.patience);
    waiting->refuseAt = m_clock.now() + std::min<Duration>(deadline * 2 / refusalFraction, m_options.patience);
    attempt(waiting);
}

void Relay::attempt(const std::shared_ptr<Waiting>& waiting)
{
    const auto now = m_clock.now();
    if (now >= waiting->giveUpAt || (m_leader.empty() && now >= waiting->refuseAt))
        return giveUp(waiting);
    if (m_leader.empty())
        return retry(waiting);
    ++waiting->attempts;
    const auto done = [this, waiting, leader = m_leader](
                          std::optional<record::ReplyT> answer) { onAnswer(waiting, leader, std::move(answer)); };
    if (m_leader == m_links.self()) {
        if (m_local)
            m_local(std::make_unique<record::CallT>(*waiting->call), done);
        else
            retry(waiting);
        return;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(waiting->giveUpAt - now);
    m_links.call(m_leader, *waiting->call, std::min(m_options.attempt, left + milliseconds(1)), done);
}

void Relay::searchAgain()
{
    m_leader.clear();
    // Many calls may fail together; one search serves them all.
    locateAfter(std::max<Duration>(Duration::zero(), searchPause - (m_clock.now() - m_locatedAt)));
}

/// Told at once when it is decided, so that the caller can come back while it still has time.
void Relay::giveUp(const std::shared_ptr<Waiting>& waiting)
{
    (waiting->inDoubt ? m_unknown : m_refused).increment();
    auto reply = waiting->inDoubt ? replyWith(Verdict::Unknown, "no leader has answered in time")
                                  : replyWith(Verdict::NotRun, "no leader is known");
    const auto waited = std::chrono::duration_cast<milliseconds>(m_clock.now() - waiting->since).count();
    logDecision("cell", "relay", waiting->call->path, waiting->inDoubt ? "in doubt" : "refused",
        { { "inputs",
            absl::StrCat(reply.message, ", waited_ms=", waited, " attempts=", waiting->attempts,
                " call=", record::EnumNameCallKind(waiting->call->kind)) } });
    finish(waiting, std::move(reply));
}

void Relay::onAnswer(
    const std::shared_ptr<Waiting>& waiting, const std::string& leader, std::optional<record::ReplyT> answer)
{
    if (!answer) {
        waiting->inDoubt = true;
        if (m_leader == leader)
            searchAgain();
        return retry(waiting);
    }
    if (answer->verdict == Verdict::NotLeader) {
        // A leader may be without its lease for a moment; a former one tells who leads now.
        if (!answer->leader.empty() && answer->leader != leader)
            setLeader(answer->leader);
        else if (m_leader == leader && leader != m_links.self())
            searchAgain();
        return retry(waiting);
    }
    if (m_leader == leader)
        m_leaderHeard = m_clock.now();
    finish(waiting, *std::move(answer));
}

void Relay::retry(const std::shared_ptr<Waiting>& waiting)
{
    m_retries.increment();
    auto timer = std::make_shared<asio::steady_timer>(m_io, retryDelay);
    timer->async_wait([this, waiting, timer, alive = std::weak_ptr(m_alive)](const boost::system::error_code&) {
        if (alive.lock())
            attempt(waiting);
    });
}

void Relay::finish(const std::shared_ptr<Waiting>& waiting, record::ReplyT reply)
{
    auto answer = std::exchange(waiting->answer, nullptr);
    if (answer)
        answer(std::move(reply));
}

} // namespace turmericpier::cell
