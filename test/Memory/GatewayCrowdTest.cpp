#include "CallerSwarm.h"
#include "GatewayUnderLoad.h"
#include "absl/time/clock.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Puts a gateway before callers that nobody controls: they send bodies that
/// stop short of their end and stay open.
class gateway_crowd_test : public testing::Test {
protected:
  static constexpr std::size_t Crowd = 300;

  void SetUp() override { ASSERT_TRUE(Gateway.awaitReady()); }

  /// Sends \p Text from each caller of the crowd to \p Address. Expects that
  /// the gateway lives within its bounds and still answers an ordinary request.
  void expectToBear(const network_address &Address, const std::string &Text) {
    constexpr std::size_t BytesPerMb = 1000UL * 1000;
    constexpr std::size_t OwnDescriptors = 64;
    constexpr int Ok = 200;
    caller_swarm Callers(Address);
    Callers.sendText(Crowd, Text);
    absl::SleepFor(absl::Seconds(1));
    ASSERT_FALSE(Gateway.ended());
    EXPECT_LE(Gateway.openDescriptors(), Crowd + OwnDescriptors);
    EXPECT_EQ(Ok, Gateway.statusOfOrdinaryRequest());
    EXPECT_FALSE(Gateway.ended());
    EXPECT_LE(Gateway.peakMemory(), MemoryMb * BytesPerMb);
  }

  void expectToBear(const std::string &Text) {
    expectToBear(Gateway.callers(), Text);
  }

  static std::string chunkedHead() {
    return "POST /once/silent HTTP/1.1\r\nHost: a.example\r\n"
           "Bluebellkeel-Request-Id: r1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  /// Returns \p Count chunks of \p Bytes bytes each, with \p Extension.
  static std::string chunks(std::size_t Count, std::size_t Bytes,
                            const std::string &Extension = "") {
    char Size[17];
    std::snprintf(Size, sizeof(Size), "%zx", Bytes);
    std::string Chunk =
        Size + Extension + "\r\n" + std::string(Bytes, 'b') + "\r\n";
    std::string Text;
    Text.reserve(Count * Chunk.size());
    for (std::size_t I = 0; I < Count; ++I)
      Text += Chunk;
    return Text;
  }

  /// Returns the beginning of a chunk of \p Bytes bytes.
  static std::string unfinishedChunk(std::size_t Bytes) {
    std::string Chunk = chunks(1, Bytes);
    return Chunk.substr(0, Chunk.size() - 3);
  }

  static constexpr std::size_t MemoryMb = 48;
  gateway_under_load Gateway{MemoryMb};
};

} // namespace

TEST_F(gateway_crowd_test, smallestChunks_areBorne) {
  expectToBear(chunkedHead() + chunks(30000, 1));
}

TEST_F(gateway_crowd_test, longChunkExtensions_areBorne) {
  expectToBear(chunkedHead() + chunks(40, 1, ";n=" + std::string(4000, 'x')));
}

TEST_F(gateway_crowd_test, chunksOf1000Bytes_areBorne) {
  expectToBear(chunkedHead() + chunks(100, 1000) + unfinishedChunk(1000));
}

TEST_F(gateway_crowd_test, chunksOf64Kilobytes_areBorne) {
  expectToBear(chunkedHead() + chunks(3, 65536) + unfinishedChunk(65536));
}

TEST_F(gateway_crowd_test, chunksOfAMegabyte_areBorne) {
  expectToBear(chunkedHead() + unfinishedChunk(1UL << 20));
}

TEST_F(gateway_crowd_test, chunkSizeWithoutEnd_isBorne) {
  expectToBear(chunkedHead() + std::string(20000, '0'));
}

TEST_F(gateway_crowd_test, trailersWithoutEnd_areBorne) {
  std::string Trailers;
  for (int I = 0; I < 1000; ++I)
    Trailers += "Note: trailer\r\n";
  expectToBear(chunkedHead() + chunks(1, 1000) + "0\r\n" + Trailers);
}

TEST_F(gateway_crowd_test, bodiesWithLength_areBorne) {
  expectToBear("POST /once/silent HTTP/1.1\r\nHost: a.example\r\n"
               "Bluebellkeel-Request-Id: r1\r\nContent-Length: 72000\r\n\r\n" +
               std::string(71999, 'b'));
}

TEST_F(gateway_crowd_test, unfinishedHeads_areBorne) {
  expectToBear("POST /once/silent HTTP/1.1\r\nNote: " +
               std::string(15000, 'n'));
}

TEST_F(gateway_crowd_test, headsBehindUnfinishedBody_areBorne) {
  std::string Heads;
  for (int I = 0; I < 100; ++I)
    Heads += "POST /once/silent HTTP/1.1\r\nHost: a.example\r\n\r\n";
  expectToBear(chunkedHead() + chunks(1, 50000) + Heads);
}

TEST_F(gateway_crowd_test, callersThatNeverRead_areBorne) {
  expectToBear("POST /once/large HTTP/1.1\r\nHost: a.example\r\n"
               "Bluebellkeel-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(gateway_crowd_test, crowdAtOtherListeners_isBorne) {
  for (const auto &Address : {Gateway.directory(), Gateway.readiness(),
                              Gateway.metricsAddress(), Gateway.peers()}) {
    SCOPED_TRACE(Address.text());
    expectToBear(Address, chunkedHead() + chunks(100, 1000));
  }
}
