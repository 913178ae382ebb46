#include "turmericpier/ledger/client.h"

#include "log.pb.h"
#include "peer_generated.h"
#include "turmericpier/base/error.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace turmericpier::ledger {

namespace wire = peer::wire;
using log::LedgerItem;
using log::LedgerResult;

namespace {
    constexpr TimePoint never { Duration::max() };

    /// The caller's side of an item; `done` is empty once it was called.
    struct Waiter {
        Client::Callback done;
        TimePoint submitted;
        TimePoint expires;
    };

    struct Queued {
        LedgerItem item;
        size_t bytes = 0;
        Waiter waiter;
    };

    /// Items that are sent and resent together, unchanged.
    struct Batch {
        log::LedgerBatch items;
        std::vector<Waiter> waiters; ///< In the order of the items.
        size_t waiting = 0; ///< Waiters whose `done` was not called.
        std::vector<uint64_t> correlations; ///< Of all attempts; an answer to any of them counts.
        size_t unproved = 0; ///< Attempts that may have reached the log.
        uint32_t attempts = 0;
        uint32_t redirects = 0; ///< Refusals followed at once since the last wait.
        InstanceId target; ///< Of the last attempt.
        TimePoint retryAt;
        TimePoint nextExpiry = never;
    };

    struct GroupState {
        ClientGroup options;
        size_t leader = 0; ///< Position in the members: the leader, or the next one to try.
        std::deque<Queued> queue;
        TimePoint nextExpiry = never; ///< Of the queue.
        std::map<uint64_t, Batch> inFlight;
    };

    struct Attempt {
        GroupState* group = nullptr;
        uint64_t batch = 0;
    };

    absl::Status errorOf(
        absl::StatusCode code, Outcome outcome, std::string reason, std::string peer, const std::string& message)
    {
        return makeError({ code, outcome, std::move(reason), "ledger submit", std::move(peer) }, message);
    }

    absl::Status expiredError(const GroupId& group, bool mayBeInLog, const std::string& peer)
    {
        if (mayBeInLog)
            return errorOf(absl::StatusCode::kDeadlineExceeded, Outcome::Unknown, "LEDGER_TIMEOUT", peer,
                absl::StrCat("no answer of ledger group ", group.str(), " in time; the item may be in its log"));
        return errorOf(absl::StatusCode::kUnavailable, Outcome::NotRun, "LEDGER_UNAVAILABLE", peer,
            absl::StrCat("the item was not accepted by ledger group ", group.str(), " in time"));
    }
} // namespace

struct Client::Impl {
    Impl(ClientOptions given, ClientHooks givenHooks, Metrics& metrics)
        : options(std::move(given))
        , hooks(std::move(givenHooks))
        , random(options.seed)
        , nextCorrelation(options.firstCorrelation)
        , batchesSent(metrics.counter("ledger_client_batches_total"))
        , itemsSent(metrics.counter("ledger_client_items_total"))
        , resends(metrics.counter("ledger_client_resends_total"))
        , refusals(metrics.counter("ledger_client_refusals_total"))
        , expired(metrics.counter("ledger_client_expired_total"))
        , badReplies(metrics.counter("ledger_client_bad_replies_total"))
        , latency(metrics.latency("ledger_client_answer_seconds"))
    {
        for (const auto& group : options.groups)
            groups[group.group].options = group;
    }

    void complete(Waiter& waiter, absl::StatusOr<LedgerResult> result)
    {
        if (waiter.done)
            completed.emplace_back(std::exchange(waiter.done, nullptr), std::move(result));
    }

    /// Calls back last, when the state is consistent: a callback may submit again.
    void runCompleted()
    {
        while (!completed.empty()) {
            auto batch = std::exchange(completed, {});
            for (auto& [done, result] : batch)
                done(std::move(result));
        }
    }

