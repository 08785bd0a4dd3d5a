#ifndef BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H
#define BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H

#include "DisconnectWatcher.h"
#include "ServerState.h"
#include "UnfinishedRequest.h"
#include "bluebellkeel/Core/MemoryReservation.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include "bluebellkeel/Http/HttpLimitSource.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace bluebellkeel {

/// One connection of a server; serves its requests one after another.
class server_connection final : private http_responder {
public:
  server_connection(std::shared_ptr<interruptible_stream> Connection,
                    http_handler &Handler, const http_limit_source &Source,
                    server_state &State, memory_budget &Memory,
                    boost::asio::yield_context Yield);
  ~server_connection() override;

  void run();

private:
  using message = boost::beast::http::request<boost::beast::http::string_body>;

  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool awaitRequest();
  void skipEmptyLines();
  std::optional<message> readRequest(memory_reservation &Reservation);
  std::size_t readHead(parser &Parser, boost::system::error_code &Code);
  bool reserve(memory_reservation &Reservation, unfinished_request &Unfinished,
               std::size_t Bytes);
  bool awaitMemory(memory_reservation &Reservation, std::size_t Bytes);
  bool reserveHead(memory_reservation &Reservation,
                   unfinished_request &Unfinished);
  bool readBody(parser &Parser, std::size_t HeadBytes,
                memory_reservation &Reservation, unfinished_request &Unfinished,
                boost::system::error_code &Code);
  void refuseForMemory(message Message);
  void refuseUnread(const boost::system::error_code &Code);
  static http_request requestOf(message Message);
  void respond(const http_request &Request);
  void handle(const http_request &Request);
  void refuse(int Status, const char *Text);
  void dropRest();
  bool staysOpen() const;

  bool send(const http_response &Response) override;
  bool begin(int Status, const http_headers &Headers) override;
  bool write(std::string_view Piece) override;
  bool end() override;
  void abandon() override;
  bool started() const override { return Started; }
  void watch(std::function<void()> OnDisconnect) override;

  const std::shared_ptr<interruptible_stream> Connection;
  boost::beast::tcp_stream &Stream;
  http_handler &Handler;
  const http_limit_source &Source;
  /// Limits in force for the current request.
  http_limits Limits;
  server_state &State;
  memory_budget &Memory;
  boost::asio::yield_context Yield;
  boost::beast::flat_buffer Buffer;
  std::shared_ptr<disconnect_watcher> Watcher;
  bool Started = false;
  /// True while a streamed response has begun but not ended.
  bool ResponseUnfinished = false;
  /// True once the response to the current request is sent whole.
  bool ResponseSent = false;
  bool KeepAlive = true;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_SERVERCONNECTION_H
