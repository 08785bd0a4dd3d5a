#include "bluebellkeel/Http/ClientStream.h"
#include "bluebellkeel/Http/StatusClass.h"
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using boost::system::error_code;

static constexpr std::size_t MaxHeaderBytes = 16UL * 1024;
static constexpr std::size_t ReadBytes = 4UL * 1024;
/// Maximum number of received bytes that wait for the parser, which takes the
/// head, the line of a chunk and the trailers only when they are complete.
static constexpr std::size_t MaxUnparsedBytes = 32UL * 1024;

/// Limits on what is skipped before the response: interim responses, and the
/// bytes of a response to another request. A server in trouble may send either
/// without end.
static constexpr int MaxInterimResponses = 8;
static constexpr std::size_t MaxSkippedBytes = 1024UL * 1024;

/// Bodies up to this size fit the receive buffer of the other end, whose system
/// acknowledges them even if the other end reads none of their bytes.
static constexpr std::size_t MaxUnreadBytes = 16UL * 1024;

class client_stream::impl : public std::enable_shared_from_this<impl> {
public:
  impl(asio::yield_context Yield, http_timeouts Timeouts)
      : Yield(Yield), Timeouts(Timeouts), Stream(Yield.get_executor()),
        IdleTimer(Yield.get_executor()), WriteTimer(Yield.get_executor()) {}

  tl::expected<http_response, http_error> open(const network_address &Address,
                                               const http_request &Request);
  tl::expected<http_response, http_error> nextResponse();
  tl::expected<std::string, http_error> readSome();
  void cancel();

private:
  using message = http::request<http::span_body<const char>>;

  bool connect(const network_address &Address);
  void enableKeepAlive();
  void limitUnacknowledged();
  void startWrite(const network_address &Address, const http_request &Request);
  void onWritten(const error_code &Code);
  bool sentWholeRequest();
  tl::expected<http_response, http_error> readHead();
  void readBodyPart(error_code &Code);
  void onIdleTimeout(std::uint64_t Read);
  http_error errorOf(const error_code &Code, http_error OnTimeout) const;

  asio::yield_context Yield;
  http_timeouts Timeouts;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<http::response_parser<http::buffer_body>> Parser;
  /// Ends a read of the body and leaves the connection open.
  asio::steady_timer IdleTimer;
  asio::cancellation_signal ReadEnd;
  /// Changes when a read of the body begins and when it ends.
  std::uint64_t LastRead = 0;
  /// The result of writing the request; empty while it is being written.
  std::optional<error_code> WriteResult;
  /// Ends when the request is written.
  asio::steady_timer WriteTimer;
  bool Cancelled = false;
};

client_stream::client_stream(asio::yield_context Yield, http_timeouts Timeouts)
    : Impl(std::make_shared<impl>(Yield, Timeouts)) {}

/// A pending write keeps the implementation alive until that write fails.
client_stream::~client_stream() { Impl->cancel(); }

void client_stream::impl::cancel() {
  Cancelled = true;
  IdleTimer.cancel();
  Stream.close();
}

http_error client_stream::impl::errorOf(const error_code &Code,
                                        http_error OnTimeout) const {
  if (Cancelled)
    return http_error::Cancelled;
  if (Code == beast::error::timeout)
    return OnTimeout;
  if (Code == http::error::header_limit || Code == http::error::body_limit ||
      Code == http::error::buffer_overflow)
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
  Buffer.reserve(ReadBytes);
  error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  if (Timeouts.firstByte() > SilenceLimit)
    enableKeepAlive();
  return true;
}

/// Without probes, a dead connection looks like a response that takes
/// long to begin.
void client_stream::impl::enableKeepAlive() {
  using asio::detail::socket_option::integer;
  constexpr int IdleSeconds = 1;
  constexpr int IntervalSeconds = 1;
  constexpr int Probes = 2;
  auto &Socket = Stream.socket();
  error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(IdleSeconds), Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(IntervalSeconds),
                    Ignored);
  Socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(Probes), Ignored);
}

/// Probes are not sent while bytes are unacknowledged. The limit would end a
/// live connection whose other end has no room for more bytes, too.
void client_stream::impl::limitUnacknowledged() {
  using asio::detail::socket_option::integer;
  constexpr int UnacknowledgedMs = 2000;
  error_code Ignored;
  Stream.socket().set_option(
      integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(UnacknowledgedMs), Ignored);
}

/// Writes concurrently with reading, since a response may arrive before a long
/// body is sent. A response with a length or in chunks shows by itself whether
/// it is whole; for others sentWholeRequest() tells.
void client_stream::impl::startWrite(const network_address &Address,
                                     const http_request &Request) {
  constexpr unsigned Http11 = 11;
  auto Message = std::make_shared<message>();
  Message->version(Http11);
  Message->method_string(Request.method());
  Message->target(Request.target());
  Message->set(http::field::host, Address.text());
  for (const auto &[Name, Value] : Request.headers().fields()) {
    if (beast::iequals(Name, "Host"))
      Message->set(http::field::host, Value);
    else
      Message->insert(Name, Value);
  }
  Message->keep_alive(false);
  const std::string &Body = Request.body();
  Message->body() = beast::span<const char>(Body.data(), Body.size());
  Message->prepare_payload();
  http::async_write(Stream, *Message,
                    [Self = shared_from_this(), Message,
                     SharedBody = Request.sharedBody()](const error_code &Code,
                                                        std::size_t /*Size*/) {
                      Self->onWritten(Code);
                    });
}