    void submit(const GroupId& id, LedgerItem item, Waiter waiter)
    {
        const auto refuse = [&](absl::StatusCode code, std::string reason, const std::string& message) {
            complete(waiter, errorOf(code, Outcome::NotRun, std::move(reason), id.str(), message));
        };
        const auto found = groups.find(id);
        const size_t bytes = item.ByteSizeLong();
        if (found == groups.end() || found->second.options.members.empty())
            return refuse(absl::StatusCode::kNotFound, "UNKNOWN_LEDGER_GROUP",
                absl::StrCat("there is no ledger group ", id.str()));
        if (!item.has_claim() && !item.has_outcome())
            return refuse(absl::StatusCode::kInvalidArgument, "BAD_LEDGER_ITEM", "item has neither claim nor outcome");
        if (bytes > options.maxItemBytes)
            return refuse(absl::StatusCode::kInvalidArgument, "LEDGER_ITEM_TOO_LARGE",
                absl::StrCat("item of ", bytes, " bytes exceeds the limit of ", options.maxItemBytes));
        auto& group = found->second;
        if (group.queue.size() >= options.maxQueued)
            return refuse(absl::StatusCode::kResourceExhausted, "LEDGER_QUEUE_FULL",
                absl::StrCat("queue of ledger group ", id.str(), " is full: ", group.queue.size(), " items"));
        group.nextExpiry = std::min(group.nextExpiry, waiter.expires);
        group.queue.push_back({ std::move(item), bytes, std::move(waiter) });
    }

    void flush(GroupState& group, TimePoint now)
    {
        while (!group.queue.empty() && group.inFlight.size() < group.options.maxInFlight) {
            const uint64_t id = nextBatch++;
            auto& batch = group.inFlight[id];
            fill(batch, group.queue);
            send(group, id, batch, now);
        }
    }

    void fill(Batch& batch, std::deque<Queued>& queue) const
    {
        size_t bytes = 0;
        while (!queue.empty() && batch.waiters.size() < options.maxItems
            && (batch.waiters.empty() || bytes + queue.front().bytes <= options.maxBytes)) {
            auto& next = queue.front();
            bytes += next.bytes;
            *batch.items.add_items() = std::move(next.item);
            batch.nextExpiry = std::min(batch.nextExpiry, next.waiter.expires);
            batch.waiters.push_back(std::move(next.waiter));
            queue.pop_front();
        }
        batch.waiting = batch.waiters.size();
    }

    void send(GroupState& group, uint64_t id, Batch& batch, TimePoint now)
    {
        const uint64_t correlation = nextCorrelation++;
        batch.target = group.options.members[group.leader];
        wire::LedgerSubmitT submit;
        submit.group = group.options.group.str();
        submit.batch.resize(batch.items.ByteSizeLong());
        batch.items.SerializeWithCachedSizesToArray(submit.batch.data());
        (batch.attempts == 0 ? batchesSent : resends).increment();
        ++batch.attempts;
        batch.retryAt = now + options.replyTimeout * (1U << std::min(batch.attempts - 1, 2U));
        batch.correlations.push_back(correlation);
        ++batch.unproved;
        attempts[correlation] = { &group, id };
        if (hooks.send(batch.target, correlation, std::move(submit))) {
            itemsSent.increment(batch.waiters.size());
            return;
        }
        forget(batch, correlation);
        waitForOtherMember(group, batch, now);
    }

    /// The attempt has certainly not reached the log.
    void forget(Batch& batch, uint64_t correlation)
    {
        --batch.unproved;
        attempts.erase(correlation);
        std::erase(batch.correlations, correlation);
    }

    void tryNextMember(GroupState& group, const InstanceId& failed)
    {
        // Another batch may have moved on already.
        if (group.options.members[group.leader] == failed)
            group.leader = (group.leader + 1) % group.options.members.size();
    }

    void waitForOtherMember(GroupState& group, Batch& batch, TimePoint now)
    {
        tryNextMember(group, batch.target);
        batch.redirects = 0;
        const auto longest = std::min(options.backoffMax, options.backoffMin * (1U << std::min(batch.attempts, 8U)));
        std::uniform_int_distribution<Duration::rep> delay(longest.count() / 2, longest.count());
        batch.retryAt = now + Duration(delay(random));
    }

