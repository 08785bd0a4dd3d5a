#include "ServerConnection.h"
#include "MemoryCosts.h"
#include <algorithm>
#include <boost/asio/write.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace http = boost::beast::http;

using boost::system::error_code;

static constexpr unsigned Http11 = 11;

/// Maximum number of received bytes, beside a head, that wait for the parser.
/// It takes the line of a chunk and the trailers only when they are complete.
static constexpr std::size_t MaxUnparsedBytes = 16UL * 1024;

/// Maximum time to receive a request body; a slow link transfers a megabyte in
/// that time.
static constexpr seconds BodyTimeout{60};

/// Limits on what a caller may send after its last response, for how long, and
/// with which pauses.
static constexpr std::size_t MaxDroppedBytes = 4UL * 1024 * 1024;
static constexpr milliseconds MaxDropTime{2000};
static constexpr milliseconds MaxDropPause{500};

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
  constexpr std::size_t ReadBytes = 16384;
  Buffer.clear();
  Buffer.shrink_to_fit();
  auto End = std::chrono::steady_clock::now() + MaxDropTime;
  error_code Code;
  std::size_t Dropped = 0;
  while (!Code && Dropped < MaxDroppedBytes) {
    Stream.expires_at(
        std::min(End, std::chrono::steady_clock::now() + MaxDropPause));
    Dropped += Stream.async_read_some(Buffer.prepare(ReadBytes), Yield[Code]);
  }
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
  Buffer.max_size(Limits.headerBytes() + MaxUnparsedBytes);
  Stream.expires_never();
  skipEmptyLines();
  error_code Code;
  while (Buffer.size() == 0 && !Code) {
    Connection->setRead(Kind, Start + Source.limits().idleTime());
    std::uint64_t Wait = State.Idle.add(Connection);
    Buffer.commit(
        Stream.async_read_some(Buffer.prepare(InitialReadBytes), Yield[Code]));
    State.Idle.remove(Wait);
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
  parser Parser;
  Parser.header_limit(static_cast<std::uint32_t>(Limits.headerBytes()));
  Parser.body_limit(Limits.bodyBytes());
  unfinished_request Unfinished(Memory, Connection);
  if (!reserveHead(Reservation, Unfinished)) {
    refuseForMemory(message());
    return std::nullopt;
  }
  error_code Code;
  std::size_t HeadBytes = readHead(Parser, Code);
  bool EnoughMemory =
      Code || readBody(Parser, HeadBytes, Reservation, Unfinished, Code);
  Connection->setRead(interruptible_stream::read_kind::None);
  if (!EnoughMemory || (Code && Unfinished.gaveWay()))
    refuseForMemory(Parser.release());
  else if (Code)
    refuseUnread(Code);
  else
    return Parser.release();
  return std::nullopt;
}

/// Reserves memory for the request. Idle connections and older requests that
/// are still unfinished are given up for it before it is refused.
bool server_connection::reserve(memory_reservation &Reservation,
                                unfinished_request &Unfinished,
                                std::size_t Bytes) {
  if (Bytes > Reservation.bytes() && Memory.scarce())
    State.Idle.endLongest(1 + Bytes / ConnectionBytes);
  if (!Reservation.growTo(Bytes) && !awaitMemory(Reservation, Bytes))
    return false;
  Unfinished.holds(Reservation.bytes());
  return true;
}

/// Waits until older unfinished requests have released enough memory; returns
/// false if there are none, or if it takes too long.
bool server_connection::awaitMemory(memory_reservation &Reservation,
                                    std::size_t Bytes) {
  /// A request that has been read for less time may just be arriving.
  constexpr milliseconds MinAge{300};
  constexpr milliseconds CheckInterval{5};
  constexpr milliseconds MaxWait{500};
  asio::steady_timer Timer(Stream.get_executor());
  error_code Ignored;
  auto Start = std::chrono::steady_clock::now();
  bool Reclaimed = false;
  while (std::chrono::steady_clock::now() < Start + MaxWait) {
    if (Memory.reclaim(Bytes - Reservation.bytes(),
                       std::chrono::steady_clock::now() - MinAge) == 0)
      return Reclaimed && Reservation.growTo(Bytes);
    Reclaimed = true;
    Timer.expires_after(CheckInterval);
    Timer.async_wait(Yield[Ignored]);
    if (Reservation.growTo(Bytes))
      return true;
  }
  return false;
}

