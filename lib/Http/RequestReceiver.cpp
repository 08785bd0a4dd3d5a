#include "RequestReceiver.h"
#include "MemoryCosts.h"
#include <boost/beast/http/read.hpp>
#include <iterator>

using namespace bluebellkeel;

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Maximum time to receive a request body; a slow link transfers a megabyte in
/// that time.
static constexpr seconds BodyTimeout{60};

request_receiver::request_receiver(interruptible_stream &Connection,
                                   boost::beast::flat_buffer &Buffer,
                                   const http_limits &Limits,
                                   server_state &State,
                                   memory_reservation &Reservation,
                                   asio::yield_context Yield)
    : Connection(Connection), Stream(Connection.stream()), Buffer(Buffer),
      Limits(Limits), State(State), Reservation(Reservation), Yield(Yield) {
  Parser.header_limit(static_cast<std::uint32_t>(Limits.headerBytes()));
  Parser.body_limit(Limits.bodyBytes());
}

reception request_receiver::receive() {
  Connection.activity().enter(connection_phase::Receiving);
  reception Reception = receiveAll();
  Connection.setRead(interruptible_stream::read_kind::None);
  if (Reception != reception::whole())
    return Reception;
  Connection.keepRequest();
  Reservation.shrinkTo(
      requestBytes(HeadBytes, Fields, Parser.get().body().size()));
  return Reception;
}

reception request_receiver::receiveAll() {
  if (!reserveHead())
    return reception::noMemory();
  readHead();
  // HTTP forbids it, and no upstream can be sent such a request.
  if (!Code && Parser.get().method() == http::verb::trace && !Parser.is_done())
    return reception::refused(400, "TRACE with a body");
  if (!Code && !readBody())
    return reception::noMemory();
  return Code ? receptionOfError() : reception::whole();
}

request_receiver::message request_receiver::release() {
  message Message = Parser.release();
  if (Code)
    Message.body().clear();
  return Message;
}

/// Reserves memory for the request. Connections that nobody misses and older
/// requests that are still unfinished give way to it before it is refused.
bool request_receiver::reserve(std::size_t Bytes) {
  if (Bytes > Reservation.bytes() && Reservation.scarce())
    State.giveWay(shortage::Soon, room(0, Bytes - Reservation.bytes()));
  awaitMemory(Bytes);
  if (!Reservation.growTo(Bytes))
    return false;
  Connection.activity().setHeld(Reservation.bytes());
  return true;
}

/// Waits until there is enough memory, as long as others that give way hold
/// what is missing.
void request_receiver::awaitMemory(std::size_t Bytes) {
  constexpr milliseconds CheckInterval{5};
  constexpr milliseconds MaxWait{500};
  asio::steady_timer Timer(Stream.get_executor());
  error_code Ignored;
  auto End = std::chrono::steady_clock::now() + MaxWait;
  while (std::chrono::steady_clock::now() < End && !Connection.gaveWay()) {
    std::size_t Missing = Reservation.missingFor(Bytes);
    if (Missing == 0)
      return;
    shortage Shortage =
        hasArrived() ? shortage::ForWholeRequest : shortage::Now;
    if (State.giveWay(Shortage, room(0, Missing)).bytes() < Missing)
      return;
    Timer.expires_after(CheckInterval);
    Timer.async_wait(Yield[Ignored]);
  }
}

/// True if all bytes of the request wait to be read.
bool request_receiver::hasArrived() const {
  // The parser knows neither length nor chunks before the head is whole.
  if (!Parser.is_header_done() || Parser.chunked())
    return false;
  error_code Ignored;
  return Parser.content_length_remaining().value_or(0) <=
         Buffer.size() + Stream.socket().available(Ignored);
}

/// Reserves memory for a head that has not arrived whole. A whole one tells how
/// much the request needs.
bool request_receiver::reserveHead() {
  std::string_view Bytes(static_cast<const char *>(Buffer.cdata().data()),
                         Buffer.size());
  return Bytes.find("\r\n\r\n") != std::string_view::npos ||
         reserve(Limits.headerBytes());
}

/// What has arrived when the time or the connection ends is still read.
void request_receiver::readHead() {
  Connection.setRead(interruptible_stream::read_kind::RestOfRequest,
                     std::chrono::steady_clock::now() + Limits.headerTime());
  HeadBytes = http::async_read_header(Stream, Buffer, Parser, Yield[Code]);
  if (Code == asio::error::operation_aborted)
    HeadBytes = http::read_header(Stream.socket(), Buffer, Parser, Code);
  Fields = static_cast<std::size_t>(
      std::distance(Parser.get().begin(), Parser.get().end()));
}

/// Returns the memory that the request holds once its next bytes have arrived.
std::size_t request_receiver::bytesWithNextRead() const {
  // A body of unknown length comes with lines that wait in the buffer, and
  // moves to another place when it is whole.
  if (Parser.chunked())
    return requestBytes(HeadBytes, Fields,
                        Parser.get().body().size() + 2 * Buffer.max_size());
  return requestBytes(
      HeadBytes, Fields,
      static_cast<std::size_t>(Parser.content_length().value_or(0)));
}

/// Returns false if there is no memory left to reserve for the request.
bool request_receiver::readBody() {
  Connection.setRead(interruptible_stream::read_kind::RestOfRequest,
                     std::chrono::steady_clock::now() + BodyTimeout);
  // Parses all chunks that have arrived at once; each could be a single byte.
  Parser.eager(true);
  do {
    if (!reserve(bytesWithNextRead()))
      return false;
    if (!Parser.is_done())
      http::async_read_some(Stream, Buffer, Parser, Yield[Code]);
    if (Code == asio::error::operation_aborted)
      http::read_some(Stream.socket(), Buffer, Parser, Code);
  } while (!Code && !Parser.is_done());
  return true;
}

/// Tells how to respond to a request whose reading failed.
reception request_receiver::receptionOfError() const {
  if (Connection.gaveWay())
    return reception::noMemory();
  if (Code == http::error::body_limit)
    return reception::refused(413, "body too large");
  if (Code == http::error::header_limit)
    return reception::refused(431, "header too large");
  if (Code == http::error::buffer_overflow)
    return reception::refused(400, "chunk line or trailers too large");
  if (Connection.interrupted(interruptible_stream::read_kind::RestOfRequest))
    return reception::refused(503, "stopping");
  return reception::ended();
}
