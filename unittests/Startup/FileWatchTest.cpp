#include "bluebellkeel/Startup.h"
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class file_watch_test : public testing::Test {
protected:
  void SetUp() override { write("one"); }
  void TearDown() override { std::remove(Path.c_str()); }
  void write(const std::string &Text) const { std::ofstream(Path) << Text; }

  const std::string Path = testing::TempDir() + "file_watch_test.json";
};

} // namespace

TEST_F(file_watch_test, changedContent_isReportedOnce) {
  file_watch Watch(Path);
  EXPECT_FALSE(Watch.changed());
  write("two");
  EXPECT_TRUE(Watch.changed());
  EXPECT_FALSE(Watch.changed());
}

TEST_F(file_watch_test, identicalContentRewritten_isNoChange) {
  file_watch Watch(Path);
  write("one");
  EXPECT_FALSE(Watch.changed());
}

TEST_F(file_watch_test, removedFile_isReportedWhenRecreatedWithNewContent) {
  file_watch Watch(Path);
  std::remove(Path.c_str());
  EXPECT_FALSE(Watch.changed());
  write("two");
  EXPECT_TRUE(Watch.changed());
}
