#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Peer.h"
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Answers every message, or none while Silent is set.
class fake_responder final : public peer_responder {
public:
  std::atomic<bool> Silent{false};

  std::optional<peer_body> answer(const instance_id & /*From*/,
                                  const peer_body & /*Body*/) override {
    if (Silent)
      return std::nullopt;
    return bill_copy_ack(true);
  }
};

class counting_monitor final : public peer_monitor {
public:
  std::atomic<int> Faults{0};

  void countPeerMessage(const std::string & /*Kind*/, bool /*Sent*/,
                        std::size_t /*Bytes*/) override {}
  void countPeerFault(peer_error /*Error*/) override { ++Faults; }
};

class websocket_peer_link_test : public testing::Test {
protected:
  static constexpr std::uint16_t FirstPort = 21801;

  static network_address address(int Index) {
    return network_address("127.0.0.1",
                           static_cast<std::uint16_t>(FirstPort + Index));
  }
  static instance_record record(int Index) {
    return instance_record(instance_id("i" + std::to_string(Index)),
                           data_centre_id("c"), address(Index), address(Index),
                           instance_state::Live);
  }

  /// Sends a query and waits for the answer or the timeout.
  std::optional<peer_body> sendQuery(websocket_peer_link &Link, int Peer,
                                     peer_body Query = heartbeat_query()) {
    absl::Notification Done;
    std::optional<peer_body> Result;
    Link.sendQuery(record(Peer), std::move(Query),
                   [&](std::optional<peer_body> Answer) {
                     Result = std::move(Answer);
                     Done.Notify();
                   });
    Done.WaitForNotification();
    return Result;
  }

  /// Returns a query of about 100 kilobytes.
  static peer_body longQuery() {
    constexpr int Requests = 1000;
    std::vector<grant_request> Asked;
    Asked.reserve(Requests);
    for (int I = 0; I < Requests; ++I)
      Asked.emplace_back(instance_id("i0"),
                         upstream_id(std::string(64, 'u') + std::to_string(I)),
                         load_amount(1, 1), load_amount(1, 1));
    return grant_ask(std::move(Asked));
  }

  system_clock Clock;
  hmac_signer Signer{"a key for tests only"};
  counting_monitor Monitor;
  fake_responder Responder;
  websocket_peer_link First{instance_id("i0"), Signer, Clock, Monitor};
  websocket_peer_link Second{instance_id("i1"), Signer, Clock, Monitor};
};

} // namespace

TEST_F(websocket_peer_link_test, query_toLivePeer_isAnswered) {
  ASSERT_TRUE(First.start(address(0), Responder));
  ASSERT_TRUE(Second.start(address(1), Responder));
  auto Answer = sendQuery(First, 1);
  ASSERT_TRUE(Answer);
  EXPECT_TRUE(std::holds_alternative<bill_copy_ack>(*Answer));
}

TEST_F(websocket_peer_link_test, query_toUnreachablePeer_getsNoAnswer) {
  ASSERT_TRUE(First.start(address(0), Responder));
  EXPECT_FALSE(sendQuery(First, 2));
}

TEST_F(websocket_peer_link_test, query_toPeerThatRespondsAgain_isAnswered) {
  ASSERT_TRUE(First.start(address(0), Responder));
  ASSERT_TRUE(Second.start(address(1), Responder));
  Responder.Silent = true;
  EXPECT_FALSE(sendQuery(First, 1));
  EXPECT_FALSE(sendQuery(First, 1));
  Responder.Silent = false;
  EXPECT_TRUE(sendQuery(First, 1));
}

TEST_F(websocket_peer_link_test, longQueryOnNewConnection_isAnswered) {
  ASSERT_TRUE(First.start(address(0), Responder));
  ASSERT_TRUE(Second.start(address(1), Responder));
  EXPECT_TRUE(sendQuery(First, 1, longQuery()));
}

// Guards against connections of strangers that keep peers out.
TEST_F(websocket_peer_link_test, query_besideManyStrangers_isAnswered) {
  constexpr int Strangers = 300;
  ASSERT_TRUE(First.start(address(0), Responder));
  ASSERT_TRUE(Second.start(address(1), Responder));
  boost::asio::io_context Io;
  std::vector<boost::asio::ip::tcp::socket> Sockets;
  boost::asio::ip::tcp::endpoint Peer(
      boost::asio::ip::make_address(address(1).host()), address(1).port());
  for (int I = 0; I < Strangers; ++I)
    Sockets.emplace_back(Io).connect(Peer);
  absl::SleepFor(absl::Milliseconds(400));
  EXPECT_TRUE(sendQuery(First, 1));
}

TEST_F(websocket_peer_link_test, query_signedWithOtherKey_isNotAnswered) {
  hmac_signer Other("another key for tests");
  websocket_peer_link Foreign(instance_id("i2"), Other, Clock, Monitor);
  ASSERT_TRUE(First.start(address(0), Responder));
  ASSERT_TRUE(Foreign.start(address(2), Responder));
  EXPECT_FALSE(sendQuery(Foreign, 0));
  EXPECT_GT(Monitor.Faults, 0);
}

TEST_F(websocket_peer_link_test, start_onUnavailableAddress_fails) {
  ASSERT_TRUE(First.start(address(0), Responder));
  EXPECT_FALSE(Second.start(network_address("192.0.2.1", 1), Responder));
}
