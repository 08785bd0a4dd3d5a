#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class signer_test : public testing::Test {
protected:
  hmac_signer Signer{"a key for tests only"};
};
} // namespace

TEST_F(signer_test, verify_ownSignature_isTrue) {
  EXPECT_TRUE(Signer.verify("text", Signer.sign("text")));
}

TEST_F(signer_test, verify_otherTextOrKey_isFalse) {
  EXPECT_FALSE(Signer.verify("text2", Signer.sign("text")));
  EXPECT_FALSE(Signer.verify("text", hmac_signer("other").sign("text")));
  EXPECT_FALSE(Signer.verify("text", ""));
}
