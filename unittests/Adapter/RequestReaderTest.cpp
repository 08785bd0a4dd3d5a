#include "RequestReader.h"
#include "AttemptWriter.h"
#include "ResponseHeadReader.h"
#include "Support/ListingOf.h"
#include "WireNames.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class request_reader_test : public testing::Test {
protected:
  static http_request requestWith(std::vector<http_headers::field> Fields) {
    return http_request("POST", "/a/b?c=d", http_headers(std::move(Fields)),
                        "body");
  }
  static forward_call read(std::vector<http_headers::field> Fields) {
    return readRequest(requestWith(std::move(Fields)), monotonic_time());
  }
  static http_request writtenAttempt(const forward_call &Call,
                                     const std::string &Model = "") {
    forward_attempt::fields Fields;
    Fields.Call = std::make_shared<const forward_call>(Call);
    Fields.Upstream = upstream_listing(listingOf("u1"));
    Fields.Account = account_id("mill");
    Fields.Model = Model;
    Fields.TimeLeft = milliseconds(700);
    return writeAttempt(forward_attempt(Fields));
  }
  static int countOf(const http_request &Request, std::string_view Name) {
    int Count = 0;
    for (const auto &Field : Request.headers().fields())
      Count += Field.first == Name ? 1 : 0;
    return Count;
  }
};

} // namespace

// Guards against uploads that are held several times each.
TEST_F(request_reader_test, bodyOfRequest_isNotCopied) {
  auto Request = requestWith({{"Host", "a.example"}});
  auto Call = readRequest(Request, monotonic_time());
  EXPECT_EQ(&Request.body(), &Call.body());
  EXPECT_EQ(&Request.body(), &writtenAttempt(Call).body());
}

TEST_F(request_reader_test, requestHeaders_areDecoded) {
  forward_call Call = read({{"Host", "A.Example:8080"},
                            {"Bluebellkeel-Request-Id", "r1"},
                            {"Api-Key", "k"},
                            {"Session", "s"},
                            {"Bluebellkeel-Deadline-Ms", "1500"},
                            {"Last-Event-Id", "12"},
                            {"Bluebellkeel-Token-Count", "1460,80"},
                            {"Bluebellkeel-Length-Hint", "33"},
                            {"Bluebellkeel-Prompt-Prefix", "5c:800,91:410"}});
  EXPECT_EQ("a.example", Call.host());
  EXPECT_EQ("/a/b", Call.path());
  EXPECT_EQ("/a/b?c=d", Call.target());
  EXPECT_EQ("r1", Call.id().text());
  EXPECT_EQ("k", Call.accountKey());
  EXPECT_EQ(milliseconds(1500), Call.deadline());
  EXPECT_EQ(12U, Call.lastEvent());
  EXPECT_EQ(prompt(1460, 80, 33, {{"5c", 800}, {"91", 410}}),
            Call.requestPrompt());
}

TEST_F(request_reader_test, malformedHeaders_areTreatedAsMissing) {
  forward_call Call = read({{"Bluebellkeel-Deadline-Ms", "soon"},
                            {"Last-Event-Id", "-1"},
                            {"Bluebellkeel-Token-Count", "x"},
                            {"Bluebellkeel-Prompt-Prefix", ",,a,b:c,d:4"}});
  EXPECT_FALSE(Call.deadline());
  EXPECT_FALSE(Call.lastEvent());
  EXPECT_EQ(prompt(0, 0, 0, {{"d", 4}}), Call.requestPrompt());
}

TEST_F(request_reader_test, systemHeaders_sentByCaller_areNotForwarded) {
  std::vector<http_headers::field> Forged;
  for (auto Name :
       {wire::Tenant, wire::ApiKey, wire::ExpectInstance, wire::ExpectVersion,
        wire::Priority, wire::Hold, wire::PinTime, wire::CacheBackup,
        wire::CacheFrom, wire::CacheFetch})
    Forged.emplace_back(std::string(Name), "forged");
  http_request Sent = writtenAttempt(read(Forged));
  for (const auto &[Name, Value] : Sent.headers().fields())
    EXPECT_NE("forged", Value) << Name;
  EXPECT_EQ("mill", Sent.headers().get(wire::Tenant));
}

