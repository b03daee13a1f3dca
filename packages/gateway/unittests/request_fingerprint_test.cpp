/// \file
/// Fingerprints of requests.
#include "fuchsialoom/gateway/request_fingerprint.h"

#include <gtest/gtest.h>

using namespace fuchsialoom;

static received_request requestTo(const std::string &host, const std::string &target, const std::string &body)
{
    received_request request;
    request.method = "POST";
    request.target = target;
    request.headers.add("Host", host);
    request.body = body;
    return request;
}

TEST(request_fingerprint, isTheSameUnderAnotherIdAndDeadline)
{
    received_request again = requestTo("h", "/chat/1", "hi");
    again.headers.add("X-Request-Id", "other");
    again.headers.add("X-Deadline-Ms", "12");
    EXPECT_EQ(fingerprintOf(again, "t1"), fingerprintOf(requestTo("h", "/chat/1", "hi"), "t1"));
}

TEST(request_fingerprint, keepsEqualBodiesOfDifferentCallersApart)
{
    const received_request request = requestTo("h", "/chat/1", "hi");
    EXPECT_NE(fingerprintOf(request, "t1"), fingerprintOf(request, "t2"));
    EXPECT_NE(fingerprintOf(request, "t1"), fingerprintOf(request, ""));
}

TEST(request_fingerprint, coversHostPathAndBody)
{
    const content_hash one = fingerprintOf(requestTo("h", "/chat/1", "hi"), "");
    EXPECT_NE(fingerprintOf(requestTo("g", "/chat/1", "hi"), ""), one);
    EXPECT_NE(fingerprintOf(requestTo("h", "/chat/2", "hi"), ""), one);
    EXPECT_NE(fingerprintOf(requestTo("h", "/chat/1?a", "hi"), ""), one);
    EXPECT_NE(fingerprintOf(requestTo("h", "/chat/1", "ho"), ""), one);
    EXPECT_NE(fingerprintOf(requestTo("h", "/chat/", "1hi"), ""), one) << "the same bytes, parted elsewhere";
}

TEST(request_fingerprint, isShownAsSixteenDigits)
{
    EXPECT_EQ(textOf(content_hash(0xab)), "00000000000000ab");
}
