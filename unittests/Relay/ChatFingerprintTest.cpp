#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class chat_fingerprint_test : public testing::Test {
protected:
  account_id Account{"mill"};
};

} // namespace

// Guards against chats that crash upstreams again and again while chats with
// the same messages and other parameters succeed.
TEST_F(chat_fingerprint_test, sameMessagesWithOtherParameters_differ) {
  EXPECT_NE(chatFingerprint(Account, R"({"messages":[],"max_tokens":1})"),
            chatFingerprint(Account, R"({"messages":[],"max_tokens":2})"));
}

TEST_F(chat_fingerprint_test, sameBodyOfOtherAccount_differs) {
  EXPECT_NE(chatFingerprint(Account, "{}"),
            chatFingerprint(account_id("dock"), "{}"));
  EXPECT_EQ(chatFingerprint(Account, "{}"), chatFingerprint(Account, "{}"));
}