TEST_F(request_reader_test, connectionHeaders_areNotForwarded) {
  http_request Sent = writtenAttempt(read({{"Connection", "keep-alive, X-Mine"},
                                           {"X-Mine", "1"},
                                           {"Keep-Alive", "timeout=5"},
                                           {"Transfer-Encoding", "chunked"},
                                           {"Content-Length", "4"},
                                           {"X-Other", "2"}}));
  EXPECT_EQ("", Sent.headers().get("X-Mine"));
  EXPECT_EQ("", Sent.headers().get("Keep-Alive"));
  EXPECT_EQ("", Sent.headers().get("Transfer-Encoding"));
  EXPECT_EQ("2", Sent.headers().get("X-Other"));
}

TEST_F(request_reader_test, attempt_carriesUpstreamIdAndRemainingTimeOnce) {
  http_request Sent =
      writtenAttempt(read({{"Bluebellkeel-Deadline-Ms", "99999"},
                           {"Bluebellkeel-Request-Id", "r1"},
                           {"Bluebellkeel-Model", "named"}}));
  EXPECT_EQ("u1", Sent.headers().get(wire::ExpectInstance));
  EXPECT_EQ("700", Sent.headers().get(wire::Deadline));
  EXPECT_EQ("r1", Sent.headers().get(wire::RequestId));
  EXPECT_EQ("named", Sent.headers().get(wire::Model));
  EXPECT_EQ(1, countOf(Sent, wire::Deadline));
}

TEST_F(request_reader_test, chosenModel_replacesCallersWildcard) {
  http_request Sent =
      writtenAttempt(read({{"bluebellkeel-model", "*"}}), "small");
  EXPECT_EQ("small", Sent.headers().get(wire::Model));
  EXPECT_EQ(0, countOf(Sent, "bluebellkeel-model"));
}

TEST_F(request_reader_test, responseHead_withServerStamp_isVerified) {
  response_head Head = readResponseHead(
      http_response(200,
                    http_headers({{"Bluebellkeel-Server-Stamp", "s"},
                                  {"Bluebellkeel-Confidence", "42"},
                                  {"Bluebellkeel-Runner-Load", "3,1,8"},
                                  {"Connection", "close"}}),
                    ""));
  EXPECT_TRUE(Head.verified());
  EXPECT_EQ(42, *Head.confidence());
  EXPECT_EQ(queue_report(3, 1), *Head.queue());
  EXPECT_EQ(3U, Head.headers().size());
}

TEST_F(request_reader_test, loadWithSpeed_isRead) {
  auto QueueOf = [](const char *Load) {
    return readResponseHead(
               http_response(
                   200, http_headers().with("Bluebellkeel-Runner-Load", Load),
                   ""))
        .queue();
  };
  EXPECT_EQ(queue_report(3, 1, 2.5), QueueOf("3,1,8,250"));
  EXPECT_EQ(queue_report(3, 1), QueueOf("3,1,8,0"));
  EXPECT_EQ(queue_report(3, 1), QueueOf("3,1,8,fast"));
}

TEST_F(request_reader_test, responseHead_ofEncodedBody_isNotVerified) {
  response_head Head =
      readResponseHead(http_response(200,
                                     http_headers()
                                         .with("Bluebellkeel-Server-Stamp", "s")
                                         .with("Content-Encoding", "gzip"),
                                     ""));
  EXPECT_FALSE(Head.verified());
}

TEST_F(request_reader_test, responseHead_withoutFraming_endsWithConnection) {
  auto Delimited = [](const http_headers &Headers) {
    return readResponseHead(http_response(200, Headers, "")).delimitedByClose();
  };
  EXPECT_TRUE(Delimited(http_headers()));
  EXPECT_FALSE(Delimited(http_headers().with("Content-Length", "0")));
  EXPECT_FALSE(Delimited(http_headers().with("Transfer-Encoding", "chunked")));
}

TEST_F(request_reader_test, responseHead_ofRefusal_reportsRequestNotRun) {
  EXPECT_TRUE(
      readResponseHead(
          http_response(
              503, http_headers().with("Bluebellkeel-Not-Executed", "1"), ""))
          .notRun());
  EXPECT_TRUE(readResponseHead(http_response(421, http_headers(), ""))
                  .fromOtherUpstream());
  EXPECT_FALSE(
      readResponseHead(http_response(503, http_headers(), "")).notRun());
}

TEST_F(request_reader_test, responseForOtherRequest_isDetected) {
  http_response Response(
      200, http_headers().with("Bluebellkeel-Request-Id", "r2"), "");
  EXPECT_TRUE(belongsToOtherRequest(Response, request_id("r1")));
  EXPECT_FALSE(belongsToOtherRequest(Response, request_id("r2")));
}