void client_stream::impl::onWritten(const error_code &Code) {
  WriteResult = Code;
  WriteTimer.cancel();
}

/// Returns true if the request was written without an error. Otherwise the end
/// of the connection may be a reset: the system reports it once, and the
/// concurrent write may have taken it from the read.
bool client_stream::impl::sentWholeRequest() {
  /// The write ends at once unless the other end takes no more bytes.
  constexpr milliseconds WriteEndTimeout{500};
  if (!WriteResult) {
    error_code Ignored;
    WriteTimer.expires_after(WriteEndTimeout);
    WriteTimer.async_wait(Yield[Ignored]);
  }
  return WriteResult && !*WriteResult;
}

tl::expected<http_response, http_error>
client_stream::impl::open(const network_address &Address,
                          const http_request &Request) {
  if (!connect(Address))
    return tl::unexpected(Cancelled ? http_error::Cancelled
                                    : http_error::ConnectFailed);
  // The write ends with the exchange: the other end may respond before it has
  // read a long body.
  Stream.expires_never();
  if (Request.body().size() <= MaxUnreadBytes &&
      Timeouts.firstByte() > SilenceLimit)
    limitUnacknowledged();
  startWrite(Address, Request);
  Stream.expires_after(Timeouts.firstByte());
  return readHead();
}

tl::expected<http_response, http_error> client_stream::impl::readHead() {
  int InterimResponses = 0;
  status_class Class = status_class::Interim;
  do {
    if (InterimResponses++ > MaxInterimResponses)
      return tl::unexpected(http_error::Malformed);
    Parser.emplace();
    Parser->header_limit(MaxHeaderBytes);
    Parser->body_limit(boost::none);
    error_code Code;
    http::async_read_header(Stream, Buffer, *Parser, Yield[Code]);
    if (Code)
      return tl::unexpected(errorOf(Code, http_error::FirstByteTimeout));
    Class = classOfStatus(Parser->get().result_int());
  } while (Class == status_class::Interim);
  if (Class == status_class::Invalid)
    return tl::unexpected(http_error::Malformed);
  std::vector<http_headers::field> Fields;
  for (const auto &Field : Parser->get())
    Fields.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  return http_response(static_cast<int>(Parser->get().result_int()),
                       http_headers(std::move(Fields)), "");
}

tl::expected<http_response, http_error> client_stream::impl::nextResponse() {
  std::size_t SkippedBytes = 0;
  while (true) {
    auto Piece = readSome();
    if (!Piece)
      return tl::unexpected(Piece.error());
    if (Piece->empty())
      break;
    SkippedBytes += Piece->size();
    if (SkippedBytes > MaxSkippedBytes)
      return tl::unexpected(http_error::TooLarge);
  }
  Stream.expires_after(Timeouts.firstByte());
  return readHead();
}

/// Reads some bytes of the body or fails with beast::error::timeout; then it
/// can be called again.
void client_stream::impl::readBodyPart(error_code &Code) {
  std::uint64_t Read = ++LastRead;
  IdleTimer.expires_after(Timeouts.idle());
  IdleTimer.async_wait([Self = shared_from_this(), Read](error_code Ended) {
    if (!Ended)
      Self->onIdleTimeout(Read);
  });
  Stream.expires_never();
  http::async_read_some(
      Stream, Buffer, *Parser,
      asio::bind_cancellation_slot(ReadEnd.slot(), Yield[Code]));
  bool TimedOut = LastRead != Read;
  ++LastRead;
  IdleTimer.cancel();
  if (TimedOut && Code == asio::error::operation_aborted)
    Code = beast::error::timeout;
}

void client_stream::impl::onIdleTimeout(std::uint64_t Read) {
  if (Read != LastRead)
    return;
  ++LastRead;
  ReadEnd.emit(asio::cancellation_type::terminal);
}

tl::expected<std::string, http_error> client_stream::impl::readSome() {
  // Not on the stack, whose touched pages stay resident as long as the
  // caller's connection.
  std::string Piece;
  while (!Parser->is_done()) {
    Piece.resize(ReadBytes);
    Parser->get().body().data = Piece.data();
    Parser->get().body().size = Piece.size();
    Parser->get().body().more = true;
    error_code Code;
    readBodyPart(Code);
    if (Code == http::error::need_buffer)
      Code = {};
    Piece.resize(Piece.size() - Parser->get().body().size);
    if (Code)
      return tl::unexpected(errorOf(Code, http_error::ReadTimeout));
    if (!Piece.empty())
      return Piece;
  }
  if (Parser->need_eof() && !sentWholeRequest())
    return tl::unexpected(Cancelled ? http_error::Cancelled
                                    : http_error::Closed);
  return std::string();
}

tl::expected<http_response, http_error>
client_stream::open(const network_address &Address,
                    const http_request &Request) {
  return Impl->open(Address, Request);
}

tl::expected<http_response, http_error> client_stream::nextResponse() {
  return Impl->nextResponse();
}

void client_stream::cancel() { Impl->cancel(); }

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
