#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/links.h"

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

/// Finds the leader of the cell and relays calls to it, on behalf of an entry or of a replica that does not lead.
namespace turmericpier::cell {

struct RelayOptions {
    std::set<std::string> seeds; ///< Addresses of processes that may know the leader.
    /// Timeout of one attempt to call the leader; a commit takes tens of milliseconds.
    std::chrono::milliseconds attemptTimeout { 700 };
    std::chrono::milliseconds locateInterval { 250 }; ///< Interval of the search while no leader is known.
    /// Interval at which a known leader is asked whether it still leads.
    std::chrono::milliseconds confirmInterval { 1'000 };
    /// Longest time after which a call without an answer is given up. It is longer than an election, and less than half
    /// of the 3 s for which callers wait, so that they can try again.
    std::chrono::milliseconds maxWait { 1'200 };
};

/// All methods must be called on the event loop's thread.
class Relay {
public:
    using Answer = Links::Answer;

    Relay(boost::asio::io_context& io, RelayOptions options, Links& links, const Clock& clock, Metrics& metrics);

    void start();
    void stop() { m_stopped = true; }

    /// Answers with the leader's reply; with NotRun if certainly no leader took the call, and with Unknown if that is
    /// in doubt when the call is given up. An unanswered or refused call is sent again, possibly to another leader,
    /// because all calls are idempotent.
    void handle(std::unique_ptr<record::CallT> call, std::chrono::milliseconds deadline, Answer answer);

    /// Answers all calls until `time`, for example because the process ends then.
    void answerBy(TimePoint time) { m_answerBy = time; }

    const std::string& leader() const { return m_leader; }
    /// Returns true if a leader has answered recently.
    bool isConnected() const;
    /// Sets a leader that this process knows of at first hand. `term` is the one in which it leads, 0 if unknown.
    void setLeader(const std::string& leader, uint64_t term = 0);
    void addSeeds(const std::set<std::string>& addresses);
    /// Handles a call in this process while it is the leader.
    using LocalHandler = std::function<void(std::unique_ptr<record::CallT>, Answer)>;
    void setLocalHandler(LocalHandler local) { m_localHandler = std::move(local); }
    /// Sets the function that makes the call with which this process describes itself when it looks for the leader.
    void setLocateCall(std::function<record::CallT()> make) { m_makeLocateCall = std::move(make); }

private:
    struct PendingCall {
        std::shared_ptr<record::CallT> call;
        Answer answer;
        TimePoint receivedAt;
        TimePoint giveUpAt;
        TimePoint refuseAt; ///< Deadline while no leader is known; not later than giveUpAt.
        uint32_t attempts = 0;
        bool inDoubt = false; ///< An attempt was sent and got no answer.
    };

    void locate();
    void locateAfter(Duration delay);
    void onLocated(const std::optional<record::ReplyT>& reply);
    TimePoint limited(TimePoint time) const { return m_answerBy ? std::min(time, *m_answerBy) : time; }
    void attempt(const std::shared_ptr<PendingCall>& pending);
    void onAnswer(
        const std::shared_ptr<PendingCall>& pending, const std::string& leader, std::optional<record::ReplyT> answer);
    void restartSearch();
    bool isCredible(const std::string& leader, uint64_t term) const;
    bool isOutdated(uint64_t term) const { return term != 0 && term < m_latestTerm; }
    void logLeaderFound();
    void giveUp(const std::shared_ptr<PendingCall>& pending);
    void retry(const std::shared_ptr<PendingCall>& pending);
    void finish(const std::shared_ptr<PendingCall>& pending, record::ReplyT reply);

    boost::asio::io_context& m_io;
    const RelayOptions m_options;
    Links& m_links;
    const Clock& m_clock;
    Counter& m_retries;
    Counter& m_refused;
    Counter& m_unknown;
    boost::asio::steady_timer m_timer;
    std::set<std::string> m_addresses; ///< Addresses of processes that may know the leader.
    std::string m_leader; ///< Identity of the leader; empty if unknown.
    uint64_t m_latestTerm = 0; ///< Latest term of which a leader is known.
    TimePoint m_leaderLastContact;
    /// Leaders that have denied or failed to answer a call. What other processes say of them may be outdated, so that
    /// they are called again only once they say themselves that they lead.
    std::set<std::string> m_formerLeaders;
    std::string m_loggedLeader; ///< Leader of the last log line about one that was found.
    TimePoint m_loggedAt;
    TimePoint m_lastSearchAt; ///< Start time of the last search.
    std::function<record::CallT()> m_makeLocateCall;
    LocalHandler m_localHandler;
    std::optional<TimePoint> m_answerBy;
    bool m_stopped = false;
    /// Expires with the relay, so that the retry timers of calls do not use it afterwards.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace turmericpier::cell