    void erase(GroupState& group, uint64_t id)
    {
        const auto found = group.inFlight.find(id);
        for (const auto correlation : found->second.correlations)
            attempts.erase(correlation);
        group.inFlight.erase(found);
    }

    bool handleReply(uint64_t correlation, const wire::LedgerReplyT& reply, TimePoint now)
    {
        const auto found = attempts.find(correlation);
        if (found == attempts.end())
            return false;
        auto& group = *found->second.group;
        const uint64_t id = found->second.batch;
        auto& batch = group.inFlight.at(id);
        log::LedgerResults results;
        const bool isValid = results.ParseFromArray(reply.results.data(), static_cast<int>(reply.results.size()))
            && static_cast<size_t>(results.results_size()) == batch.waiters.size()
            && std::ranges::none_of(results.results(),
                [](const LedgerResult& result) { return result.code() == LedgerResult::UNSPECIFIED; });
        if (!isValid) {
            badReplies.increment();
            waitForOtherMember(group, batch, now);
            return true;
        }
        for (size_t i = 0; i < batch.waiters.size(); ++i) {
            latency.record(now - batch.waiters[i].submitted);
            complete(batch.waiters[i], std::move(*results.mutable_results(static_cast<int>(i))));
        }
        erase(group, id);
        flush(group, now);
        return true;
    }

    bool handleRefusal(uint64_t correlation, const wire::RefusalT& refusal, TimePoint now)
    {
        const auto found = attempts.find(correlation);
        if (found == attempts.end())
            return false;
        refusals.increment();
        auto& group = *found->second.group;
        const uint64_t id = found->second.batch;
        auto& batch = group.inFlight.at(id);
        const bool isLatest = batch.correlations.back() == correlation;
        if (refusal.outcome == static_cast<int>(Outcome::NotRun))
            forget(batch, correlation);
        // A late refusal of an earlier attempt says nothing about the one in flight.
        if (!isLatest)
            return true;
        const auto& members = group.options.members;
        const auto hint = std::ranges::find(members, InstanceId(refusal.leader_hint));
        const bool isUseful = hint != members.end() && *hint != batch.target;
        // Members with different views may point at each other: after a round of redirects the batch waits.
        if (isUseful && batch.redirects < members.size()) {
            ++batch.redirects;
            group.leader = static_cast<size_t>(hint - members.begin());
            send(group, id, batch, now);
        } else {
            waitForOtherMember(group, batch, now);
        }
        return true;
    }

    void tick(TimePoint now)
    {
        for (auto& [id, group] : groups) {
            expireQueue(group, now);
            for (auto next = group.inFlight.begin(); next != group.inFlight.end();) {
                auto& [batchId, batch] = *next++;
                expireBatch(group, batch, now);
                if (batch.waiting == 0) {
                    erase(group, batchId);
                } else if (batch.retryAt <= now) {
                    tryNextMember(group, batch.target);
                    batch.redirects = 0;
                    send(group, batchId, batch, now);
                }
            }
            flush(group, now);
        }
    }

    void expireQueue(GroupState& group, TimePoint now)
    {
        if (now < group.nextExpiry)
            return;
        group.nextExpiry = never;
        std::erase_if(group.queue, [&](Queued& queued) {
            if (queued.waiter.expires > now) {
                group.nextExpiry = std::min(group.nextExpiry, queued.waiter.expires);
                return false;
            }
            expired.increment();
            complete(queued.waiter, expiredError(group.options.group, false, group.options.group.str()));
            return true;
        });
    }

    void expireBatch(GroupState& group, Batch& batch, TimePoint now)
    {
        if (now < batch.nextExpiry)
            return;
        batch.nextExpiry = never;
        for (auto& waiter : batch.waiters) {
            if (!waiter.done)
                continue;
            if (waiter.expires > now) {
                batch.nextExpiry = std::min(batch.nextExpiry, waiter.expires);
                continue;
            }
            expired.increment();
            --batch.waiting;
            complete(waiter, expiredError(group.options.group, batch.unproved > 0, batch.target.str()));
        }
        if (batch.unproved == 0)
            removeEnded(batch);
    }

