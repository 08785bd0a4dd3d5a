#include "bluebellkeel/Startup.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class startup_reader_test : public testing::Test {
protected:
  static std::string validSettings() {
    return R"({
      // a comment
      "instance": "i", "data_centre": "c",
      "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
      "platform": {"log": "127.0.0.1:3", "list": "127.0.0.1:4"},
      "keys": {"signing": "0123456789abcdef", "peer": "0123456789abcdef"},
      "teams": [{"name": "t", "key": "0123456789abcdef"}]
    })";
  }

  static std::string withReplacement(const std::string &Old,
                                     const std::string &New) {
    std::string Text = validSettings();
    Text.replace(Text.find(Old), Old.size(), New);
    return Text;
  }

  static std::vector<std::string> errorsIn(const std::string &Text) {
    std::vector<std::string> Messages;
    auto Settings = readStartupSettings(Text);
    if (!Settings) {
      for (const auto &Error : Settings.error())
        Messages.push_back(Error.message());
    }
    return Messages;
  }
};

} // namespace

TEST_F(startup_reader_test, validFile_withComments_isRead) {
  auto Settings = readStartupSettings(validSettings());
  ASSERT_TRUE(Settings);
  EXPECT_EQ(instance_id("i"), Settings->Instance);
  EXPECT_EQ(1U, Settings->Teams.size());
  EXPECT_FALSE(Settings->ContinueWhenCutOff);
}

TEST_F(startup_reader_test, unknownField_isReportedWithItsPath) {
  EXPECT_EQ((std::vector<std::string>{
                "/limts: expected a known field, found an unknown one"}),
            errorsIn(withReplacement("\"teams\"", "\"limts\": {}, \"teams\"")));
}

TEST_F(startup_reader_test, severalErrors_areEachReported) {
  std::string Text = withReplacement("\"127.0.0.1:1\"", "7");
  Text.replace(Text.find("\"t\""), 3, "\"\"");
  EXPECT_EQ((std::vector<std::string>{
                "/listen/callers: expected an address as IP-number:port, "
                "found 7",
                "/teams/0/name: expected a text of at least 1 characters, "
                "found \"\""}),
            errorsIn(Text));
}

TEST_F(startup_reader_test, limit_outOfRange_isRejected) {
  EXPECT_EQ((std::vector<std::string>{
                "/limits/threads: expected a whole number from 1 to 64, "
                "found 0"}),
            errorsIn(withReplacement("\"teams\"",
                                     "\"limits\":{\"threads\":0},\"teams\"")));
}

TEST_F(startup_reader_test, malformedJson_isOneError) {
  EXPECT_EQ(1U, errorsIn("{").size());
}

RC_GTEST_FIXTURE_PROP(startup_reader_test, arbitraryText_isReadOrRejected,
                      (const std::string &Text)) {
  (void)readStartupSettings(Text);
}

RC_GTEST_FIXTURE_PROP(startup_reader_test,
                      validFile_withOneByteChanged_isReadOrRejected,
                      (std::size_t Position, char Byte)) {
  std::string Text = validSettings();
  Text[Position % Text.size()] = Byte;
  (void)readStartupSettings(Text);
}
