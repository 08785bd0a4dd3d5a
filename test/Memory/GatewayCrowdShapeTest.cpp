#include "CallerSwarm.h"
#include "GatewayCrowdFixture.h"
#include <csignal>

using namespace bluebellkeel;

namespace {

/// Puts a gateway before crowds of callers that nobody controls, in shapes
/// beside that of a single body that stops short of its end.
class gateway_crowd_shape_test : public gateway_crowd_fixture {
protected:
  /// Lets the callers read \p Bytes each, some times in a row, and return once
  /// their connections have ended.
  static void letReadOrReturn(caller_swarm &Callers, std::size_t Bytes,
                              const std::string &Text) {
    constexpr int Rounds = 30;
    for (int Round = 0; Round < Rounds; ++Round) {
      absl::SleepFor(absl::Milliseconds(100));
      Callers.readOrReturn(Bytes, Text);
    }
  }

  /// Expects that the listener at \p Address still responds to a GET request
  /// for \p Target while a crowd stands there.
  void expectRoomAt(const network_address &Address, const std::string &Target) {
    caller_swarm Callers(Address);
    Callers.sendText(Crowd, unfinishedBody());
    settle();
    EXPECT_EQ(Ok, Gateway->statusOf(Address, Target));
    expectToBear();
  }

  /// A small body in chunks that stops short of its end.
  static std::string unfinishedBody() { return unfinishedBodyOf("5"); }

  /// The same with a last chunk of \p Size bytes, in hexadecimal digits.
  static std::string unfinishedBodyOf(const std::string &Size) {
    return head("POST", "/once/silent", "Transfer-Encoding: chunked\r\n") +
           "10\r\n0123456789abcdef\r\n" + Size + "\r\nab";
  }

  /// A body of 100 kilobytes in chunks, or one chunk, that stops short.
  static std::string longUnfinishedBody() {
    return head("POST", "/once/silent", "Transfer-Encoding: chunked\r\n") +
           "186a0\r\n" + std::string(99999, 'b');
  }

  /// A head whose fields have a name of one letter and no value.
  static std::string headOfSmallFields(const std::string &Length) {
    constexpr int Fields = 3500;
    std::string Text = Length;
    for (int Field = 0; Field < Fields; ++Field)
      Text += "a:\r\n";
    return head("POST", "/once/silent", Text);
  }

  /// Requests whose prompts begin with parts that have long names, all
  /// different.
  static std::string requestsWithLongParts(std::size_t Caller) {
    constexpr int Requests = 20;
    constexpr std::size_t NameBytes = 14000;
    std::string Text;
    for (int Request = 0; Request < Requests; ++Request)
      Text += head("POST", "/once/quick",
                   "Content-Length: 0\r\nBluebellkeel-Prompt-Prefix: " +
                       std::string(NameBytes, 'a') + std::to_string(Caller) +
                       "b" + std::to_string(Request) + ":100,c:1\r\n");
    return Text;
  }

  /// Requests with a long id, of characters that the log has to escape.
  static std::string requestsWithLongIds() {
    constexpr int Requests = 40;
    constexpr std::size_t IdBytes = 14000;
    std::string Text;
    for (int Request = 0; Request < Requests; ++Request)
      Text += "POST /once/quick HTTP/1.1\r\nHost: a.example\r\n"
              "Content-Length: 0\r\nBluebellkeel-Request-Id: " +
              std::string(IdBytes, '"') + "\r\n\r\n";
    return Text;
  }

  static std::string requestFor(const std::string &Path) {
    return head("POST", Path, "Content-Length: 0\r\n");
  }
};

} // namespace

