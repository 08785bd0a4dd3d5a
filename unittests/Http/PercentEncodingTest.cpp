#include "bluebellkeel/Http.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {
class percent_encoding_test : public testing::Test {};
} // namespace

TEST_F(percent_encoding_test, reservedCharacters_areEncoded) {
  EXPECT_EQ("a-b.c_d~1", percentEncode("a-b.c_d~1"));
  EXPECT_EQ("%20%26%3D%23%25%0D%0A%2B%2F%FF", percentEncode(" &=#%\r\n+/\xff"));
}

TEST_F(percent_encoding_test, malformedEscapes_standForThemselves) {
  EXPECT_EQ("%", percentDecode("%"));
  EXPECT_EQ("%4", percentDecode("%4"));
  EXPECT_EQ("%zz ", percentDecode("%zz+"));
}

RC_GTEST_FIXTURE_PROP(percent_encoding_test,
                      anyText_encodedAndDecoded_isUnchanged, ()) {
  auto Text = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(percentDecode(percentEncode(Text)) == Text);
  http_request Request("GET", "/x?after=" + percentEncode(Text) + "&b=c",
                       http_headers(), "");
  RC_ASSERT(Request.query("after") == Text);
}
