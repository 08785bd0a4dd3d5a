#include "bluebellkeel/Http/ClientStream.h"
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost::system::error_code;

static constexpr std::size_t MaxHeaderBytes = 16UL * 1024;
static constexpr std::size_t PieceBytes = 16UL * 1024;

class client_stream::impl {
public:
  impl(asio::yield_context Yield, http_timeouts Timeouts)
      : Yield(Yield), Timeouts(Timeouts), Stream(Yield.get_executor()) {}

  tl::expected<http_response, http_error> open(const network_address &Address,
                                               const http_request &Request);
  tl::expected<std::string, http_error> readSome();

private:
  bool connect(const network_address &Address);
  bool write(const network_address &Address, const http_request &Request);
  static http_error errorOf(const error_code &Code, http_error OnTimeout);

  asio::yield_context Yield;
  http_timeouts Timeouts;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Parser;
};

client_stream::client_stream(asio::yield_context Yield, http_timeouts Timeouts)
    : Impl(std::make_unique<impl>(Yield, Timeouts)) {}

client_stream::~client_stream() = default;

http_error client_stream::impl::errorOf(const error_code &Code,
                                        http_error OnTimeout) {
  if (Code == beast::error::timeout)
    return OnTimeout;
  if (Code == http::error::header_limit || Code == http::error::body_limit)
    return http_error::TooLarge;
  if (Code == http::error::end_of_stream ||
      Code == http::error::partial_message)
    return http_error::Closed;
  if (Code.category() ==
      http::make_error_code(http::error::bad_version).category())
    return http_error::Malformed;
  return http_error::Closed;
}

bool client_stream::impl::connect(const network_address &Address) {
  error_code Code;
  auto Ip = asio::ip::make_address(Address.host(), Code);
  if (Code)
    return false;
  Stream.expires_after(Timeouts.connect());
  Stream.async_connect(asio::ip::tcp::endpoint(Ip, Address.port()),
                       Yield[Code]);
  if (Code)
    return false;
  error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  return true;
}

bool client_stream::impl::write(const network_address &Address,
                                const http_request &Request) {
  constexpr unsigned Http11 = 11;
  http::request<http::string_body> Message;
  Message.version(Http11);
  Message.method_string(Request.method());
  Message.target(Request.target());
  Message.set(http::field::host, Address.text());
  Message.keep_alive(false);
  for (const auto &[Name, Value] : Request.headers().fields())
    Message.set(Name, Value);
  Message.body() = Request.body();
  Message.prepare_payload();
  error_code Code;
  http::async_write(Stream, Message, Yield[Code]);
  return !Code;
}

tl::expected<http_response, http_error>
client_stream::impl::open(const network_address &Address,
                          const http_request &Request) {
  if (!connect(Address))
    return tl::unexpected(http_error::ConnectFailed);
  Stream.expires_after(Timeouts.firstByte());
  if (!write(Address, Request))
    return tl::unexpected(http_error::SendFailed);
  Parser.header_limit(MaxHeaderBytes);
  Parser.body_limit(boost::none);
  error_code Code;
  http::async_read_header(Stream, Buffer, Parser, Yield[Code]);
  if (Code)
    return tl::unexpected(errorOf(Code, http_error::FirstByteTimeout));
  std::vector<http_headers::field> Fields;
  for (const auto &Field : Parser.get())
    Fields.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  return http_response(static_cast<int>(Parser.get().result_int()),
                       http_headers(std::move(Fields)), "");
}

tl::expected<std::string, http_error> client_stream::impl::readSome() {
  std::array<char, PieceBytes> Piece = {};
  while (!Parser.is_done()) {
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Parser.get().body().more = true;
    Stream.expires_after(Timeouts.between());
    error_code Code;
    http::async_read_some(Stream, Buffer, Parser, Yield[Code]);
    if (Code == http::error::need_buffer)
      Code = {};
    std::size_t Size = Piece.size() - Parser.get().body().size;
    if (Code)
      return tl::unexpected(errorOf(Code, http_error::ReadTimeout));
    if (Size > 0)
      return std::string(Piece.data(), Size);
  }
  return std::string();
}

tl::expected<http_response, http_error>
client_stream::open(const network_address &Address,
                    const http_request &Request) {
  return Impl->open(Address, Request);
}

tl::expected<std::string, http_error> client_stream::readSome() {
  return Impl->readSome();
}

tl::expected<std::string, http_error>
client_stream::readAll(std::size_t MaxBytes) {
  std::string Body;
  while (true) {
    auto Piece = readSome();
    if (!Piece)
      return Piece;
    if (Piece->empty())
      return Body;
    if (Body.size() + Piece->size() > MaxBytes)
      return tl::unexpected(http_error::TooLarge);
    Body += *Piece;
  }
}
