#ifndef BLUEBELLKEEL_LIB_HTTP_REQUESTRECEIVER_H
#define BLUEBELLKEEL_LIB_HTTP_REQUESTRECEIVER_H

#include "BlockBody.h"
#include "Reception.h"
#include "ServerState.h"
#include "bluebellkeel/Core/MemoryReservation.h"
#include "bluebellkeel/Http/HttpLimits.h"
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace bluebellkeel {

/// Receives one request. Its memory is reserved before the reads that fill it.
class request_receiver {
public:
  using message = boost::beast::http::request<block_body>;

  /// Maximum number of received bytes, beside a head, that wait for the parser.
  /// It takes the line of a chunk and the trailers only when they are complete.
  static constexpr std::size_t MaxUnparsedBytes = 16UL * 1024;

  /// \param Buffer holds the first bytes of the request; gets what arrives
  /// behind it.
  request_receiver(interruptible_stream &Connection,
                   boost::beast::flat_buffer &Buffer, const http_limits &Limits,
                   server_state &State, memory_reservation &Reservation,
                   boost::asio::yield_context Yield);

  reception receive();
  /// Returns the request; only its head, if that much has arrived, unless
  /// receive() has returned that it is whole.
  message release();

private:
  using error_code = boost::system::error_code;

  reception receiveAll();
  bool reserve(std::size_t Bytes);
  void awaitMemory(std::size_t Bytes);
  bool hasArrived() const;
  bool reserveHead();
  void readHead();
  bool readBody();
  std::size_t bytesWithNextRead() const;
  reception receptionOfError() const;

  interruptible_stream &Connection;
  server_stream &Stream;
  boost::beast::flat_buffer &Buffer;
  const http_limits &Limits;
  server_state &State;
  memory_reservation &Reservation;
  boost::asio::yield_context Yield;
  boost::beast::http::request_parser<block_body> Parser;
  std::size_t HeadBytes = 0;
  /// Number of header fields.
  std::size_t Fields = 0;
  /// The error that ended the last read.
  error_code Code;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_REQUESTRECEIVER_H