/// Reserves memory for a head that has not arrived whole. A whole one tells how
/// much the request needs.
bool server_connection::reserveHead(memory_reservation &Reservation,
                                    unfinished_request &Unfinished) {
  std::string_view Bytes(static_cast<const char *>(Buffer.cdata().data()),
                         Buffer.size());
  return Bytes.find("\r\n\r\n") != std::string_view::npos ||
         reserve(Reservation, Unfinished, Limits.headerBytes());
}

/// Returns the size of the head. What has arrived when the time or the
/// connection ends is still read.
std::size_t server_connection::readHead(parser &Parser, error_code &Code) {
  Connection->setRead(interruptible_stream::read_kind::RestOfRequest,
                      std::chrono::steady_clock::now() + Limits.headerTime());
  std::size_t Bytes =
      http::async_read_header(Stream, Buffer, Parser, Yield[Code]);
  if (Code == asio::error::operation_aborted)
    Bytes = http::read_header(Stream.socket(), Buffer, Parser, Code);
  return Bytes;
}

/// Returns the capacity that \p Body has after \p Bytes more: a string that
/// grows beyond its capacity doubles it.
static std::size_t capacityFor(const std::string &Body, std::size_t Bytes) {
  bool MayGrow = Body.capacity() - Body.size() < Bytes;
  return MayGrow ? 2 * Body.capacity() : Body.capacity();
}

/// Returns false if there is no memory left to reserve for the request. Read
/// errors are returned in \p Code.
bool server_connection::readBody(parser &Parser, std::size_t HeadBytes,
                                 memory_reservation &Reservation,
                                 unfinished_request &Unfinished,
                                 error_code &Code) {
  Connection->setRead(interruptible_stream::read_kind::RestOfRequest,
                      std::chrono::steady_clock::now() + BodyTimeout);
  // A body of unknown length comes with lines that wait in the buffer.
  auto ContentLength =
      static_cast<std::size_t>(Parser.content_length_remaining().value_or(
          Parser.chunked() ? MaxUnparsedBytes : 0));
  // Parses all chunks that have arrived at once; each could be a single byte.
  Parser.eager(true);
  do {
    std::size_t BodyBytes = std::max(
        ContentLength, Parser.chunked()
                           ? capacityFor(Parser.get().body(), Buffer.max_size())
                           : Parser.get().body().size());
    if (!reserve(Reservation, Unfinished, requestBytes(HeadBytes, BodyBytes)))
      return false;
    if (!Parser.is_done())
      http::async_read_some(Stream, Buffer, Parser, Yield[Code]);
    if (Code == asio::error::operation_aborted)
      http::read_some(Stream.socket(), Buffer, Parser, Code);
  } while (!Code && !Parser.is_done());
  return true;
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

/// Responds to a request whose reading failed with \p Code.
void server_connection::refuseUnread(const error_code &Code) {
  if (Code == http::error::body_limit)
    refuse(413, "body too large");
  else if (Code == http::error::header_limit)
    refuse(431, "header too large");
  else if (Code == http::error::buffer_overflow)
    refuse(400, "chunk line or trailers too large");
  else if (Connection->interrupted(
               interruptible_stream::read_kind::RestOfRequest))
    refuse(503, "stopping");
}

void server_connection::refuse(int Status, const char *Text) {
  KeepAlive = false;
  send(http_response(Status, http_headers(), std::string(Text) + "\n"));
}

http_request server_connection::requestOf(message Message) {
  std::vector<http_headers::field> Fields;
  for (const auto &Field : Message)
    Fields.emplace_back(std::string(Field.name_string()),
                        std::string(Field.value()));
  return http_request(
      std::string(Message.method_string()), std::string(Message.target()),
      http_headers(std::move(Fields)), std::move(Message.body()));
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
  Stream.expires_after(Limits.write());
  error_code Code;
  http::async_write(Stream, Message, Yield[Code]);
  KeepAlive = KeepAlive && !Code;
  ResponseSent = !Code;
  return !Code;
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
  ResponseUnfinished = false;
  KeepAlive = KeepAlive && !Code;
  ResponseSent = !Code;
  return !Code;
}
