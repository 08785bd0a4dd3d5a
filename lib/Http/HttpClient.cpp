#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Http/ClientStream.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;

/// Maximum size of a response body, in bytes.
static constexpr std::size_t MaxBodyBytes = 64UL * 1024 * 1024;

tl::expected<http_response, http_error>
http_client::send(const network_address &Address,
                  const http_request &Request) const {
  tl::expected<http_response, http_error> Result =
      tl::unexpected(http_error::ConnectFailed);
  asio::io_context Io(1);
  auto Exchange = [&](asio::yield_context Yield) {
    client_stream Stream(Yield, Timeouts);
    Result = Stream.open(Address, Request);
    if (!Result)
      return;
    auto Body = Stream.readAll(MaxBodyBytes);
    if (Body)
      Result = http_response(Result->status(), Result->headers(), *Body);
    else
      Result = tl::unexpected(Body.error());
  };
  asio::spawn(Io, Exchange, asio::detached);
  Io.run();
  return Result;
}
