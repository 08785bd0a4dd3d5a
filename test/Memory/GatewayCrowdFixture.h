#ifndef TEST_MEMORY_GATEWAYCROWDFIXTURE_H
#define TEST_MEMORY_GATEWAYCROWDFIXTURE_H

#include "GatewayUnderLoad.h"
#include "absl/time/clock.h"
#include <gtest/gtest.h>
#include <optional>
#include <string>

namespace bluebellkeel {

/// A gateway with little memory, and what must hold before any crowd.
class gateway_crowd_fixture : public testing::Test {
protected:
  static constexpr std::size_t Crowd = 300;
  static constexpr std::size_t MemoryMb = 48;
  static constexpr int Ok = 200;

  void SetUp() override { start(MemoryMb); }

  /// Starts a gateway with \p Mb megabytes in place of the current one.
  void start(std::size_t Mb) {
    Gateway.reset();
    Gateway.emplace(Mb);
    GatewayMb = Mb;
    ASSERT_TRUE(Gateway->awaitReady());
  }

  /// Expects that the gateway lives within its bounds before a crowd of
  /// \p Callers and answers an ordinary request.
  ///
  /// \param Each most descriptors for one caller: its connection, and one to
  /// the upstream if its request runs.
  void expectToBear(std::size_t Callers = Crowd, std::size_t Each = 1) {
    constexpr std::size_t OwnDescriptors = 64;
    ASSERT_FALSE(Gateway->ended());
    EXPECT_LE(Gateway->openDescriptors(), Each * Callers + OwnDescriptors);
    EXPECT_EQ(Ok, Gateway->statusOfOrdinaryRequest());
    expectWithinMemory();
  }

  void expectWithinMemory() {
    constexpr std::size_t BytesPerMb = 1000UL * 1000;
    ASSERT_FALSE(Gateway->ended());
    EXPECT_LE(Gateway->peakMemory(), GatewayMb * BytesPerMb);
  }

  static std::string head(const std::string &Method, const std::string &Path,
                          const std::string &Fields,
                          const std::string &Version = "1.1") {
    return Method + " " + Path + " HTTP/" + Version +
           "\r\nHost: a.example\r\nBluebellkeel-Request-Id: r1\r\n" + Fields +
           "\r\n";
  }

  static void settle() { absl::SleepFor(absl::Seconds(1)); }

  std::size_t GatewayMb = 0;
  std::optional<gateway_under_load> Gateway;
};

} // namespace bluebellkeel

#endif // TEST_MEMORY_GATEWAYCROWDFIXTURE_H