// Guards against limits that a single request inside the pages' limits meets.
TEST_F(gateway_crowd_shape_test, largestRequestsInCalm_areServed) {
  constexpr std::size_t LargestBody = 4UL * 1024 * 1024;
  const std::string Body(LargestBody, 'b');
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(
      1, head("POST", "/once/quick", "Transfer-Encoding: chunked\r\n") +
             "400000\r\n" + Body + "\r\n0\r\n\r\n");
  settle();
  Callers.sendText(
      1, head("POST", "/once/quick", "Content-Length: 4194304\r\n") + Body);
  settle();
  EXPECT_EQ(2U, Callers.outcomes().Answered);
  EXPECT_EQ(2U, Gateway->arrivals());
  expectWithinMemory();
}

TEST_F(gateway_crowd_shape_test, traceWithBody_isBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(
      Crowd, head("TRACE", "/once/quick", "Content-Length: 5\r\n") + "hello");
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, moreCallersThanConnections_leaveRoom) {
  constexpr std::size_t Callers = 1600;
  start(260);
  caller_swarm Unfinished(Gateway->callers());
  Unfinished.sendText(Callers, unfinishedBody());
  settle();
  expectToBear(Callers);
}

TEST_F(gateway_crowd_shape_test, moreReadersThanConnections_leaveRoom) {
  constexpr std::size_t Callers = 1600;
  start(260);
  caller_swarm Readers(Gateway->callers());
  Readers.sendText(Callers, requestFor("/stream/large"));
  settle();
  expectToBear(Callers, 2);
}

TEST_F(gateway_crowd_shape_test, crowdAtReadiness_leavesRoomThere) {
  expectRoomAt(Gateway->readiness(), "/bluebellkeel/readyz");
}

TEST_F(gateway_crowd_shape_test, crowdAtDirectory_leavesRoomThere) {
  expectRoomAt(Gateway->directory(),
               "/bluebellkeel/resolve?name=a.example&zone=north");
}

TEST_F(gateway_crowd_shape_test, crowdAtCounters_leavesRoomThere) {
  expectRoomAt(Gateway->metricsAddress(), "/metrics");
}

TEST_F(gateway_crowd_shape_test, crowdAtCallers_leavesRoomForOperators) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, longUnfinishedBody());
  settle();
  EXPECT_EQ(Ok,
            Gateway->statusOf(Gateway->readiness(), "/bluebellkeel/readyz"));
  EXPECT_EQ(Ok, Gateway->statusOf(Gateway->metricsAddress(), "/metrics"));
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, returningCrowd_isBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, longUnfinishedBody());
  letReadOrReturn(Callers, 200, longUnfinishedBody());
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, readersOfHugeAnswers_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, requestFor("/once/huge"));
  letReadOrReturn(Callers, 20000, requestFor("/once/huge"));
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, slowReadersOfHugeAnswers_areBorne) {
  constexpr std::size_t Callers = 800;
  constexpr int Rounds = 3;
  start(110);
  caller_swarm Readers(Gateway->callers());
  Readers.sendText(Callers, requestFor("/once/huge"));
  for (int Round = 0; Round < Rounds; ++Round)
    letReadOrReturn(Readers, 200, requestFor("/once/huge"));
  expectToBear(Callers, 2);
}

