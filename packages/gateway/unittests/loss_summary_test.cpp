/// \file
/// Decision logs read back: endings by cause, with or without what a collector put before each line.
#include "fuchsialoom/gateway/loss_summary.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static request_ending endingOfLine(const std::string &fields)
{
    const std::optional<log_record> record = log_record::parse("time=1 mono=2 vm=a event=done request=r route=chat " + fields);
    return endingOf(record.value()).value();
}

TEST(loss_summary, readsLinesWithAPrefix)
{
    const std::optional<log_record> record = log_record::parse("  12.5 vm-1 time=1700 mono=5 vm=vm-1 event=sent request=r1 waited-ms=30");
    ASSERT_TRUE(record);
    EXPECT_EQ(record->value("vm"), "vm-1");
    EXPECT_EQ(record->number("waited-ms"), 30);
    EXPECT_EQ(record->wallTime(), milliseconds(1700));
    EXPECT_EQ(record->value("nothing"), "");
    EXPECT_FALSE(endingOf(*record));
    EXPECT_FALSE(log_record::parse("a line of something else"));
    EXPECT_FALSE(log_record::parse("time=5 but nothing more"));
}

TEST(loss_summary, distinguishesEndings)
{
    const std::string objective = " objective-ms=400 gap-objective-ms=300";
    EXPECT_EQ(endingOfLine("result=answered first-ms=80 gap-ms=90 waited-ms=3" + objective), request_ending::OnTime);
    EXPECT_EQ(endingOfLine("result=answered first-ms=480 gap-ms=90 waited-ms=300" + objective), request_ending::FirstLateWaiting);
    EXPECT_EQ(endingOfLine("result=answered first-ms=480 gap-ms=90 waited-ms=3" + objective), request_ending::FirstLateAtTarget);
    EXPECT_EQ(endingOfLine("result=answered first-ms=80 gap-ms=390 waited-ms=3" + objective), request_ending::PausedLong);
    EXPECT_EQ(endingOfLine("result=answered took-ms=480 waited-ms=3 objective-ms=300"), request_ending::FirstLateAtTarget);
    EXPECT_EQ(endingOfLine("result=refused reason=queue-full"), request_ending::Refused);
    EXPECT_EQ(endingOfLine("result=abandoned reason=caller-left"), request_ending::Abandoned);
    EXPECT_EQ(endingOfLine("result=failed reason=broken"), request_ending::Failed);
}

TEST(loss_summary, countsByRouteAndCause)
{
    loss_summary summary;
    for (const char *line : {"time=1 event=done route=chat result=refused reason=queue-full",
                             "time=2 event=done route=chat result=refused reason=queue-full",
                             "time=3 event=done route=chat result=answered reason=stream first-ms=1",
                             "time=4 event=sent route=chat"}) {
        summary.add(log_record::parse(line).value());
    }
    EXPECT_EQ(summary.toText(),
              "route=chat ending=refused reason=queue-full requests=2 of=3\n"
              "route=chat ending=on-time reason=stream requests=1 of=3\n");
}

} // namespace fuchsialoom
