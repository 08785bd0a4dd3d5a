#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Requests that crash each upstream that runs them, beside sound ones.
class crashing_request_test : public forward_fixture {
protected:
  crashing_request_test() {
    for (int I = 4; I <= 40; ++I)
      Registry.insertIfNewer(
          upstream_listing(listingOf("u" + std::to_string(I))));
  }

  /// Returns a lookup of the item that \p Query names.
  forward_call::fields lookup(const std::string &Query) {
    forward_call::fields Call = callOf("/again/check");
    Call.Method = "GET";
    Call.Target = Call.Path + "?" + Query;
    Call.Body = "";
    return Call;
  }
  recording_caller runCrashing(const forward_call::fields &Call) {
    upstream_script Crash = failing(attempt_error::Truncated);
    script({Crash, Crash, Crash});
    return run(Call);
  }
  recording_caller runSound(const forward_call::fields &Call) {
    script({});
    return run(Call);
  }
  /// Returns true if \p Call reaches an upstream.
  bool isSent(const forward_call::fields &Call) {
    std::size_t Before = Upstreams.Attempts.size();
    runSound(Call);
    return Upstreams.Attempts.size() > Before;
  }
};

} // namespace

// Guards against lookups that crash upstreams again and again while lookups of
// other items, with another query only, succeed (review/11).
TEST_F(crashing_request_test, crashingQuery_otherQueriesSucceed_isBlocked) {
  for (int Round = 0; Round < 4; ++Round) {
    runCrashing(lookup("item=13"));
    runSound(lookup("item=1" + std::to_string(Round)));
    Clock.advance(seconds(1));
  }
  EXPECT_FALSE(isSent(lookup("item=13")));
  EXPECT_TRUE(isSent(lookup("item=14")));
}

// Guards against blocks that extend to requests which an upstream handles
// differently.
TEST_F(crashing_request_test, blockedRequest_otherMethodOrHost_isSent) {
  auto Routes = routes();
  auto OtherHost = routeOf("/again/", route_kind::Idempotent, 2);
  OtherHost.Host = "b.example";
  Routes.emplace_back(OtherHost);
  configure(2, Routes);
  for (int Round = 0; Round < 3; ++Round)
    runCrashing(lookup("item=13"));
  ASSERT_FALSE(isSent(lookup("item=13")));
  auto Other = lookup("item=13");
  Other.Method = "DELETE";
  EXPECT_TRUE(isSent(Other));
  Other = lookup("item=13");
  Other.Host = "b.example";
  EXPECT_TRUE(isSent(Other));
}

// Guards against a crashing request that is taken for a new one when its caller
// repeats it.
TEST_F(crashing_request_test,
       blockedRequest_repeatedWithOtherHeaders_isBlocked) {
  for (int Round = 0; Round < 3; ++Round)
    runCrashing(lookup("item=13"));
  auto Repeat = lookup("item=13");
  Repeat.Deadline = milliseconds(900);
  Repeat.Session = "another";
  Repeat.LastEvent = 3;
  Repeat.Prompt = prompt(10, 10, 0, {prompt_part("p", 10)});
  Repeat.Headers = {{"Bluebellkeel-Request-Id", "another"}};
  EXPECT_FALSE(isSent(Repeat));
}
