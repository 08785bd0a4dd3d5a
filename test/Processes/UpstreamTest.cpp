#include "Deployment.h"
#include "LoadRun.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <future>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

class upstream_test : public deployment {
protected:
  json runChats(std::uint64_t Requests, unsigned Threads) {
    load_plan Plan;
    Plan.KnownAddresses.reserve(InstanceCount);
    for (int Index = 0; Index < InstanceCount; ++Index)
      Plan.KnownAddresses.push_back(instance(Index));
    Plan.ApiKey = ApiKey;
    Plan.Model = "auto";
    Plan.Requests = Requests;
    Plan.Threads = Threads;
    Plan.MaxTokens = 8;
    return json::parse(runLoad(Plan));
  }

  static request_result chat(int Instance, const std::string &Prompt) {
    return directCallerOf(Instance).chat("auto", Prompt, 8, true, Prompt, "");
  }

  /// Sends a streaming chat and returns its socket without reading the answer.
  boost::asio::ip::tcp::socket sendWithoutReading(int Instance) {
    namespace asio = boost::asio;
    asio::ip::tcp::socket Socket(Io);
    Socket.open(asio::ip::tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(4096));
    Socket.connect(asio::ip::tcp::endpoint(
        asio::ip::make_address(instance(Instance).host()),
        instance(Instance).port()));
    std::string Body =
        json{{"model", "auto"},
             {"stream", true},
             {"max_tokens", 4000},
             {"messages", {{{"role", "user"}, {"content", "slow"}}}}}
            .dump();
    std::string Request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
        "Bearer " +
        std::string(ApiKey) +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body;
    asio::write(Socket, asio::buffer(Request));
    return Socket;
  }

  boost::asio::io_context Io;
};

} // namespace

TEST_F(upstream_test, coldEngines_underABurst_areNotOverloaded) {
  json Summary = runChats(60, 24);
  EXPECT_EQ(60, Summary["whole"]) << Summary.dump();
  EXPECT_EQ(0U, sumEngineStatistic("crashes"));
  for (int Index = 0; Index < EngineCount; ++Index)
    EXPECT_LE(get(engine(Index), "/stats")["max_running_cold"], 2);
}

TEST_F(upstream_test, answerToAnotherRequest_neverReachesACaller) {
  set(engine(0), {{"crossed", 1}});
  std::vector<std::future<request_result>> Results;
  Results.reserve(12);
  for (int Index = 0; Index < 12; ++Index)
    Results.push_back(std::async(std::launch::async, [Index] {
      return chat(Index % InstanceCount, "p" + std::to_string(Index));
    }));
  for (int Index = 0; Index < 12; ++Index) {
    auto Result = Results[static_cast<std::size_t>(Index)].get();
    if (Result.End != request_outcome::Whole)
      continue;
    std::string ExpectedText = "<p" + std::to_string(Index) + ">";
    EXPECT_NE(std::string::npos, Result.Text.find(ExpectedText)) << Result.Text;
  }
}

TEST_F(upstream_test, answerWithoutItsLastEvent_isInterruptedAndNotBilled) {
  for (int Index = 0; Index < EngineCount; ++Index)
    set(engine(Index), {{"no_end", 1}});
  auto Result = chat(0, "hello");
  EXPECT_EQ("answer_interrupted", Result.Reason);
  EXPECT_TRUE(billCounts().empty());
}

TEST_F(upstream_test, silentEngines_requestIsServedByOtherVersion) {
  set(engine(0), {{"silent_at", 1}});
  set(engine(2), {{"silent_at", 1}});
  // Both engines of the cheap version are silent; the other version answers.
  auto Result = chat(0, "hello");
  EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  EXPECT_EQ("lace@2", Result.Version);
}

TEST_F(upstream_test, silenceInMidAnswer_endsWithAnError) {
  for (int Index = 0; Index < EngineCount; ++Index)
    set(engine(Index), {{"silent_at", 4}});
  auto Result = chat(0, "hello");
  EXPECT_EQ("answer_interrupted", Result.Reason);
}

TEST_F(upstream_test, crashingRequest_isStoppedAfterAtMostThreeCrashes) {
  for (int Send = 0; Send < 9; ++Send)
    EXPECT_NE(request_outcome::Whole,
              chat(Send % InstanceCount, "CRASH-ME").End);
  EXPECT_LE(sumEngineStatistic("crashes"), 3U);
  auto OtherRequestServed = [&] {
    return chat(0, "innocent").End == request_outcome::Whole;
  };
  EXPECT_TRUE(waitFor(OtherRequestServed, seconds(15)));
}

TEST_F(upstream_test, enginesKilled_requestIsServedByOtherVersion) {
  chat(0, "warm-up");
  Engines[0].reset();
  Engines[2].reset();
  auto Result = chat(1, "hello");
  EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  EXPECT_EQ("lace@2", Result.Version);
}

TEST_F(upstream_test, slowReaders_doNotBlockOtherCallers) {
  std::vector<boost::asio::ip::tcp::socket> Readers;
  Readers.reserve(4);
  for (int Index = 0; Index < 4; ++Index)
    Readers.push_back(sendWithoutReading(0));
  sleepFor(seconds(2));
  for (int Index = 0; Index < 5; ++Index) {
    auto Result = chat(0, "quick" + std::to_string(Index));
    EXPECT_EQ(request_outcome::Whole, Result.End) << Result.Reason;
  }
}

TEST_F(upstream_test, chatRefusedByAllEngines_isNotRun) {
  for (int Index = 0; Index < EngineCount; ++Index)
    set(engine(Index), {{"turn_away", 1}});
  auto Result = chat(0, "hello");
  EXPECT_NE(request_outcome::Whole, Result.End);
  EXPECT_EQ(0U, sumEngineStatistic("started"));
}
