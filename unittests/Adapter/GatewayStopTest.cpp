#include "GatewayFixture.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <thread>

using namespace bluebellkeel;

namespace http = boost::beast::http;

namespace {

class gateway_stop_test : public gateway_process_test {
protected:
  using tcp = boost::asio::ip::tcp;

  /// Sends the head of a request and half of its body.
  tcp::socket sendHalf() {
    tcp::socket Socket(Io);
    Socket.connect(tcp::endpoint(
        boost::asio::ip::make_address(address(3).host()), address(3).port()));
    write(Socket, "POST /idempotent/x HTTP/1.1\r\nHost: a.example\r\n"
                  "Bluebellkeel-Request-Id: r1\r\nApi-Key: key\r\n"
                  "Bluebellkeel-Deadline-Ms: 4000\r\n"
                  "Content-Length: 4\r\n\r\nbo");
    return Socket;
  }
  static void write(tcp::socket &Socket, const std::string &Text) {
    boost::asio::write(Socket, boost::asio::buffer(Text));
  }
  /// Returns the version and the status of the response; empty if the
  /// connection ends without one.
  static std::string readStatus(tcp::socket &Socket) {
    std::string Text(12, ' ');
    boost::system::error_code Code;
    boost::asio::read(Socket, boost::asio::buffer(Text), Code);
    return Code ? "" : Text;
  }

  /// Asks the directory again and again on one connection; returns true if the
  /// connection ends without an answer, and false if an answer says its end.
  static bool cutAtTheEnd() {
    boost::asio::io_context Io;
    tcp::socket Socket(Io);
    Socket.connect(tcp::endpoint(
        boost::asio::ip::make_address(address(5).host()), address(5).port()));
    boost::beast::flat_buffer Buffer;
    while (true) {
      boost::system::error_code Code;
      boost::asio::write(
          Socket,
          boost::asio::buffer(std::string(
              "GET /bluebellkeel/resolve?name=a.example HTTP/1.1\r\n\r\n")),
          Code);
      http::response<http::string_body> Response;
      if (!Code)
        http::read(Socket, Buffer, Response, Code);
      if (Code)
        return true;
      if (!Response.keep_alive())
        return false;
    }
  }

  boost::asio::io_context Io;
};

} // namespace

// Guards against connections that an idle gateway closes while the body of a
// request arrives.
TEST_F(gateway_stop_test, shutDown_requestWhoseBodyStillArrives_isAnswered) {
  auto Socket = sendHalf();
  absl::Notification Stopped;
  std::thread Stopper([&] {
    Gateway->shutDown();
    Stopped.Notify();
  });
  // The gateway is idle and may end since 0.4 s.
  absl::SleepFor(absl::Milliseconds(600));
  bool EndedBefore = Stopped.HasBeenNotified();
  write(Socket, "dy");
  EXPECT_EQ("HTTP/1.1 503", readStatus(Socket));
  Stopper.join();
  EXPECT_FALSE(EndedBefore);
}

// Guards against questions to the directory that are cut with the process.
TEST_F(gateway_stop_test, shutDown_questionsOnKeptConnections_areAnswered) {
  constexpr int Callers = 8;
  std::vector<std::future<bool>> Cut;
  Cut.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Cut.push_back(std::async(std::launch::async, cutAtTheEnd));
  Gateway->shutDown();
  Gateway.reset();
  for (auto &Ended : Cut)
    EXPECT_FALSE(Ended.get());
}