    /// Takes items that were reported as not in the log out of the batch, whose next attempt would bring them there.
    /// Without an attempt under way no answer refers to the old list of items.
    static void removeEnded(Batch& batch)
    {
        size_t kept = 0;
        for (size_t i = 0; i < batch.waiters.size(); ++i) {
            if (!batch.waiters[i].done)
                continue;
            if (i != kept) {
                batch.waiters[kept] = std::move(batch.waiters[i]);
                batch.items.mutable_items()->SwapElements(static_cast<int>(kept), static_cast<int>(i));
            }
            ++kept;
        }
        batch.waiters.resize(kept);
        batch.items.mutable_items()->DeleteSubrange(
            static_cast<int>(kept), batch.items.items_size() - static_cast<int>(kept));
    }

    void abandon()
    {
        const auto stopped = [](Outcome outcome, const std::string& peer) {
            return errorOf(absl::StatusCode::kUnavailable, outcome, "STOPPING", peer, "the ledger client was stopped");
        };
        for (auto& [id, group] : groups) {
            for (auto& queued : group.queue)
                complete(queued.waiter, stopped(Outcome::NotRun, id.str()));
            for (auto& [batchId, batch] : group.inFlight) {
                const auto outcome = batch.unproved > 0 ? Outcome::Unknown : Outcome::NotRun;
                for (auto& waiter : batch.waiters)
                    complete(waiter, stopped(outcome, batch.target.str()));
            }
            group.queue.clear();
            group.inFlight.clear();
        }
        attempts.clear();
    }

    const ClientOptions options;
    const ClientHooks hooks;
    std::mt19937_64 random;
    std::map<GroupId, GroupState> groups; ///< Fixed after construction: attempts point into it.
    absl::flat_hash_map<uint64_t, Attempt> attempts; ///< By correlation.
    uint64_t nextCorrelation;
    uint64_t nextBatch = 1;
    std::vector<std::pair<Callback, absl::StatusOr<LedgerResult>>> completed;
    Counter& batchesSent;
    Counter& itemsSent;
    Counter& resends;
    Counter& refusals;
    Counter& expired;
    Counter& badReplies;
    Latency& latency;
};

Client::Client(ClientOptions options, ClientHooks hooks, Metrics& metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks), metrics))
{
}

Client::~Client() = default;

void Client::submit(const GroupId& group, LedgerItem item, TimePoint expires, Callback done, TimePoint now)
{
    m_impl->submit(group, std::move(item), { std::move(done), now, expires });
    m_impl->runCompleted();
}

void Client::flush(TimePoint now)
{
    for (auto& [id, group] : m_impl->groups)
        m_impl->flush(group, now);
}

bool Client::handleReply(uint64_t correlation, const wire::LedgerReplyT& reply, TimePoint now)
{
    const bool isKnown = m_impl->handleReply(correlation, reply, now);
    m_impl->runCompleted();
    return isKnown;
}

bool Client::handleRefusal(uint64_t correlation, const wire::RefusalT& refusal, TimePoint now)
{
    return m_impl->handleRefusal(correlation, refusal, now);
}

void Client::tick(TimePoint now)
{
    m_impl->tick(now);
    m_impl->runCompleted();
}

void Client::abandon()
{
    m_impl->abandon();
    m_impl->runCompleted();
}

bool Client::isIdle() const
{
    return std::ranges::all_of(
        m_impl->groups, [](const auto& group) { return group.second.queue.empty() && group.second.inFlight.empty(); });
}

std::string Client::dump() const
{
    boost::json::object groups;
    for (const auto& [id, group] : m_impl->groups)
        groups[id.str()] = {
            { "leader", group.options.members.empty() ? "" : group.options.members[group.leader].str() },
            { "queued", group.queue.size() },
            { "in_flight", group.inFlight.size() },
        };
    return boost::json::serialize(groups);
}

} // namespace turmericpier::ledger
