#include "ServerConnection.h"
#include <boost/asio/write.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace http = boost::beast::http;

using boost::system::error_code;

static constexpr unsigned Http11 = 11;
static constexpr std::size_t MaxHeaderBytes = 16UL * 1024;

/// How long a connection may be open without a request, and how long a request
/// may take to arrive.
static constexpr seconds IdleTimeout{60};

server_connection::server_connection(asio::ip::tcp::socket Socket,
                                     http_handler &Handler, http_limits Limits,
                                     server_state &State,
                                     asio::yield_context Yield)
    : Stream(std::move(Socket)), Handler(Handler), Limits(Limits), State(State),
      Yield(Yield),
      Watch(std::make_shared<caller_watch>(this->Stream.socket())) {
  ++State.Connections;
}

server_connection::~server_connection() {
  Watch->detach();
  --State.Connections;
}

void server_connection::watch(std::function<void()> Gone) {
  Watch->arm(std::move(Gone));
}

void server_connection::run() {
  error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  // The watch looks without waiting.
  Stream.socket().non_blocking(true, Ignored);
  while (KeepAlive) {
    auto Message = readRequest();
    if (!Message)
      break;
    KeepAlive = Message->keep_alive() && !State.Draining;
    State.beginRequest();
    answer(*Message);
    State.endRequest();
  }
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

std::optional<server_connection::message> server_connection::readRequest() {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(MaxHeaderBytes);
  Parser.body_limit(Limits.bodyBytes());
  Stream.expires_after(IdleTimeout);
  error_code Code;
  http::async_read(Stream, Buffer, Parser, Yield[Code]);
  if (!Code)
    return Parser.release();
  if (Code == http::error::body_limit)
    refuse(413, "body too large");
  else if (Code == http::error::header_limit)
    refuse(431, "header too large");
  return std::nullopt;
}

void server_connection::refuse(int Status, const char *Text) {
  KeepAlive = false;
  send(http_response(Status, http_headers(), std::string(Text) + "\n"));
}

void server_connection::answer(const message &Message) {
  Started = false;
  std::vector<http_headers::field> Fields;
  for (const auto &Field : Message)
    Fields.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  http_request Request(std::string(Message.method_string()),
                       std::string(Message.target()),
                       http_headers(std::move(Fields)), Message.body());
  Handler.handle(Request, *this, Yield);
  Watch->disarm();
  if (!Started)
    refuse(500, "no answer");
  // An answer that was begun and not ended must not look whole.
  if (Open)
    abandon();
}

void server_connection::abandon() {
  Started = true;
  Open = false;
  KeepAlive = false;
  Stream.close();
}

bool server_connection::send(const http_response &Response) {
  Started = true;
  http::response<http::string_body> Message;
  Message.version(Http11);
  Message.result(static_cast<unsigned>(Response.status()));
  for (const auto &[Name, Value] : Response.headers().fields())
    Message.set(Name, Value);
  Message.keep_alive(KeepAlive);
  Message.body() = Response.body();
  Message.prepare_payload();
  Stream.expires_after(Limits.write());
  error_code Code;
  http::async_write(Stream, Message, Yield[Code]);
  KeepAlive = KeepAlive && !Code;
  return !Code;
}

bool server_connection::begin(int Status, const http_headers &Headers) {
  Started = true;
  Open = true;
  http::response<http::empty_body> Message;
  Message.version(Http11);
  Message.result(static_cast<unsigned>(Status));
  for (const auto &[Name, Value] : Headers.fields())
    Message.set(Name, Value);
  Message.keep_alive(KeepAlive);
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  Stream.expires_after(Limits.write());
  error_code Code;
  http::async_write_header(Stream, Serializer, Yield[Code]);
  KeepAlive = KeepAlive && !Code;
  return !Code;
}

bool server_connection::write(std::string_view Piece) {
  if (Piece.empty())
    return true;
  Stream.expires_after(Limits.write());
  error_code Code;
  asio::async_write(Stream,
                    http::make_chunk(asio::buffer(Piece.data(), Piece.size())),
                    Yield[Code]);
  KeepAlive = KeepAlive && !Code;
  return !Code;
}

bool server_connection::end() {
  Stream.expires_after(Limits.write());
  error_code Code;
  asio::async_write(Stream, http::make_chunk_last(), Yield[Code]);
  Open = false;
  KeepAlive = KeepAlive && !Code;
  return !Code;
}