TEST_F(gateway_crowd_shape_test, readersThatLeaveAndReturn_areBorne) {
  constexpr int Waves = 10;
  for (int Wave = 0; Wave < Waves; ++Wave) {
    caller_swarm Callers(Gateway->callers());
    Callers.sendText(Crowd, requestFor("/once/huge"));
    absl::SleepFor(absl::Milliseconds(300));
  }
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, slowReadersOfStreams_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, requestFor("/stream/large"));
  letReadOrReturn(Callers, 2000, requestFor("/stream/large"));
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, slowReadersOfSmallAnswers_areBorne) {
  std::string Requests;
  for (int I = 0; I < 100; ++I)
    Requests += requestFor("/once/quick");
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, Requests);
  letReadOrReturn(Callers, 100, Requests);
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, olderProtocol_isBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, head("POST", "/once/silent",
                               "Connection: keep-alive\r\n"
                               "Content-Length: 100000\r\n",
                               "1.0") +
                              std::string(99999, 'b'));
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, expectedContinue_isBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, head("POST", "/once/silent",
                               "Expect: 100-continue\r\n"
                               "Content-Length: 4000000\r\n"));
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, upgrades_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, head("GET", "/once/silent",
                               "Connection: upgrade\r\nUpgrade: websocket\r\n"
                               "Sec-WebSocket-Version: 13\r\n"
                               "Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n"
                               "Transfer-Encoding: chunked\r\n") +
                              "186a0\r\n" + std::string(99999, 'b'));
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, manySmallFieldsBeforeUnfinishedBody_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, headOfSmallFields("Transfer-Encoding: chunked\r\n") +
                              "5\r\nab");
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, manySmallFieldsOfWholeRequests_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, headOfSmallFields("Content-Length: 0\r\n"));
  settle();
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, longNamesOfPromptParts_areBorne) {
  caller_swarm Callers(Gateway->callers());
  for (std::size_t Caller = 0; Caller < Crowd; ++Caller)
    Callers.sendText(1, requestsWithLongParts(Caller));
  settle();
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, longRequestIds_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, requestsWithLongIds());
  settle();
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, promptsOfManyParts_areBorne) {
  constexpr int Parts = 3500;
  std::string Prompt;
  for (int Part = 0; Part < Parts; ++Part)
    Prompt += "1:1,";
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd, head("POST", "/once/silent",
                               "Content-Length: 0\r\n"
                               "Bluebellkeel-Prompt-Prefix: " +
                                   Prompt + "\r\n"));
  settle();
  expectToBear(Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, bodiesThatTrickle_leaveRoom) {
  constexpr std::size_t Callers = 1600;
  constexpr int Rounds = 20;
  start(260);
  caller_swarm Trickling(Gateway->callers());
  Trickling.sendText(Callers, unfinishedBodyOf("10000"));
  for (int Round = 0; Round < Rounds; ++Round) {
    absl::SleepFor(absl::Milliseconds(100));
    Trickling.sendMore("b");
  }
  expectToBear(Callers);
}

TEST_F(gateway_crowd_shape_test, allShapesTogether_areBorne) {
  caller_swarm Callers(Gateway->callers());
  Callers.connect(Crowd / 3);
  Callers.sendText(Crowd / 3, longUnfinishedBody());
  Callers.sendText(Crowd / 3, unfinishedBody());
  Callers.sendText(Crowd / 3, requestFor("/once/huge"));
  Callers.sendText(Crowd / 3, requestFor("/stream/large"));
  caller_swarm AtDirectory(Gateway->directory());
  AtDirectory.sendText(Crowd / 3, longUnfinishedBody());
  settle();
  expectToBear(2 * Crowd, 2);
}

TEST_F(gateway_crowd_shape_test, crowdThatGrowsDuringReloads_isBorne) {
  constexpr int Waves = 5;
  caller_swarm Callers(Gateway->callers());
  for (int Wave = 0; Wave < Waves; ++Wave) {
    Callers.sendText(Crowd / Waves, longUnfinishedBody());
    Gateway->signal(SIGHUP);
    absl::SleepFor(absl::Milliseconds(200));
  }
  settle();
  expectToBear();
}

TEST_F(gateway_crowd_shape_test, crowdThatGrowsDuringStop_letsTheProcessEnd) {
  constexpr int Waves = 5;
  caller_swarm Callers(Gateway->callers());
  Callers.sendText(Crowd / 2, longUnfinishedBody());
  Gateway->signal(SIGTERM);
  for (int Wave = 0; Wave < Waves; ++Wave) {
    Callers.sendText(Crowd / 2 / Waves, longUnfinishedBody());
    absl::SleepFor(absl::Milliseconds(200));
  }
  expectToBear();
  EXPECT_EQ(0, Gateway->awaitEnd());
}
