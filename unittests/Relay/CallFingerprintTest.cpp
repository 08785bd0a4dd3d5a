#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class call_fingerprint_test : public testing::Test {
protected:
  static fingerprint of(const std::string &Target, const std::string &Account,
                        const std::string &Body) {
    forward_call::fields Call;
    Call.Method = "POST";
    Call.Host = "a.example";
    Call.Target = Target;
    Call.Body = Body;
    return fingerprintOf(forward_call(Call), account_id(Account));
  }
};

} // namespace

// Guards against a caller who blocks the requests of another account by moving
// bytes from one field to the next.
TEST_F(call_fingerprint_test, sameBytesInOtherFields_differ) {
  EXPECT_NE(of("/x", "mill", "body"), of("/x", "mil", "lbody"));
  EXPECT_NE(of("/x", "mill", "body"), of("/xmill", "", "body"));
  EXPECT_EQ(of("/x", "mill", "body"), of("/x", "mill", "body"));
}
