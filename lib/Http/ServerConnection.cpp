#include "ServerConnection.h"
#include "MemoryCosts.h"
#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace http = boost::beast::http;

using boost::system::error_code;

static constexpr unsigned Http11 = 11;

/// Limits on what a caller may send after its last response, for how long, and
/// with which pauses.
static constexpr std::size_t MaxDroppedBytes = 4UL * 1024 * 1024;
static constexpr milliseconds MaxDropTime{2000};
static constexpr milliseconds MaxDropPause{500};
/// The pause while room is short, or after a request that had stalled.
static constexpr milliseconds ShortDropPause{50};

server_connection::server_connection(
    std::shared_ptr<interruptible_stream> Connection, http_handler &Handler,
    const http_limit_source &Source, server_state &State, memory_budget &Memory,
    asio::yield_context Yield)
    : Connection(std::move(Connection)), Stream(this->Connection->stream()),
      Handler(Handler), Source(Source), Limits(Source.limits()), State(State),
      Memory(Memory), Yield(Yield),
      Watcher(std::make_shared<disconnect_watcher>(Stream.socket(), Buffer)) {}

server_connection::~server_connection() { Watcher->detach(); }

void server_connection::watch(std::function<void()> OnDisconnect) {
  Watcher->arm(std::move(OnDisconnect));
}

void server_connection::run() {
  error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  // The disconnect watcher peeks at the socket and must not block.
  Stream.socket().non_blocking(true, Ignored);
  while (KeepAlive && awaitRequest()) {
    memory_reservation Reservation(Memory, Limits.requestUse());
    auto Message = readRequest(Reservation);
    if (!Message)
      break;
    KeepAlive = Message->keep_alive();
    Connection->activity().enter(connection_phase::Serving);
    State.beginRequest();
    // Nothing is left unless the next request has arrived.
    if (Buffer.size() == 0)
      Buffer.shrink_to_fit();
    respond(requestOf(std::move(*Message)));
    State.endRequest();
  }
  Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  if (ResponseSent)
    dropRest();
}

/// Reads and drops what the caller still sends: a connection that is closed
/// with unread bytes is reset, which may destroy the response.
void server_connection::dropRest() {
  Buffer.clear();
  Buffer.shrink_to_fit();
  Connection->activity().enter(connection_phase::Lingering);
  auto End = std::chrono::steady_clock::now() + MaxDropTime;
  error_code Code;
  std::size_t Dropped = 0;
  while (!Code && Dropped < MaxDroppedBytes) {
    bool Short = Connection->gaveWay() || Memory.scarce();
    auto Pause = Short ? ShortDropPause : MaxDropPause;
    Connection->setRead(
        interruptible_stream::read_kind::Discarded,
        std::min(End, std::chrono::steady_clock::now() + Pause));
    // Unlike a read, a wait needs no memory.
    Stream.socket().async_wait(asio::ip::tcp::socket::wait_read, Yield[Code]);
    Connection->setRead(interruptible_stream::read_kind::None);
    if (!Code)
      Dropped += discardReceived(Code);
  }
}

/// Returns the number of discarded bytes.
std::size_t server_connection::discardReceived(error_code &Code) {
  constexpr std::size_t ReadBytes = 16384;
  thread_local std::array<char, ReadBytes> Discarded;
  std::size_t Bytes = Stream.socket().read_some(asio::buffer(Discarded), Code);
  if (Code == asio::error::would_block)
    Code = {};
  return Bytes;
}

/// Waits for the first bytes of a request; returns false if none arrive in
/// time. Reads the limits again, since they may have changed since the last
/// request, and may change during the wait.
bool server_connection::awaitRequest() {
  // Enough for the head and a small body in one read.
  constexpr std::size_t InitialReadBytes = 8192;
  constexpr auto Kind = interruptible_stream::read_kind::NextRequest;
  auto Start = std::chrono::steady_clock::now();
  Limits = Source.limits();
  ResponseSent = false;
  Buffer.max_size(Limits.headerBytes() + request_receiver::MaxUnparsedBytes);
  Stream.expires_never();
  skipEmptyLines();
  Connection->activity().enter(connection_phase::Idle);
  error_code Code;
  while (Buffer.size() == 0 && !Code) {
    Connection->setRead(Kind, Start + Source.limits().idleTime());
    Buffer.commit(
        Stream.async_read_some(Buffer.prepare(InitialReadBytes), Yield[Code]));
    Connection->setRead(interruptible_stream::read_kind::None);
    // A request that arrived before the wait was ended must be answered.
    if (Code == asio::error::operation_aborted)
      Buffer.commit(
          Stream.socket().read_some(Buffer.prepare(InitialReadBytes), Code));
    skipEmptyLines();
    if (Code == asio::error::would_block && !Connection->interrupted(Kind) &&
        std::chrono::steady_clock::now() < Start + Source.limits().idleTime())
      Code = {};
  }
  Limits = Source.limits();
  return Buffer.size() > 0;
}

