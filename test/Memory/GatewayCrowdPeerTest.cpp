#include "CallerSwarm.h"
#include "GatewayCrowdFixture.h"

using namespace bluebellkeel;

namespace {

/// Puts a gateway before crowds that open connections to the listener for its
/// peers without being one.
class gateway_crowd_peer_test : public gateway_crowd_fixture {
protected:
  /// A request for a WebSocket, with which peers begin.
  static std::string opening() {
    return "GET /peer HTTP/1.1\r\nHost: a.example\r\n"
           "Connection: upgrade\r\nUpgrade: websocket\r\n"
           "Sec-WebSocket-Version: 13\r\n"
           "Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n";
  }

  /// The beginning of a frame that announces 2 MB: its first 200 kilobytes.
  /// \param Opcode the first byte of the frame.
  static std::string unfinishedFrame(char Opcode) {
    constexpr std::size_t SentBytes = 200000;
    const std::string Length("\xff\0\0\0\0\0\x20\0\0", 9);
    const std::string Mask(4, '\0');
    return Opcode + Length + Mask + std::string(SentBytes, 'b');
  }

  /// A whole frame of 125 bytes.
  static std::string smallFrame(char Opcode) {
    constexpr std::size_t Bytes = 125;
    const std::string Mask(4, '\0');
    return std::string({Opcode, '\xfd'}) + Mask + std::string(Bytes, 'b');
  }

  /// A request with a body of 2 MB, of which \p SentBytes follow.
  static std::string unfinishedBody(std::size_t SentBytes) {
    return "POST /peer HTTP/1.1\r\nHost: a.example\r\n"
           "Content-Length: 2000000\r\n\r\n" +
           std::string(SentBytes, 'b');
  }

  void expectToBearAtPeers(const std::string &Text,
                           std::size_t Callers = Crowd) {
    caller_swarm Unknown(Gateway->peers());
    Unknown.sendText(Callers, Text);
    settle();
    expectToBear(Callers);
  }

  static constexpr char Binary = '\x82';
  static constexpr char BinaryFragment = '\x02';
  static constexpr char Continuation = '\x00';
  static constexpr char Ping = '\x89';
};

} // namespace

TEST_F(gateway_crowd_peer_test, unfinishedMessages_areBorne) {
  expectToBearAtPeers(opening() + unfinishedFrame(Binary));
}

TEST_F(gateway_crowd_peer_test, fragmentsWithoutEnd_areBorne) {
  constexpr int Fragments = 1500;
  std::string Text = opening() + smallFrame(BinaryFragment);
  for (int I = 0; I < Fragments; ++I)
    Text += smallFrame(Continuation);
  expectToBearAtPeers(Text);
}

TEST_F(gateway_crowd_peer_test, pingsWhoseAnswersNobodyReads_areBorne) {
  constexpr int Pings = 2000;
  std::string Text = opening();
  for (int I = 0; I < Pings; ++I)
    Text += smallFrame(Ping);
  expectToBearAtPeers(Text);
}

TEST_F(gateway_crowd_peer_test, openingsThatStay_areBorne) {
  constexpr std::size_t Callers = 1600;
  expectToBearAtPeers(opening(), Callers);
}

TEST_F(gateway_crowd_peer_test, unfinishedBodies_areBorne) {
  expectToBearAtPeers(unfinishedBody(200000));
}

TEST_F(gateway_crowd_peer_test, longUnfinishedBodies_areBorne) {
  expectToBearAtPeers(unfinishedBody(1900000));
}
