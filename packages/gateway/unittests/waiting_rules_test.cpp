/// \file
/// What callers get when more comes than the targets take, played through the queue in virtual time.
#include "fuchsialoom/gateway/waiting_rules.h"

#include "fuchsialoom/core/admission_queue.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static constexpr instant start = instant(std::chrono::seconds(1000));

static route chatRoute()
{
    route made;
    made.kind = request_kind::Stream;
    made.objective = milliseconds(400);
    made.gapObjective = milliseconds(300);
    made.timeout = milliseconds(12000);
    made.rank = 1;
    return made;
}

TEST(waiting_rules, aStreamIsRefusedBeforeItsCallerLeaves)
{
    const request_deadlines bounds = computeDeadlines(chatRoute(), start, milliseconds(12000));
    EXPECT_EQ(bounds.patience, start + milliseconds(12000));
    // Eight pauses of 300 ms are the longest that its caller waits for an event.
    EXPECT_LT(bounds.queueDeadline, start + milliseconds(2400));
    EXPECT_GT(bounds.queueDeadline, start + milliseconds(2000));
    EXPECT_LT(bounds.objectiveDeadline, start + milliseconds(400));
}

TEST(waiting_rules, theOperatorsTimeoutHoldsWhereItIsShorter)
{
    route plain;
    plain.kind = request_kind::Idempotent;
    plain.timeout = milliseconds(2000);
    plain.objective = milliseconds(300);
    const request_deadlines bounds = computeDeadlines(plain, start, milliseconds(4000));
    EXPECT_EQ(bounds.answerDeadline, start + milliseconds(2000));
    EXPECT_EQ(bounds.queueDeadline, start + milliseconds(2000));
    plain.timeout = milliseconds(0);
    EXPECT_EQ(computeDeadlines(plain, start, milliseconds(4000)).answerDeadline, start + milliseconds(4000));
}

TEST(waiting_rules, whatIsOnTimeGoesBeforeWhatIsLate)
{
    EXPECT_LT(queuePriority(0, false), queuePriority(1, false));
    EXPECT_LT(queuePriority(2, false), queuePriority(0, true));
    EXPECT_LT(queuePriority(0, true), queuePriority(1, true));
}

namespace
{

struct served_counts
{
    int onTime = 0;
    int late = 0;
    int refused = 0;
};

/// Chat requests at \p load times what a target takes, for half a minute. \p demote: by the rules, else first
/// come, first served.
served_counts play(double load, bool demote)
{
    static constexpr int perSecond = 20;
    struct waiting
    {
        request_deadlines bounds;
        bool late = false;
    };
    admission_queue queue;
    std::map<request_id, waiting> requests;
    served_counts counts;
    double due = 0;
    double free = 0;
    int serial = 0;
    const auto entryOf = [](const request_id &id, const waiting &one) {
        queued_request entry;
        entry.id = id;
        entry.lane.serves = "chat";
        entry.priority = queuePriority(1, one.late);
        entry.deadline = one.bounds.queueDeadline;
        return entry;
    };
    for (instant now = start; now < start + seconds(30); now += milliseconds(5)) {
        due += load * perSecond * 0.005;
        free = std::min(1.0, free + perSecond * 0.005);
        for (; due >= 1; due -= 1) {
            const request_id id(std::to_string(serial++));
            requests[id] = {computeDeadlines(chatRoute(), now, milliseconds(12000))};
            queue.push(entryOf(id, requests[id]));
        }
        for (auto &[id, one] : requests) {
            if (demote && !one.late && now >= one.bounds.objectiveDeadline) {
                one.late = true;
                queue.remove(id);
                queue.push(entryOf(id, one));
            }
        }
        for (; free >= 1 && queue.next({}); free -= 1) {
            const request_id id = queue.next({})->id;
            (now < requests[id].bounds.objectiveDeadline ? counts.onTime : counts.late) += 1;
            queue.depart(now, id);
            requests.erase(id);
        }
        queue.settle(now);
        for (const request_id &id : queue.unreachable(now)) {
            queue.remove(id);
            requests.erase(id);
            counts.refused += 1;
        }
    }
    return counts;
}

} // namespace

TEST(waiting_rules, mostOfWhatIsServedUnderOverloadIsOnTime)
{
    const served_counts before = play(2.0, false);
    const served_counts after = play(2.0, true);
    // First come, first served, next to nothing is on time; by the rules it is most of what is served.
    EXPECT_LT(before.onTime, 60);
    EXPECT_GT(after.onTime, 400);
    EXPECT_GE(after.onTime + after.late, before.onTime + before.late - 20);
}

TEST(waiting_rules, withRoomForAllNobodyIsLate)
{
    const served_counts counts = play(0.9, true);
    EXPECT_EQ(counts.late + counts.refused, 0);
    EXPECT_GT(counts.onTime, 500);
}

} // namespace fuchsialoom
