#include "bluebellkeel/Core.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {
class session_codec_test : public testing::Test {
protected:
  hmac_signer Signer{"a key for tests only"};
  session_codec Codec{Signer};
  session Session{account_id("a"), version_id("m@1")};
};
} // namespace

TEST_F(session_codec_test, token_decodedByAnotherCodec_givesTheSession) {
  EXPECT_EQ(Session, session_codec(Signer).decode(Codec.encode(Session)));
}

RC_GTEST_FIXTURE_PROP(session_codec_test, token_withAnyByteChanged_isRefused,
                      (std::size_t Position, unsigned char Byte)) {
  std::string Text = Codec.encode(Session);
  std::size_t Index = Position % Text.size();
  RC_PRE(Text[Index] != static_cast<char>(Byte));
  Text[Index] = static_cast<char>(Byte);
  RC_ASSERT(!Codec.decode(Text));
}

TEST_F(session_codec_test, token_signedWithOtherKey_isRefused) {
  hmac_signer Other{"another key for tests"};
  EXPECT_FALSE(Codec.decode(session_codec(Other).encode(Session)));
}

TEST_F(session_codec_test, unsignedToken_isRefused) {
  EXPECT_FALSE(Codec.decode("s1|a|m@2|"));
  EXPECT_FALSE(Codec.decode("s1|a|m@2"));
}
