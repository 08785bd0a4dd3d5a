#include "SoakCaller.h"
#include "bluebellkeel/Http/Await.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost::system::error_code;

/// Longer than the time limit of any route.
static constexpr seconds ResponseTimeout{12};
static constexpr milliseconds ConnectTimeout{1000};

static std::string pathOf(request_kind Kind, int Version) {
  switch (Kind) {
  case request_kind::NonIdempotent:
    return "/once/x";
  case request_kind::Idempotent:
    return "/again/x";
  case request_kind::Stream:
    return "/stream/x";
  case request_kind::Probe:
    return "/v" + std::to_string(Version) + "/x";
  }
  return "/";
}

bool soak_caller::connect(int Gateway, asio::yield_context Yield) {
  Stream.emplace(Yield.get_executor());
  Stream->expires_after(ConnectTimeout);
  network_address Address = Environment.gateway(Gateway);
  error_code Code;
  Stream->async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(Address.host()),
                              Address.port()),
      Yield[Code]);
  Connected = Code ? -1 : Gateway;
  return !Code;
}

void soak_caller::exchange(soak_attempt::fields &Attempt,
                           asio::yield_context Yield) {
  http::request<http::empty_body> Request(
      http::verb::post, pathOf(Attempt.Kind, Attempt.Version), 11);
  Request.set(http::field::host, "soak.example");
  Request.set("Bluebellkeel-Request-Id", Attempt.Id);
  Request.set("Bluebellkeel-Deadline-Ms", "10000");
  Request.prepare_payload();
  Stream->expires_after(ResponseTimeout);
  error_code Code;
  http::async_write(*Stream, Request, Yield[Code]);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  if (!Code)
    http::async_read_header(*Stream, Buffer, Parser, Yield[Code]);
  if (!Code) {
    Attempt.Status = static_cast<int>(Parser.get().result_int());
    Attempt.ResponseRequestId =
        std::string(Parser.get()["Bluebellkeel-Request-Id"]);
  }
  while (!Code && !Parser.is_done())
    http::async_read_some(*Stream, Buffer, Parser, Yield[Code]);
  Attempt.Body = Parser.get().body();
  Attempt.Complete = !Code;
  Attempt.TimedOut = Code == beast::error::timeout;
  if (Code || !Parser.get().keep_alive())
    Connected = -1;
}

void soak_caller::send(request_kind Kind, int Gateway, int Version,
                       asio::yield_context Yield) {
  if (Connected != Gateway && !connect(Gateway, Yield)) {
    // Nothing was sent, so there is no attempt to record.
    awaitTime(Yield, milliseconds(50));
    return;
  }
  soak_attempt::fields Attempt;
  Attempt.Id = Name + "-" + std::to_string(++Sent);
  Attempt.Kind = Kind;
  Attempt.Gateway = Gateway;
  Attempt.Incarnation = Environment.incarnation(Gateway);
  Attempt.Version = Version;
  Attempt.Sent = now();
  exchange(Attempt, Yield);
  Attempt.Ended = now();
  Log.add(soak_attempt(std::move(Attempt)));
}

void soak_caller::run(const std::atomic<bool> &Stop,
                      const std::atomic<int> &Version,
                      asio::yield_context Yield) {
  constexpr int SwitchOneIn = 8;
  constexpr int Kinds = 4;
  while (!Stop) {
    int Gateway = Connected >= 0 && uniformBelow(SwitchOneIn) != 0
                      ? Connected
                      : uniformBelow(soak_environment::Gateways);
    int ProbedVersion = std::max(1, Version - uniformBelow(3));
    send(static_cast<request_kind>(uniformBelow(Kinds)), Gateway, ProbedVersion,
         Yield);
    awaitTime(Yield, milliseconds(uniformBelow(40)));
  }
}