/// Some callers end a body with an empty line that its length does not include.
void server_connection::skipEmptyLines() {
  auto Bytes = Buffer.data();
  const char *Begin = static_cast<const char *>(Bytes.data());
  const char *End = Begin + Bytes.size();
  auto IsRequest = [](char Byte) { return Byte != '\r' && Byte != '\n'; };
  Buffer.consume(
      static_cast<std::size_t>(std::find_if(Begin, End, IsRequest) - Begin));
}

std::optional<server_connection::message>
server_connection::readRequest(memory_reservation &Reservation) {
  request_receiver Receiver(*Connection, Buffer, Limits, State, Reservation,
                            Yield);
  reception Reception = Receiver.receive();
  switch (Reception.type()) {
  case reception::kind::Whole:
    return Receiver.release();
  case reception::kind::NoMemory:
    refuseForMemory(Receiver.release());
    break;
  case reception::kind::Refused:
    refuse(Reception.status(), Reception.text());
    break;
  case reception::kind::Ended:
    break;
  }
  return std::nullopt;
}

/// Refuses a request of which at most the head has been read whole.
void server_connection::refuseForMemory(message Message) {
  constexpr int Unavailable = 503;
  Started = false;
  KeepAlive = false;
  Message.body().clear();
  Handler.refuseForMemory(requestOf(std::move(Message)), *this);
  if (!Started)
    refuse(Unavailable, "no memory");
}

void server_connection::refuse(int Status, const std::string &Text) {
  KeepAlive = false;
  send(http_response(Status, http_headers(), Text + "\n"));
}

http_request server_connection::requestOf(message Message) {
  std::vector<http_headers::field> Fields;
  for (const auto &Field : Message)
    Fields.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  return http_request(std::string(Message.method_string()),
                      std::string(Message.target()),
                      http_headers(std::move(Fields)), Message.body().take());
}

void server_connection::respond(const http_request &Request) {
  Started = false;
  handle(Request);
  Watcher->disarm();
  if (!Started)
    refuse(500, "no answer");
  // A response that was begun but not ended must not look complete.
  if (ResponseUnfinished)
    abandon();
}

/// Calls the handler. An exception ends only this exchange.
void server_connection::handle(const http_request &Request) {
  try {
    Handler.handle(Request, *this, Yield);
  } catch (const std::exception &Error) {
    KeepAlive = false;
    Handler.reportFailure(Request, Error.what());
  }
}

void server_connection::abandon() {
  Started = true;
  ResponseUnfinished = false;
  KeepAlive = false;
  Stream.close();
}

/// True if the connection may get another request after the current response.
bool server_connection::staysOpen() const {
  bool Closing =
      State.Draining ||
      Connection->interrupted(interruptible_stream::read_kind::NextRequest);
  // A request that has arrived already must be answered.
  return KeepAlive && (!Closing || Buffer.size() > 0);
}

/// Calls \p Write, which sets an error code, for a response or part of one that
/// holds \p Bytes. Returns false if the client has left or is too slow.
template <typename write_t>
bool server_connection::transfer(std::size_t Bytes, write_t Write) {
  Stream.expires_after(Limits.write());
  if (Connection->gaveWay())
    Connection->activity().refuseGivenUp();
  else
    Connection->activity().enter(connection_phase::Sending, Bytes);
  error_code Code;
  Write(Code);
  if (!Connection->gaveWay())
    Connection->activity().enter(connection_phase::Serving);
  KeepAlive = KeepAlive && !Code;
  return !Code;
}

bool server_connection::send(const http_response &Response) {
  Started = true;
  KeepAlive = staysOpen();
  http::response<http::span_body<const char>> Message;
  Message.version(Http11);
  Message.result(static_cast<unsigned>(Response.status()));
  for (const auto &[Name, Value] : Response.headers().fields())
    Message.set(Name, Value);
  Message.keep_alive(KeepAlive);
  Message.body() = {Response.body().data(), Response.body().size()};
  Message.prepare_payload();
  ResponseSent = transfer(Response.body().size(), [&](error_code &Code) {
    http::async_write(Stream, Message, Yield[Code]);
  });
  return ResponseSent;
}

bool server_connection::begin(int Status, const http_headers &Headers) {
  Started = true;
  ResponseUnfinished = true;
  KeepAlive = staysOpen();
  http::response<http::empty_body> Message;
  Message.version(Http11);
  Message.result(static_cast<unsigned>(Status));
  for (const auto &[Name, Value] : Headers.fields())
    Message.set(Name, Value);
  Message.keep_alive(KeepAlive);
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
  return transfer(0, [&](error_code &Code) {
    http::async_write_header(Stream, Serializer, Yield[Code]);
  });
}

bool server_connection::write(std::string_view Piece) {
  if (Piece.empty())
    return true;
  return transfer(Piece.size(), [&](error_code &Code) {
    asio::async_write(
        Stream, http::make_chunk(asio::buffer(Piece.data(), Piece.size())),
        Yield[Code]);
  });
}

bool server_connection::end() {
  ResponseSent = transfer(0, [&](error_code &Code) {
    asio::async_write(Stream, http::make_chunk_last(), Yield[Code]);
  });
  ResponseUnfinished = false;
  return ResponseSent;
}
