#include "NoticeReader.h"
#include "ResponseHeadReader.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class notice_reader_test : public testing::Test {
protected:
  static upstream_notice read(int Status,
                              std::vector<http_headers::field> Fields) {
    return readNotice(
        http_response(Status, http_headers(std::move(Fields)), ""));
  }
  static upstream_notice readLimit(const std::string &Value) {
    return read(200, {{"Server-Limit", Value}});
  }
};

} // namespace

TEST_F(notice_reader_test, plainResponse_saysNothing) {
  EXPECT_EQ(upstream_notice(), read(200, {{"Retry-After", "3"}}));
}

TEST_F(notice_reader_test, limit_isRead) {
  EXPECT_EQ(2.5, readLimit("2.5").rateLimit());
  EXPECT_EQ(3, readLimit(" 3 ").rateLimit());
}

TEST_F(notice_reader_test, limitThatIsNoPositiveNumber_countsAsMissing) {
  for (const char *Value : {"", "x", "0", "-1", "nan", "inf", "1e999", "3 4",
                            "-0.0", "0x10", "\xff\xfe"}) {
    upstream_notice Notice = readLimit(Value);
    EXPECT_FALSE(Notice.rateLimit()) << Value;
    EXPECT_NE("", Notice.unreadable()) << Value;
  }
}

TEST_F(notice_reader_test, limitNamedRepeatedly_isTheLowest) {
  EXPECT_EQ(
      2, read(200, {{"Server-Limit", "3"}, {"server-limit", "2"}}).rateLimit());
  EXPECT_EQ(2, readLimit("5, 2, x").rateLimit());
}

TEST_F(notice_reader_test, leaving_isReadOnlyFromTheAgreedValue) {
  EXPECT_TRUE(read(500, {{"Server-Leaving", "1"}}).leaving());
  EXPECT_FALSE(read(200, {{"Server-Leaving", "0"}}).leaving());
  EXPECT_FALSE(read(200, {{"Server-Leaving", "true"}}).leaving());
}

TEST_F(notice_reader_test, pause_isReadOnlyFromRefusalsThatDidNotRun) {
  http_headers::field NotRun("Bluebellkeel-Not-Executed", "1");
  http_headers::field RetryAfter("Retry-After", "1.25");
  EXPECT_EQ(milliseconds(1250), read(503, {NotRun, RetryAfter}).pause());
  EXPECT_EQ(milliseconds(0), read(503, {RetryAfter}).pause());
  EXPECT_EQ(milliseconds(0), read(429, {NotRun, RetryAfter}).pause());
}

TEST_F(notice_reader_test, oddPauses_areBoundedOrMissing) {
  auto PauseOf = [](const std::string &Value) {
    return read(503,
                {{"Bluebellkeel-Not-Executed", "1"}, {"Retry-After", Value}})
        .pause();
  };
  EXPECT_EQ(milliseconds(86400000), PauseOf("1e300"));
  EXPECT_EQ(milliseconds(0), PauseOf("-5"));
  EXPECT_EQ(milliseconds(0), PauseOf("Sat, 05 Dec 2026 10:00:00 GMT"));
  EXPECT_EQ(milliseconds(1), PauseOf("0.0001"));
}

TEST_F(notice_reader_test, responseOfOtherUpstream_saysNothing) {
  response_head Head = readResponseHead(
      http_response(421, http_headers().with("Server-Limit", "2"), ""));
  EXPECT_EQ(upstream_notice(), Head.notice());
}

RC_GTEST_FIXTURE_PROP(notice_reader_test,
                      anyValue_givesAPositiveFiniteLimitOrNone, ()) {
  auto Limit = readLimit(*rc::gen::string<std::string>()).rateLimit();
  RC_ASSERT(!Limit || (*Limit > 0 && std::isfinite(*Limit)));
}
